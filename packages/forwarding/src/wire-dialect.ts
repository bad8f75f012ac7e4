/**
 * Port: how requests and answers name what the product needs to know. Implemented by the adapter of the
 * platform that the product is deployed on.
 */
import type { RawHeaders } from '@woodbarrow/runtime';
import type { ModelTarget } from '@woodbarrow/backends';
import type { BackendNotice } from './backend-notice.js';

/** One part of a prompt that may be shared with other prompts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself. */
export interface RequestFacts {
  /** Unique for each attempt of a client; empty when the client sent none. */
  readonly id: string;
  /** Milliseconds that the client waits; absent when it does not say. */
  readonly waitMs?: number;
  readonly target?: ModelTarget;
  /** Whether it says how many tokens it has. */
  readonly tellsTokens: boolean;
  readonly promptTokens: number;
  /** Most tokens out. */
  readonly outputTokens: number;
  /** Tokens out that the client expects, often wrong by a factor of two; absent when it does not say. */
  readonly expectedTokens?: number;
  /** In order; the last is the request's own or its session's. */
  readonly promptParts: readonly PromptPart[];
  /** Last event that the client has of an earlier answer, when it takes a stream up itself. */
  readonly resumeAfter?: string;
  /** Digest of the key that the caller shows; the key itself goes no further. Absent when it shows none. */
  readonly keyDigest?: string;
}

/** What the product adds to a request that it passes on. */
export interface SendFacts {
  /** Milliseconds left. */
  readonly remainingMs: number;
  /** Name of the only back end that may run it. */
  readonly backEndName: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Tenant in whose name it runs; absent where it has none. */
  readonly tenant?: string;
  /** Last event that the client has, when a stream is taken up again. */
  readonly resumeAfter?: string;
}

/** What a back end's answer says. */
export type AnswerVerdict =
  /** The answer to this request, to be passed on. */
  | 'genuine'
  /** The back end states that it did not run the request. */
  | 'not_run'
  /** Another incarnation answers at the address: not run. */
  | 'other_incarnation'
  /** The model or adapter is not resident there: not run. */
  | 'not_resident'
  /** Not an answer to this request; it may have run. */
  | 'foreign';

/** What an answer is compared with. */
export interface SentRequest {
  readonly requestId: string;
  readonly backEndName: string;
}

/** Names and meanings on the wire. */
export interface WireDialect {
  readFacts(headers: Readonly<Record<string, string | undefined>>): RequestFacts;
  /**
   * Headers to send to a back end: those of the client but for the connection's and for those that only the product may set, and the
   * product's own.
   */
  requestHeaders(received: RawHeaders, send: SendFacts): string[];
  /** Headers to answer the client with: those of the back end but for the connection's. */
  answerHeaders(received: RawHeaders): string[];
  /** Headers of an answer of the product's own. */
  ownHeaders(requestId: string, retryAfterSeconds?: number): string[];
  /** @param sent What the request was sent with. */
  judge(
    sent: SentRequest,
    status: number,
    headers: Readonly<Record<string, string | undefined>>,
  ): AnswerVerdict;
  /** What the head of an answer says of its back end; undefined where it answers something else, or is another's. */
  readNotice(
    sent: SentRequest,
    status: number,
    headers: Readonly<Record<string, string | undefined>>,
  ): BackendNotice | undefined;
}
