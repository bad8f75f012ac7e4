/**
 * What daemons send each other of processes that ended under requests. Digests tell whether two of them know the same, which they
 * nearly always do; all marks are sent only to one that does not.
 */
import type { CrashMarkEntry, CrashMarkReport } from '@woodbarrow/protocol';

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
  private readonly digests = new Map<string, number>();

  constructor(private readonly marks: SharedCrashMarks) {}

  /** Whether a daemon was last heard to know other marks than this one. */
  differsFrom(daemon: string): boolean {
    return (this.digests.get(daemon) ?? 0) !== this.marks.digest;
  }

  /** What to tell a daemon. */
  reportFor(daemon: string): CrashMarkReport {
    const { digest } = this.marks;
    return this.differsFrom(daemon) ? { digest, marks: this.marks.entries() } : { digest };
  }

  /** Takes what a daemon told; one that tells nothing knows of no marks. */
  take(daemon: string, report: CrashMarkReport | undefined): void {
    this.digests.set(daemon, report?.digest ?? 0);
    if (report?.marks !== undefined) this.marks.merge(report.marks);
  }
}
