/**
 * Port: encoding of request and answer metadata in HTTP headers. Implemented for each platform that Woodbarrow
 * is deployed on.
 */
import type { RawHeaders } from '@woodbarrow/runtime';
import type { ModelTarget, ReportedLoad } from '@woodbarrow/backends';
import type { BackendNotice } from './backend-notice.js';

/** One part of a prompt that may be shared with other prompts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata of a request. */
export interface RequestFacts {
  /** Unique for each attempt of a client; empty when the client sent none. */
  readonly id: string;
  /** Milliseconds that the client waits; absent if not stated. */
  readonly waitMs?: number;
  readonly target?: ModelTarget;
  /** Whether the request states its token counts. */
  readonly hasTokenCounts: boolean;
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly outputTokens: number;
  /** Client's rough estimate of the output tokens; absent if not stated. */
  readonly expectedTokens?: number;
  /** In order; the last part belongs to the request or its session alone. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the client has, if it resumes a stream itself. */
  readonly resumeAfter?: string;
  /** Id of the request that brought the stream's first event, if the client resumes a stream itself. */
  readonly resumes?: string;
  /** Digest of the caller's key; the key itself is not stored. Absent if there is no key. */
  readonly keyDigest?: string;
}

/** Returns the ids of the parts of a prompt that other requests may share: all but the last. */
export function sharedPartIds({ promptParts }: RequestFacts): string[] {
  return promptParts.slice(0, -1).map(({ id }) => id);
}

/** Metadata that the daemon adds to a forwarded request. */
export interface SendFacts {
  /** Milliseconds until the deadline. */
  readonly remainingMs: number;
  /** Name of the only back end that may run it. */
  readonly backEndName: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Tenant that the request runs as; absent if it has none. */
  readonly tenant?: string;
  /** Id of the last event that the client has, if a stream is resumed. */
  readonly resumeAfter?: string;
}

/** Classification of a back end's answer. */
export type AnswerVerdict =
  /** The answer to this request, to be forwarded. */
  | 'genuine'
  /** The back end states that it did not run the request. */
  | 'not_run'
  /** Another incarnation answers at the address; the request did not run. */
  | 'other_incarnation'
  /** The model or adapter is not resident there; the request did not run. */
  | 'not_resident'
  /** Not an answer to this request, which may have run. */
  | 'foreign';

/** Identity of a sent request, to match its answer. */
export interface SentRequest {
  readonly requestId: string;
  readonly backEndName: string;
}

/** Reads and writes the headers of one platform. */
export interface WireDialect {
  readFacts(headers: Readonly<Record<string, string | undefined>>): RequestFacts;
  /**
   * Returns the headers to send to a back end: those of the client without connection headers and reserved ones, plus the
   * daemon's own.
   */
  requestHeaders(received: RawHeaders, send: SendFacts): string[];
  /** Returns the headers for the client: those of the back end without connection headers. */
  answerHeaders(received: RawHeaders): string[];
  /** Returns the headers of an answer that the daemon itself generates. */
  ownHeaders(requestId: string, retryAfterSeconds?: number): string[];
  /** Classifies an answer by its head. */
  judge(
    sent: SentRequest,
    status: number,
    headers: Readonly<Record<string, string | undefined>>,
  ): AnswerVerdict;
  /** Returns the notice in the head of an answer; undefined if it answers another request or comes from another back end. */
  readNotice(
    sent: SentRequest,
    status: number,
    headers: Readonly<Record<string, string | undefined>>,
  ): BackendNotice | undefined;
  /** Returns the load that the head of an answer reports; undefined if it is absent or malformed. */
  readLoad(headers: Readonly<Record<string, string | undefined>>): ReportedLoad | undefined;
}
