/** State shared by the components that handle one request. */
import type { ServiceDefinition } from '@woodbarrow/backends';
import type { IncomingExchange } from '@woodbarrow/runtime';
import type { ClientAnswer } from './client-answer.js';
import type { ForwardingContext } from './forwarding-context.js';
import type { BufferedAnswer, RequestCompletion } from './request-completion.js';
import type { RequestTimes } from './request-times.js';
import type { Route } from './route.js';
import type { RunReplacement } from './run-replacement.js';
import type { Tenant } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** One request, the state of its answer, and the progress of its sends. */
export interface RequestScope {
  readonly context: ForwardingContext;
  readonly exchange: IncomingExchange;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Tenant that the request runs as; absent if it has none. */
  readonly tenant?: Tenant;
  /** Priority of the tenant if set, else of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly service: ServiceDefinition;
  readonly body: Uint8Array;
  /** Monotonic time in milliseconds. */
  readonly arrivedAt: number;
  /** Digest of the content, which all attempts of one request share. */
  readonly digest: string;
  /** Contents of the prompt parts that other requests may share. */
  readonly parts: readonly string[];
  readonly times: RequestTimes;
  readonly answer: ClientAnswer;
  readonly completion: RequestCompletion;
  readonly progress: RequestProgress;
  readonly replacement: RunReplacement;
  /** Aborts when time is up or the client has disconnected. */
  readonly expired: AbortSignal;
}

/** Progress of the sends of one request. */
export class RequestProgress {
  /** Back ends that are not tried again. */
  readonly excluded = new Set<string>();
  /** Back ends whose answers are silent now. */
  readonly silent = new Set<string>();
  /** Back ends on which the request may have run. */
  readonly mayHaveRunOn = new Set<string>();
  /** Number of sends so far, whatever their results. */
  sends = 0;
  /** Software version that brought the first event of the stream; only it may go on. Undefined until then, and for other answers. */
  softwareVersion: string | undefined;
  /** Two while one run replaces another. */
  runsInProgress = 0;
  /** This daemon is stopping, and starts no further send. */
  isStopping = false;
  /** Failure of a back end, forwarded to the client if no retry succeeds. */
  bufferedFailure: BufferedAnswer | undefined;
}

/** Result of one send. */
export type AttemptResult =
  | { readonly kind: 'finished' }
  /** Not sent, or certainly not run. */
  | { readonly kind: 'not_run'; readonly arrived: boolean }
  /** May have run, and no complete answer has been forwarded. */
  | { readonly kind: 'maybe_run' }
  /** The back end answered with a failure, which is buffered. */
  | { readonly kind: 'failure' }
  /** The answer was silent, and another run has taken its place. */
  | { readonly kind: 'replaced' };
