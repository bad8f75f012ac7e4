/** Options and results of the quarantine. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock, Random } from '@woodbarrow/runtime';
import type { ProcessProbe } from './process-state-checker.js';
import type { QuarantineStore } from './quarantine-record.js';

/** Options of the quarantine. */
export interface RequestQuarantineOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  readonly probe: ProcessProbe;
  readonly store: QuarantineStore;
  /** Whether this daemon is responsible for removing a record that has expired. */
  readonly removesRecord: (content: string) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** The reason why a content is refused. */
export interface Verdict {
  /** Number of processes that ended while they ran the content. */
  readonly ends: number;
  /** Milliseconds until the content may run again. */
  readonly retryAfterMs: number;
}

/** Counts for metrics. */
export interface QuarantineTotals {
  /** Pairs of a content and a process that ended while it ran the content. */
  readonly marks: number;
  /** Contents with active marks. */
  readonly suspects: number;
  /** Contents that are refused. */
  readonly quarantined: number;
  /** Contents without a verdict that this daemon refused as they have had all their trials. */
  readonly untried: number;
  /** Requests since the start that waited for the trial of a prompt part. */
  readonly trialsAwaited: number;
  /** Ended runs since the start whose process is known to have lived on, or to have ended, or neither. */
  readonly runsSurvived: number;
  readonly runsEnded: number;
  readonly runsUnknown: number;
  /** Checks of processes for such runs. */
  readonly runChecks: number;
}
