/** Messages between queue owners and the zone coordinator. */
import type { Acknowledgement } from './membership-messages.js';
import { definePeerMethod } from './method.js';

/** One loaded replica that can run requests. */
export interface ReplicaInfo {
  readonly workerId: string;
  /** HTTP origin of the engine, for example `http://10.0.0.7:9000`. */
  readonly origin: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Maximum number of requests that the replica runs concurrently. */
  readonly concurrency: number;
  /** Requests running as of the last report; can be stale by up to one reporting interval. */
  readonly running: number;
  /** False once the replica is being removed and accepts no new requests. */
  readonly accepting: boolean;
}

/** Demand for one model in one zone, as observed by its queue owner. */
export interface ModelDemand {
  readonly model: string;
  /** Waiting requests by adapter; the empty name stands for the base model. */
  readonly waiting: readonly AdapterDemand[];
  /** Most urgent priority among the waiting requests; lower numbers are served first. */
  readonly topPriority: number;
  /** Milliseconds until the earliest deadline of a waiting request, or 0 if none waits. */
  readonly firstDeadlineMs: number;
  /** Whether all waiting requests are deferrable. */
  readonly deferrable: boolean;
  /** Requests running, counted from the grants of the queue owner. */
  readonly running: number;
  /** Requests received since the last report. */
  readonly arrivals: number;
  /** Workers that refused or failed a request since the last report. */
  readonly suspects: readonly string[];
}

export interface AdapterDemand {
  readonly adapter: string;
  readonly count: number;
}

export interface ReportDemandRequest {
  readonly owner: string;
  readonly demands: readonly ModelDemand[];
}

/** Response of the coordinator: the replicas of the reported models. */
export interface ReportDemandResponse {
  readonly models: readonly ModelReplicas[];
}

/** The replicas of one model in one zone, and whether more are being loaded. */
export interface ModelReplicas {
  readonly model: string;
  readonly replicas: readonly ReplicaInfo[];
  /** Whether a replica is being loaded. */
  readonly loading: boolean;
  /** Reason why nothing is loading although requests wait; absent while a load is in progress. */
  readonly blockedBy?: 'memory' | 'limit' | 'recovering' | 'no_worker';
}

/** Sent by the coordinator when the replicas of a model change. */
export interface ReplicasChangedRequest {
  readonly zone: string;
  readonly fence: number;
  readonly models: readonly ModelReplicas[];
}

export interface DescribePlacementRequest {
  readonly zone: string;
}

/** State of one worker, as observed by the coordinator. */
export interface WorkerStatus {
  readonly workerId: string;
  readonly reached: boolean;
  readonly leaving: boolean;
  readonly memoryGib: number;
  readonly committedGib: number;
  readonly replicas: readonly ReplicaStatus[];
}

export interface ReplicaStatus {
  readonly model: string;
  readonly state: string;
}

/** Placement of one model in a zone; all counts are replicas. */
export interface ModelStatus {
  readonly model: string;
  readonly decided: number;
  readonly loaded: number;
  readonly loading: number;
  readonly allotment: number;
}

export interface DescribePlacementResponse {
  readonly zone: string;
  readonly fence: number;
  readonly recovered: boolean;
  readonly workers: readonly WorkerStatus[];
  readonly models: readonly ModelStatus[];
}

export const reportDemandMethod = definePeerMethod<ReportDemandRequest, ReportDemandResponse>(
  'placement.demand',
);
export const replicasChangedMethod = definePeerMethod<ReplicasChangedRequest, Acknowledgement>(
  'placement.replicasChanged',
);
export const describePlacementMethod = definePeerMethod<DescribePlacementRequest, DescribePlacementResponse>(
  'placement.describe',
);
