/** Messages between routers and queue owners. */
import type { Acknowledgement } from './membership-messages.js';
import { definePeerMethod } from './method.js';
import type { ReplicaInfo } from './placement-messages.js';

/**
 * Registers a waiting request with the model's queue owner, or polls for a request registered before. The owner
 * responds when it grants a replica, or after `holdMs`; a request that is not polled for some time is dropped.
 */
export interface EnqueueRequest {
  readonly holdMs: number;
  /** Requests that the router sent directly to replicas since its previous call. */
  readonly directArrivals: number;
  /** Maximum number of requests that may wait for the model. */
  readonly queueLimit: number;
  readonly requestId: string;
  readonly routerId: string;
  readonly model: string;
  readonly adapter: string;
  readonly priority: number;
  /** Milliseconds remaining of the allowed wait. */
  readonly remainingMs: number;
  readonly deferrable: boolean;
  /** Digest of the prompt prefix, for prefix affinity; 0 if there is none. */
  readonly affinity: number;
  /** Workers that already refused this request. */
  readonly avoid: readonly string[];
}

export interface EnqueueResponse {
  /** Granted replica; absent while the request waits. */
  readonly replica?: ReplicaInfo;
  /** All replicas, to which the router can send directly unless `scarce` is set. */
  readonly replicas: readonly ReplicaInfo[];
  /** Whether requests are waiting, in which case routers must call the owner before each dispatch. */
  readonly scarce: boolean;
  /** Whether the zone's replicas are loaded and far more requests wait than they can run; another zone may then be faster. */
  readonly saturated: boolean;
  /** Whether no replica was ready when the request arrived. */
  readonly waitedForLoad: boolean;
}

/** Withdraws a waiting request. */
export interface WithdrawRequest {
  readonly requestId: string;
  readonly model: string;
}

/** Reports the end of a grant to the queue owner. */
export interface GrantEndedRequest {
  readonly requestId: string;
  readonly model: string;
  readonly workerId: string;
  /** Outcome of the request at the engine. */
  readonly result: 'completed' | 'refused' | 'failed';
}

export interface DescribeQueuesRequest {
  readonly zone: string;
}

export interface QueueStatus {
  readonly model: string;
  readonly waiting: number;
  readonly granted: number;
  readonly replicas: number;
}

export interface DescribeQueuesResponse {
  readonly queues: readonly QueueStatus[];
}

export const enqueueMethod = definePeerMethod<EnqueueRequest, EnqueueResponse>('routing.enqueue');
export const withdrawMethod = definePeerMethod<WithdrawRequest, Acknowledgement>('routing.withdraw');
export const grantEndedMethod = definePeerMethod<GrantEndedRequest, Acknowledgement>('routing.grantEnded');
export const describeQueuesMethod = definePeerMethod<DescribeQueuesRequest, DescribeQueuesResponse>(
  'routing.describeQueues',
);
