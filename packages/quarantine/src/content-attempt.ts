/** Runs of contents on processes, as the quarantine is told of them. */
import type { BackEnd } from '@woodbarrow/backends';

/** One run of a content on a process. */
export interface ContentAttempt {
  readonly content: string;
  /** Id and route of a request; empty for a load. */
  readonly requestId: string;
  readonly route: string;
  /** Contents of the prompt parts that other requests may share; absent for a load. */
  readonly parts?: readonly string[];
  /** Target of a load, as in {@link QuarantineRecord.load}; undefined for a request. */
  readonly load?: string;
  readonly backEnd: BackEnd;
  /** Monotonic time at which the attempt was sent. */
  readonly sentAt: number;
  /** Whether events of its answer have come, so that the process had begun to write it. */
  readonly hasBegun?: boolean;
}

/** An attempt whose response broke off. */
export interface BrokenAttempt extends ContentAttempt {
  /** Whether the process had announced that it leaves before the response broke off. Its end is then expected. */
  readonly wasLeaving: boolean;
}
