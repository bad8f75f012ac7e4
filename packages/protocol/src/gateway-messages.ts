/** Messages between gateways about jobs, which can be polled at any daemon and survive the failure of the daemon that accepted them. */
import type { Acknowledgement } from './membership-messages.js';
import { definePeerMethod } from './method.js';

export type JobState = 'queued' | 'finished' | 'failed';

/** A job, as stored by the daemons that replicate it. */
export interface JobRecord {
  /** Job id; contains the names of the daemons that store the job. */
  readonly id: string;
  readonly tenant: string;
  readonly state: JobState;
  /** Path of the request. Path, headers and body are stored so that another daemon can run the job again. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time of submission, in milliseconds since the Unix epoch. */
  readonly submittedAt: number;
  /** HTTP status of the result; absent until the job has one. */
  readonly status?: number;
  readonly result?: Uint8Array;
}

export interface StoreJobRequest {
  readonly job: JobRecord;
}

export interface FetchJobRequest {
  readonly jobId: string;
}

export interface FetchJobResponse {
  readonly job?: JobRecord;
}

export const storeJobMethod = definePeerMethod<StoreJobRequest, Acknowledgement>('gateway.storeJob');
export const fetchJobMethod = definePeerMethod<FetchJobRequest, FetchJobResponse>('gateway.fetchJob');
