/** Messages between gateways about jobs, which can be polled at any daemon and survive the failure of the daemon that accepted them. */
import type { Incarnation } from './membership-messages.js';
import { definePeerMethod } from './method.js';

/** Outcome of one run of a job, or of the refusal to run it. */
export interface JobEnd {
  /** Claimant of the job's key that produced the outcome; absent if none reported one. */
  readonly claimant?: string;
  /** HTTP status and body that a caller receives as the job's result. */
  readonly status: number;
  readonly body: Uint8Array;
}

/** A job, as stored by the daemons that replicate it. */
export interface JobRecord {
  /** Job id; contains the names of the daemons that store the job when it is accepted. */
  readonly id: string;
  readonly tenant: string;
  /** Daemon that accepted the job, and runs it unless it is lost. */
  readonly acceptedBy: Incarnation;
  /** Path of the request. Path, headers and body are stored so that another daemon can run the job. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time of submission, in milliseconds since the Unix epoch. */
  readonly submittedAt: number;
  /** Outcomes that claimants have produced, before the ledger of claims has confirmed one of them. */
  readonly proposals: readonly JobEnd[];
  /** Final outcome; absent while the job has none. */
  readonly end?: JobEnd;
}

export interface StoreJobRequest {
  readonly job: JobRecord;
  /** Daemon that sends its copy. */
  readonly sender: Incarnation;
}

export interface StoreJobResponse {
  /** Copy of the receiver, if it holds an outcome that the sender's copy lacks. */
  readonly job?: JobRecord;
}

export interface FetchJobRequest {
  readonly jobId: string;
}

export interface FetchJobResponse {
  readonly job?: JobRecord;
  /** Whether the responding daemon is running the job now. */
  readonly isExecuting: boolean;
}

export const storeJobMethod = definePeerMethod<StoreJobRequest, StoreJobResponse>('gateway.storeJob');
export const fetchJobMethod = definePeerMethod<FetchJobRequest, FetchJobResponse>('gateway.fetchJob');
