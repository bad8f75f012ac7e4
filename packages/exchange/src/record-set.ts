/**
 * Records of one kind as far as a daemon has seen them, whether from the store or from other daemons. Revisions of
 * the store order all changes of the kind, so what another daemon lacks follows from the newest revision that it
 * has seen and from a digest of the names that it holds.
 */
import type { RecordEntry, RecordUpdate, SourcePosition } from '@woodbarrow/protocol';
import { hashText } from '@woodbarrow/runtime';

/** Receives the records of one kind; called in the order of the changes. */
export interface RecordHandlers {
  /** All records there are. */
  readonly onList: (records: readonly RecordEntry[]) => void;
  readonly onChange: (record: RecordEntry) => void;
  readonly onGone: (name: string) => void;
}

/**
 * Position after a listing without records: above 0, which says that nothing is known and is answered with all there is each time,
 * and below the revision of any record, which is 1 or more.
 */
const EMPTY_LISTING_REVISION = 0.5;

/** Records of one kind. */
export class RecordSet {
  private readonly records = new Map<string, RecordEntry>();
  /** Revision of the newest record seen. */
  private newest = 0;
  /** Revision up to which every change of the kind is known. */
  private completeTo = 0;
  private namesDigest = 0;
  private listed = false;

  /**
   * @param source Kind of the records.
   * @param onNewer Called whenever a newer record has been seen.
   */
  constructor(
    readonly source: string,
    private readonly handlers: RecordHandlers,
    private readonly onNewer: () => void = () => undefined,
  ) {}

  /** Whether all records have been seen once. */
  get isListed(): boolean {
    return this.listed;
  }

  /** How far this daemon has come. */
  get position(): SourcePosition {
    return { source: this.source, revision: this.newest, names: this.namesDigest };
  }

  /**
   * Makes the set hold just the records of a listing; one older than what is known changes nothing. A listing of
   * several pages may hold records newer than its revision, and lack others as new: the watch from there brings them.
   *
   * @returns whether it was taken.
   */
  replaceAll(records: readonly RecordEntry[], revision: number): boolean {
    if (revision < this.newest) return false;
    this.records.clear();
    this.namesDigest = 0;
    for (const record of records) this.store(record);
    this.listed = true;
    this.handlers.onList(records);
    this.noteComplete(revision);
    this.advance(
      records.reduce(
        (newest, record) => Math.max(newest, Math.min(record.revision, revision)),
        EMPTY_LISTING_REVISION,
      ),
    );
    return true;
  }

  /** Revision of a record as it is known here; undefined where there is none of that name. */
  revisionOf(name: string): number | undefined {
    return this.records.get(name)?.revision;
  }

  /** Enters a record unless one as new is known. */
  put(record: RecordEntry): void {
    const known = this.records.get(record.name);
    if (known === undefined || known.revision < record.revision) {
      this.store(record);
      this.handlers.onChange(record);
    }
    this.advance(record.revision);
  }

  /** A record is gone. @param revision That of its removal: a newer record of the name stays. */
  remove(name: string, revision = Infinity): void {
    const known = this.records.get(name);
    if (known === undefined || known.revision > revision) return;
    this.records.delete(name);
    this.namesDigest ^= digestOf(name);
    this.handlers.onGone(name);
  }

  /** All changes up to a revision have been entered. */
  noteComplete(revision: number): void {
    this.completeTo = Math.max(this.completeTo, revision);
  }

  /** What a daemon at a position lacks; undefined when it lacks nothing that is known here. */
  updateFor(position: SourcePosition): RecordUpdate | undefined {
    if (!this.listed || position.revision > this.completeTo) return undefined;
    const complete = [...this.records.values()].filter((record) => record.revision <= this.completeTo);
    const records = complete.filter((record) => record.revision > position.revision);
    const sameNames = position.revision > 0 && position.names === this.namesDigest;
    if (records.length === 0 && sameNames) return undefined;
    const update = { source: this.source, revision: this.completeTo, records };
    return sameNames ? update : { ...update, names: complete.map(({ name }) => name) };
  }

  /** Takes what another daemon knows beyond this one. */
  merge({ revision, records, names }: RecordUpdate): void {
    if (!this.listed) {
      // Only an answer to a daemon that knew nothing holds everything.
      if (names?.length === records.length) this.replaceAll(records, revision);
      return;
    }
    const knownTo = this.completeTo;
    for (const record of records) {
      // What was there up to then and is not held here has gone since.
      if (record.revision > knownTo || this.records.has(record.name)) this.put(record);
    }
    this.noteComplete(revision);
    if (names === undefined) return;
    const kept = new Set(names);
    for (const record of [...this.records.values()]) {
      if (record.revision <= revision && !kept.has(record.name)) this.remove(record.name);
    }
  }

  private store(record: RecordEntry): void {
    if (!this.records.has(record.name)) this.namesDigest ^= digestOf(record.name);
    this.records.set(record.name, record);
  }

  private advance(revision: number): void {
    if (revision <= this.newest) return;
    this.newest = revision;
    this.noteComplete(revision);
    this.onNewer();
  }
}

function digestOf(name: string): number {
  return hashText(name) | 0;
}
