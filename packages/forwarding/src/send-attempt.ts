/** Sends one request to one back end, up to the head of the answer. */
import { errorMessage } from '@woodbarrow/errors';
import type { BackEnd, ReportedLoad } from '@woodbarrow/backends';
import {
  HttpNotSentError,
  TooManyInterimResponsesError,
  type BackendClient,
  type BackendResponse,
  type Clock,
} from '@woodbarrow/runtime';
import { drainAnswer } from './answer-drain.js';
import type { BackendNotice } from './backend-notice.js';
import type { AnswerVerdict, WireDialect } from './wire-dialect.js';

/** Timeout for opening a connection to a back end, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Why a back end turns a request away. */
export type DeclineVerdict = Extract<AnswerVerdict, 'not_run' | 'other_incarnation' | 'not_resident'>;

/** Part of an answer that exceeded its limit, so that the connection was closed. */
export type OverlongPart = 'interim_responses' | 'declined_body' | 'event';

/** Result of a send. */
export type SendOutcome =
  /** The head of the answer arrived; its body is still to be read. */
  | { readonly kind: 'answered'; readonly answer: BackendResponse; readonly load?: ReportedLoad }
  /** The back end states that it did not run the request. */
  | { readonly kind: 'declined'; readonly verdict: DeclineVerdict }
  /** The connection failed; the back end did not receive the request. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The back end may have run the request; there is no usable answer. */
  | { readonly kind: 'broken'; readonly detail: string };

/** Parameters of a send. */
export interface SendPlan {
  readonly backEnd: BackEnd;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Uint8Array;
  /** Aborted when the client has disconnected or time is up. */
  readonly controller: AbortController;
  /** Called with the notice in the head of the answer. */
  readonly onNotice: (notice: BackendNotice) => void;
  /** Called with the load in the head of an answer that comes from the back end. */
  readonly onLoad: (load: ReportedLoad) => void;
  /** Called when a part of the answer exceeds its limit. */
  readonly onOverlong: (part: OverlongPart) => void;
}

/** Sends a request and classifies the head of the answer. Never rejects. */
export async function sendAttempt(
  plan: SendPlan,
  client: BackendClient,
  dialect: WireDialect,
  clock: Clock,
): Promise<SendOutcome> {
  try {
    const answer = await client.send({
      backEndId: plan.backEnd.id,
      requestId: plan.requestId,
      address: plan.backEnd.address,
      method: plan.method,
      target: plan.target,
      headers: plan.headers,
      body: plan.body,
      signal: plan.controller.signal,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const sent = { requestId: plan.requestId, backEndName: plan.backEnd.name };
    const verdict = dialect.judge(sent, answer.status, answer.headers);
    const notice = dialect.readNotice(sent, answer.status, answer.headers);
    if (notice !== undefined) plan.onNotice(notice);
    const isFromBackEnd = notice !== undefined && verdict !== 'foreign' && verdict !== 'other_incarnation';
    const load = isFromBackEnd ? dialect.readLoad(answer.headers) : undefined;
    if (load !== undefined) plan.onLoad(load);
    if (isDecline(verdict)) {
      void drainDeclined(answer, clock, plan);
      return { kind: 'declined', verdict };
    }
    return outcomeOf(verdict, answer, load);
  } catch (error) {
    if (error instanceof TooManyInterimResponsesError) plan.onOverlong('interim_responses');
    if (error instanceof HttpNotSentError) return { kind: 'unreachable', detail: errorMessage(error) };
    return { kind: 'broken', detail: errorMessage(error) };
  }
}

function outcomeOf(
  verdict: 'genuine' | 'foreign',
  answer: BackendResponse,
  load: ReportedLoad | undefined,
): SendOutcome {
  if (verdict === 'genuine') return { kind: 'answered', answer, ...(load === undefined ? {} : { load }) };
  answer.discard();
  return { kind: 'broken', detail: 'foreign answer' };
}

function isDecline(verdict: AnswerVerdict): verdict is DeclineVerdict {
  return verdict !== 'genuine' && verdict !== 'foreign';
}

async function drainDeclined(answer: BackendResponse, clock: Clock, { onOverlong }: SendPlan): Promise<void> {
  if (await drainAnswer(answer, clock)) onOverlong('declined_body');
}
