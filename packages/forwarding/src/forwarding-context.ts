/** Components that all requests of a daemon share. */
import type { BackendDirectory, LoadTracker, RunTimes, WorkerPaces } from '@woodbarrow/backends';
import type { RequestQuarantine } from '@woodbarrow/quarantine';
import type { BackendClient, Clock } from '@woodbarrow/runtime';
import type { AdmissionControl } from './admission-control.js';
import type { RequestJournal } from './request-journal.js';
import type { BackendHealth } from './backend-health.js';
import type { BackendNotices } from './backend-notices.js';
import type { ConnectionShare } from './connection-share.js';
import type { DispatchQueue } from './dispatch-queue.js';
import type { PlainSelector } from './plain-selector.js';
import type { RetryBudget } from './retry-budget.js';
import type { ReplicaSelector } from './replica-selector.js';
import type { RequestQuota } from './request-quota.js';
import type { SendPermits } from './send-permits.js';
import type { StreamOrigins } from './stream-origins.js';
import type { UnreadAnswers } from './unread-answers.js';
import type { WireDialect } from './wire-dialect.js';

export interface ForwardingContext {
  readonly clock: Clock;
  readonly client: BackendClient;
  readonly dialect: WireDialect;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly runTimes: RunTimes;
  /** Receives the pace that answers report. */
  readonly paces: WorkerPaces;
  readonly connections: ConnectionShare;
  /** Requests that wait for room on a worker; used by services with slow loads. */
  readonly dispatch: DispatchQueue;
  readonly notices: BackendNotices;
  /** A permit is acquired for each send. */
  readonly permits: SendPermits;
  readonly plain: PlainSelector;
  readonly replicas: ReplicaSelector;
  readonly budget: RetryBudget;
  readonly quota: RequestQuota;
  readonly quarantine: RequestQuarantine;
  readonly journal: RequestJournal;
  /** Where resumable streams began; absent where back ends name no software version. */
  readonly origins?: StreamOrigins;
  /** Bounds the memory of unread answers; absent where callers do not compete for capacity. */
  readonly unread?: UnreadAnswers;
  /**
   * Returns the milliseconds after which a client may return while no back end can be reached by any path, different for each call
   * so that clients do not return together; undefined while requests can be sent. Absent if requests can always be sent.
   */
  readonly unreachableRetryMs?: () => number | undefined;
  /** Refuses arrivals while this daemon is saturated. @default all are admitted */
  readonly admission?: AdmissionControl;
  /** Aborts when this daemon stops; requests that have not been sent are then refused. */
  readonly stopWaiting: AbortSignal;
  /** Health of the back ends of a service. */
  readonly healthOf: (service: string) => BackendHealth;
}
