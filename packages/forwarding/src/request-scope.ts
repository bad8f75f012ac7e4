/** What the parts that work on one request share. */
import type { ServiceDefinition } from '@woodbarrow/backends';
import type { IncomingExchange } from '@woodbarrow/runtime';
import type { ClientAnswer } from './client-answer.js';
import type { ForwardingContext } from './forwarding-context.js';
import type { BufferedAnswer, RequestCompletion } from './request-completion.js';
import type { RequestTimes } from './request-times.js';
import type { Route } from './route.js';
import type { Tenant } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** One request, what its client has received, and what has been tried for it. */
export interface RequestScope {
  readonly context: ForwardingContext;
  readonly exchange: IncomingExchange;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** In whose name it runs; absent where it has none. */
  readonly tenant?: Tenant;
  /** That of the tenant where it has one, else of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly service: ServiceDefinition;
  readonly body: Uint8Array;
  /** Digest of the content, which all attempts of one request share. */
  readonly digest: string;
  readonly times: RequestTimes;
  readonly answer: ClientAnswer;
  readonly completion: RequestCompletion;
  readonly progress: RequestProgress;
  /** Aborts when time is up or the client has gone. */
  readonly expired: AbortSignal;
}

/** What has been tried. */
export class RequestProgress {
  /** Back ends that are not asked again. */
  readonly excluded = new Set<string>();
  /** Back ends on which it may have run. */
  readonly mayHaveRunOn = new Set<string>();
  /** Sends so far, whatever came of them. */
  sends = 0;
  isSending = false;
  /** This daemon stops: no further send is begun. */
  isStopping = false;
  /** A back end's failure, given to the client if nothing better comes. */
  bufferedFailure: BufferedAnswer | undefined;
}

/** What one send came to. */
export type AttemptResult =
  | { readonly kind: 'finished' }
  /** Sent nowhere, or certainly not run. */
  | { readonly kind: 'not_run'; readonly arrived: boolean }
  /** May have run, and no complete answer has been passed on. */
  | { readonly kind: 'maybe_run' }
  /** A failure that the back end answered with, held back. */
  | { readonly kind: 'failure' };
