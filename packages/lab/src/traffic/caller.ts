/** A caller that sends a request, reads the response to its end and records the outcome. */
import { decodeText, encodeText, readText, type HttpClient, type HttpResponse } from '@woodbarrow/runtime';
import { REQUEST_ID_HEADER } from '@woodbarrow/gateway';
import { tokenText } from '@woodbarrow/standins';
import { TokenStream, type AnswerError } from './token-stream.js';

/** A request that a caller sends. */
export interface CallerRequest {
  /** Unique text in the prompt that identifies the runs and responses of this request. */
  readonly marker: string;
  readonly tenant: string;
  readonly token: string;
  readonly model: string;
  readonly priorityClass: string | undefined;
  /** Allowed wait in milliseconds; not sent when undefined. */
  readonly waitMs: number | undefined;
  readonly tokens: number;
  readonly streaming: boolean;
  readonly idempotencyKey: string | undefined;
  readonly notRepeatable: boolean;
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  | 'served'
  | 'refused'
  /** The stream ended with an explicit error. */
  | 'interrupted'
  /** The connection failed or was closed without a response. */
  | 'disconnected'
  /** A response with status 200 and wrong content; always a defect. */
  | 'corrupt';

/** One attempt of a request at one daemon. Times are in milliseconds of the caller's clock. */
export interface Attempt {
  readonly request: CallerRequest;
  readonly origin: string;
  readonly sentAtMs: number;
  outcome: AttemptOutcome | undefined;
  /** Request id from the response headers. */
  requestId: string | undefined;
  /** Error kind of a refusal. */
  code: string | undefined;
  ran: 'no' | 'maybe' | 'yes' | undefined;
  retryAfterSeconds: number | undefined;
  /** Time of the first content or of the refusal. */
  answeredAtMs: number | undefined;
  endedAtMs: number | undefined;
  /** Whether the response was replayed from an earlier run. */
  replayed: boolean;
  /** First fault in the received part of the stream, whatever the outcome. */
  streamFault: string | undefined;
}

interface ErrorAnswer {
  readonly error?: AnswerError;
}

/** Sends attempts over any HTTP client. */
export class Caller {
  constructor(
    private readonly http: HttpClient,
    private readonly now: () => number,
  ) {}

  /** Sends a request whose idempotency key is `keyAgeMs` old; resolves with the attempt when it has ended. */
  async send(
    request: CallerRequest,
    origin: string,
    keyAgeMs: number,
    onStart?: (attempt: Attempt) => void,
  ): Promise<Attempt> {
    const attempt: Attempt = {
      request,
      origin,
      sentAtMs: this.now(),
      outcome: undefined,
      requestId: undefined,
      code: undefined,
      ran: undefined,
      retryAfterSeconds: undefined,
      answeredAtMs: undefined,
      endedAtMs: undefined,
      replayed: false,
      streamFault: undefined,
    };
    onStart?.(attempt);
    try {
      const response = await this.http.send({
        method: 'POST',
        origin,
        path: '/v1/chat/completions',
        headers: headersOf(request, keyAgeMs),
        body: bodyOf(request),
      });
      attempt.requestId = response.headers[REQUEST_ID_HEADER];
      attempt.replayed = response.headers['x-woodbarrow-replayed'] === 'true';
      if (response.status !== 200) await this.readRefusal(attempt, response);
      else if (request.streaming) await this.readStream(attempt, response);
      else await this.readWholeResponse(attempt, response);
    } catch {
      attempt.outcome ??= 'disconnected';
    }
    attempt.endedAtMs = this.now();
    return attempt;
  }

  private async readRefusal(attempt: Attempt, response: HttpResponse): Promise<void> {
    attempt.answeredAtMs = this.now();
    const body = JSON.parse(await readText(response.body)) as ErrorAnswer;
    attempt.code = body.error?.code;
    attempt.ran = body.error?.ran;
    const retryAfter = response.headers['retry-after'];
    attempt.retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
    attempt.outcome = 'refused';
  }

  private async readStream(attempt: Attempt, response: HttpResponse): Promise<void> {
    const { marker, tokens } = attempt.request;
    const stream = new TokenStream(marker, tokens);
    const body = response.body instanceof Uint8Array ? [response.body] : response.body;
    for await (const chunk of body) {
      attempt.answeredAtMs ??= this.now();
      stream.add(decodeText(chunk));
      attempt.streamFault = stream.fault;
    }
    attempt.answeredAtMs ??= this.now();
    stream.end();
    attempt.streamFault = stream.fault;
    attempt.code = stream.error?.code;
    attempt.ran = stream.error?.ran;
    if (stream.fault !== undefined) attempt.outcome = 'corrupt';
    else attempt.outcome = stream.error === undefined ? 'served' : 'interrupted';
  }

  private async readWholeResponse(attempt: Attempt, response: HttpResponse): Promise<void> {
    const text = await readText(response.body);
    attempt.answeredAtMs = this.now();
    const body = JSON.parse(text) as { choices?: { message?: { content?: string } }[] };
    const content = body.choices?.[0]?.message?.content;
    attempt.outcome = content === expectedContent(attempt.request) ? 'served' : 'corrupt';
  }
}

/** Returns whether to retry: what certainly did not run, and with an idempotency key also what may have run. */
export function shouldRetry(attempt: Attempt): boolean {
  if (attempt.outcome === 'refused' && attempt.ran === 'no') return attempt.retryAfterSeconds !== undefined;
  const unclear = attempt.outcome === 'disconnected' || attempt.code === 'already_running';
  return attempt.request.idempotencyKey !== undefined && unclear;
}

/** Returns the content that a stand-in engine generates for a request. */
export function expectedContent(request: CallerRequest): string {
  return Array.from({ length: request.tokens }, (_, index) => tokenText(request.marker, index)).join('');
}

function headersOf(request: CallerRequest, keyAgeMs: number): Record<string, string> {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${request.token}`,
    ...(request.priorityClass === undefined ? {} : { 'x-woodbarrow-class': request.priorityClass }),
    ...(request.waitMs === undefined ? {} : { 'x-woodbarrow-wait-ms': String(Math.round(request.waitMs)) }),
    ...(request.idempotencyKey === undefined
      ? {}
      : {
          'idempotency-key': request.idempotencyKey,
          'x-woodbarrow-key-age-ms': String(Math.round(keyAgeMs)),
        }),
    ...(request.notRepeatable ? { 'x-woodbarrow-not-repeatable': 'true' } : {}),
  };
}

function bodyOf(request: CallerRequest): Uint8Array {
  return encodeText(
    JSON.stringify({
      model: request.model,
      stream: request.streaming,
      max_tokens: request.tokens,
      messages: [{ role: 'user', content: `please answer #${request.marker}` }],
    }),
  );
}
