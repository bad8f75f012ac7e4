/**
 * What daemons send each other of processes that ended under requests. Digests tell whether two of them know the same, which they
 * nearly always do; all marks are sent only to one that does not.
 */
import type { CrashMarkEntry, CrashMarkReport, SourcePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { SentUpdates } from './sent-updates.js';

/** Stands for the marks among what is sent to a daemon. */
const CRASH_MARK_SOURCE = 'crash marks';

/** Marks that every daemon holds a copy of. */
export interface SharedCrashMarks {
  /** Equal on daemons that know the same marks; 0 when there are none. */
  readonly digest: number;
  entries(): readonly CrashMarkEntry[];
  merge(entries: readonly CrashMarkEntry[]): void;
}

/** Transfer between one daemon and the others. */
export class CrashMarkTransfer {
  /** What each daemon last told of itself. */
  private readonly reportedDigests = new Map<string, number>();

  private readonly sentUpdates: SentUpdates;

  constructor(
    private readonly marks: SharedCrashMarks,
    clock: Clock,
  ) {
    this.sentUpdates = new SentUpdates(clock);
  }

  /** Whether a daemon was last heard to know other marks than this one, and has not just been sent these. */
  hasUpdateFor(daemon: string): boolean {
    return this.differsFrom(daemon) && this.sentUpdates.isDue(daemon, this.positionOf(daemon));
  }

  /** What to tell a daemon. */
  reportFor(daemon: string): CrashMarkReport {
    const { digest } = this.marks;
    const isSent = this.differsFrom(daemon) && this.sentUpdates.maySend(daemon, this.positionOf(daemon));
    return isSent ? { digest, marks: this.marks.entries() } : { digest };
  }

  /** Takes what a daemon told; one that tells nothing knows of no marks. */
  receive(daemon: string, report: CrashMarkReport | undefined): void {
    this.reportedDigests.set(daemon, report?.digest ?? 0);
    if (report?.marks !== undefined) this.marks.merge(report.marks);
  }

  private differsFrom(daemon: string): boolean {
    return (this.reportedDigests.get(daemon) ?? 0) !== this.marks.digest;
  }

  /** What it knows, and what it would be sent: the same for the same is sent once in a while only. */
  private positionOf(daemon: string): SourcePosition {
    return {
      source: CRASH_MARK_SOURCE,
      revision: this.reportedDigests.get(daemon) ?? 0,
      names: this.marks.digest,
    };
  }
}
