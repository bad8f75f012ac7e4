/**
 * Exchanges crash marks, which record processes that crashed while serving a request. Daemons compare
 * digests, which are usually equal, and send all marks only to a daemon whose digest differs.
 */
import type { CrashMarkEntry, CrashMarkReport, SourcePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { SentUpdates } from './sent-updates.js';

/** Source name of the crash marks in {@link SentUpdates}. */
const CRASH_MARK_SOURCE = 'crash marks';

/** Crash marks that are replicated on every daemon. */
export interface SharedCrashMarks {
  /** Digest of the marks, equal on daemons with the same marks; 0 when there are none. */
  readonly digest: number;
  entries(): readonly CrashMarkEntry[];
  merge(entries: readonly CrashMarkEntry[]): void;
}

/** Exchanges the crash marks of one daemon with the others. */
export class CrashMarkTransfer {
  /** Last reported digest of each daemon. */
  private readonly reportedDigests = new Map<string, number>();

  private readonly sentUpdates: SentUpdates;

  constructor(
    private readonly marks: SharedCrashMarks,
    clock: Clock,
  ) {
    this.sentUpdates = new SentUpdates(clock);
  }

  /** Whether a daemon last reported a different digest and was not sent the current marks recently. */
  hasUpdateFor(daemon: string): boolean {
    return this.differsFrom(daemon) && this.sentUpdates.isDue(daemon, this.positionOf(daemon));
  }

  /** Builds the report for a daemon. */
  reportFor(daemon: string): CrashMarkReport {
    const { digest } = this.marks;
    const isSent = this.differsFrom(daemon) && this.sentUpdates.maySend(daemon, this.positionOf(daemon));
    return isSent ? { digest, marks: this.marks.entries() } : { digest };
  }

  /** Applies a report of a daemon; an absent report means that the daemon has no marks. */
  receive(daemon: string, report: CrashMarkReport | undefined): void {
    this.reportedDigests.set(daemon, report?.digest ?? 0);
    if (report?.marks !== undefined) this.marks.merge(report.marks);
  }

  private differsFrom(daemon: string): boolean {
    return (this.reportedDigests.get(daemon) ?? 0) !== this.marks.digest;
  }

  /**
   * Position made of both digests, so that the same marks are not sent again to an unchanged daemon too soon.
   */
  private positionOf(daemon: string): SourcePosition {
    return {
      source: CRASH_MARK_SOURCE,
      revision: this.reportedDigests.get(daemon) ?? 0,
      names: this.marks.digest,
    };
  }
}
