/** Log of recent changes, which several readers consume independently. */
import type { Clock } from '@woodbarrow/runtime';

/** Milliseconds for which a change is retained; after that, readers see it in the workers' own records. */
const CHANGE_RETENTION_MS = 4000;
/**
 * Milliseconds after which an inactive reader may have missed a response and is sent all recent changes
 * again.
 */
const READER_RETENTION_MS = 1000;

interface NumberedChange<Change> {
  readonly number: number;
  readonly at: number;
  /** Daemon that announced the change; it is not sent the change again. */
  readonly from: string;
  readonly change: Change;
}

interface Reader {
  readonly number: number;
  readonly at: number;
}

/** A change as returned to a reader. */
export interface ReadChange<Change> {
  readonly change: Change;
  /** Milliseconds since the change was added. */
  readonly ageMs: number;
}

/** Changes in order of arrival, with the read position of each reader. */
export class ChangeLog<Change> {
  private changes: NumberedChange<Change>[] = [];
  private lastNumber = 0;
  private readonly readers = new Map<string, Reader>();

  constructor(private readonly clock: Clock) {}

  /** Whether a reader has read within the retention time of readers. */
  hasRecentReader(reader: string): boolean {
    const known = this.readers.get(reader);
    return known !== undefined && this.clock.monotonic() - known.at <= READER_RETENTION_MS;
  }

  /** Adds changes that a daemon announced. */
  add(changes: readonly Change[], from: string): void {
    const at = this.clock.monotonic();
    for (const change of changes) {
      this.lastNumber += 1;
      this.changes.push({ number: this.lastNumber, at, from, change });
    }
    this.changes = this.changes.filter((kept) => at - kept.at <= CHANGE_RETENTION_MS);
  }

  /** Returns the changes that a reader has not received yet; all recent ones for a new or expired reader. */
  read(reader: string): ReadChange<Change>[] {
    const now = this.clock.monotonic();
    const after = this.hasRecentReader(reader) ? (this.readers.get(reader)?.number ?? 0) : 0;
    this.readers.set(reader, { number: this.lastNumber, at: now });
    const unread = this.changes.filter((kept) => kept.number > after && now - kept.at <= CHANGE_RETENTION_MS);
    const fromOthers = unread.filter((kept) => kept.from !== reader);
    return fromOthers.map(({ change, at }) => ({ change, ageMs: now - at }));
  }
}
