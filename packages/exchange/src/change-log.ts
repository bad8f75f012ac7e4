/** Recent changes, for daemons that fetch them one after the other. */
import type { Clock } from '@woodbarrow/runtime';

/** Milliseconds for which a change is kept; later the workers' own records tell it. */
const CHANGE_RETENTION_MS = 4000;
/** A reader that stayed away for longer may have missed an answer, and begins anew, in milliseconds. */
const READER_RETENTION_MS = 1000;

interface NumberedChange<Change> {
  readonly number: number;
  readonly at: number;
  /** Daemon that announced it, and needs not be told. */
  readonly from: string;
  readonly change: Change;
}

interface Reader {
  readonly number: number;
  readonly at: number;
}

/** A change as it is read. */
export interface ReadChange<Change> {
  readonly change: Change;
  /** Milliseconds for which it has been kept here. */
  readonly ageMs: number;
}

/** Changes in the order in which they came, and how far each reader has come. */
export class ChangeLog<Change> {
  private changes: NumberedChange<Change>[] = [];
  private lastNumber = 0;
  private readonly readers = new Map<string, Reader>();

  constructor(private readonly clock: Clock) {}

  /** Whether a reader has read here lately. */
  hasRecentReader(reader: string): boolean {
    const known = this.readers.get(reader);
    return known !== undefined && this.clock.monotonic() - known.at <= READER_RETENTION_MS;
  }

  /** Enters what a daemon announced. */
  add(changes: readonly Change[], from: string): void {
    const at = this.clock.monotonic();
    for (const change of changes) {
      this.lastNumber += 1;
      this.changes.push({ number: this.lastNumber, at, from, change });
    }
    this.changes = this.changes.filter((kept) => at - kept.at <= CHANGE_RETENTION_MS);
  }

  /** Changes that a reader has not yet been given; all recent ones when it comes anew. */
  read(reader: string): ReadChange<Change>[] {
    const now = this.clock.monotonic();
    const after = this.hasRecentReader(reader) ? (this.readers.get(reader)?.number ?? 0) : 0;
    this.readers.set(reader, { number: this.lastNumber, at: now });
    const unread = this.changes.filter((kept) => kept.number > after && now - kept.at <= CHANGE_RETENTION_MS);
    const fromOthers = unread.filter((kept) => kept.from !== reader);
    return fromOthers.map(({ change, at }) => ({ change, ageMs: now - at }));
  }
}
