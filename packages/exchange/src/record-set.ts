/**
 * Records of one kind as far as a daemon has seen them, whether from the store or from other daemons. Within one era of the store its
 * revisions order all changes of the kind, so what another daemon lacks follows from the newest revision that it has seen and from a
 * digest of the names that it holds. A higher era begins with a whole listing: the store was restored from a copy, and what was known
 * under its earlier revisions cannot be compared with what it gives out now. Records that carry a version of their own never go back.
 */
import {
  compareStorePositions,
  type RecordEntry,
  type RecordUpdate,
  type SourcePosition,
  type StorePosition,
} from '@woodbarrow/protocol';
import { hashText } from '@woodbarrow/runtime';

/** Where a listing comes from. */
export type ListingOrigin =
  | 'store'
  /** A copy from which the store was restored: it may lack what was known, and show what has gone. */
  | 'restored_store';

/** Receives the records of one kind; called in the order of the changes. */
export interface RecordHandlers {
  /** All records there are. */
  readonly onList: (records: readonly RecordEntry[], origin: ListingOrigin) => void;
  readonly onChange: (record: RecordEntry) => void;
  readonly onGone: (name: string) => void;
}

/** Options of {@link RecordSet}. */
export interface RecordSetOptions {
  /** Called whenever a newer record has been seen. @default nothing is called */
  readonly onNewer?: () => void;
  /** Version that a record carries itself, which only rises; undefined where it carries none. @default none carries one */
  readonly versionOf?: (record: RecordEntry) => number | undefined;
}

/**
 * Position after a listing without records: above 0, which says that nothing is known and is answered with all there is each time,
 * and below the revision of any record, which is 1 or more.
 */
const EMPTY_LISTING_REVISION = 0.5;

/** Records of one kind. */
export class RecordSet {
  private readonly records = new Map<string, RecordEntry>();
  private readonly versions = new Map<string, number>();
  private era = 0;
  /** Revision of the newest record seen in the era. */
  private newestRevision = 0;
  /** Revision up to which every change of the kind in the era is known. */
  private completeRevision = 0;
  private namesDigest = 0;
  private listed = false;

  /** @param source Kind of the records. */
  constructor(
    readonly source: string,
    private readonly handlers: RecordHandlers,
    private readonly options: RecordSetOptions = {},
  ) {}

  /** Whether all records have been seen once. */
  get isListed(): boolean {
    return this.listed;
  }

  /** How far this daemon has come. */
  get position(): SourcePosition & StorePosition {
    const { source, era, newestRevision: revision, namesDigest: names } = this;
    const version = this.newestVersion;
    return { source, era, revision, names, ...(version === undefined ? {} : { version }) };
  }

  /** Revision of a record as it is known here; undefined where there is none of that name. */
  revisionOf(name: string): number | undefined {
    return this.records.get(name)?.revision;
  }

  /**
   * Makes the set hold just the records of a listing; one older than what is known changes nothing. A listing of
   * several pages may hold records newer than its revision, and lack others as new: the watch from there brings them.
   * That of a restored store may be older than what was known before: a record goes back only where it carries no version.
   *
   * @returns whether it was taken.
   */
  replaceAll(listing: readonly RecordEntry[], at: StorePosition): boolean {
    if (compareStorePositions(at, { era: this.era, revision: this.newestRevision }) < 0) return false;
    const isRestored = at.era > this.era && this.listed;
    const records = this.withNewerVersions(listing, at.revision);
    this.beginEra(at.era);
    this.records.clear();
    this.versions.clear();
    this.namesDigest = 0;
    for (const record of records) this.store(record);
    this.listed = true;
    this.handlers.onList(records, isRestored ? 'restored_store' : 'store');
    this.noteComplete(at.revision);
    this.advanceTo(
      records.reduce(
        (newest, record) => Math.max(newest, Math.min(record.revision, at.revision)),
        EMPTY_LISTING_REVISION,
      ),
    );
    return true;
  }

  /** Enters a record unless one as new is known. */
  put(record: RecordEntry): void {
    const existing = this.records.get(record.name);
    if (existing === undefined || this.isNewer(record, existing)) {
      this.store(record);
      this.handlers.onChange(record);
    }
    this.advanceTo(record.revision);
  }

  /** A record is gone. @param revision That of its removal: a newer record of the name stays. */
  remove(name: string, revision = Infinity): void {
    const existing = this.records.get(name);
    if (existing === undefined || existing.revision > revision) return;
    this.records.delete(name);
    this.versions.delete(name);
    this.namesDigest ^= digestOf(name);
    this.handlers.onGone(name);
  }

  /** All changes of the era up to a revision have been entered. */
  noteComplete(revision: number): void {
    this.completeRevision = Math.max(this.completeRevision, revision);
  }

  /** What a daemon at a position lacks; undefined when it lacks nothing that is known here. */
  updateFor(position: SourcePosition): RecordUpdate | undefined {
    const era = position.era ?? this.era;
    if (!this.listed || era > this.era) return undefined;
    const complete = [...this.records.values()].filter((record) => record.revision <= this.completeRevision);
    if (era < this.era || position.revision === 0) return this.update(complete, complete);
    const newer = complete.filter((record) => this.hasNewerVersion(record, position.version));
    if (position.revision > this.completeRevision) return newer.length === 0 ? undefined : this.update(newer);
    const records = complete.filter(
      (record) => record.revision > position.revision || newer.includes(record),
    );
    const sameNames = position.names === this.namesDigest;
    if (records.length === 0 && sameNames) return undefined;
    return this.update(records, sameNames ? undefined : complete);
  }

  /** Takes what another daemon knows beyond this one. */
  merge(update: RecordUpdate): void {
    const { era = this.era, revision, records, names } = update;
    if (era < this.era) return;
    if (!this.listed || era > this.era) {
      // Only an answer to a daemon that knew nothing of the era holds everything.
      if (names?.length === records.length) this.replaceAll(records, { era, revision });
      return;
    }
    const previouslyCompleteTo = this.completeRevision;
    for (const record of records) {
      // What was there up to then and is not held here has gone since.
      if (record.revision > previouslyCompleteTo || this.records.has(record.name)) this.put(record);
    }
    this.noteComplete(revision);
    if (names === undefined) return;
    const remaining = new Set(names);
    for (const record of [...this.records.values()]) {
      if (record.revision <= revision && !remaining.has(record.name)) this.remove(record.name);
    }
  }

  private update(records: readonly RecordEntry[], named?: readonly RecordEntry[]): RecordUpdate {
    const { source, era, completeRevision: revision } = this;
    const names = named?.map(({ name }) => name);
    return { source, era, revision, records, ...(names === undefined ? {} : { names }) };
  }

  private beginEra(era: number): void {
    if (era === this.era) return;
    this.era = era;
    this.newestRevision = 0;
    this.completeRevision = 0;
  }

  /** The records of a listing, or those known here where their own version is higher. */
  private withNewerVersions(listing: readonly RecordEntry[], revision: number): RecordEntry[] {
    const listed = new Map(listing.map((record) => [record.name, record]));
    for (const [name, version] of this.versions) {
      const existing = this.records.get(name);
      const other = listed.get(name);
      const otherVersion = other === undefined ? undefined : this.options.versionOf?.(other);
      if (existing === undefined || version <= (otherVersion ?? -Infinity)) continue;
      listed.set(name, { ...existing, revision: other?.revision ?? revision });
    }
    return [...listed.values()];
  }

  private isNewer(record: RecordEntry, existing: RecordEntry): boolean {
    const version = this.options.versionOf?.(record);
    const existingVersion = this.versions.get(existing.name);
    if (version === undefined || existingVersion === undefined || version === existingVersion)
      return record.revision > existing.revision;
    return version > existingVersion;
  }

  /** @param than Highest version that another daemon has; undefined where it told of none. */
  private hasNewerVersion({ name }: RecordEntry, than: number | undefined): boolean {
    const version = this.versions.get(name);
    return version !== undefined && than !== undefined && version > than;
  }

  private get newestVersion(): number | undefined {
    return this.versions.size === 0 ? undefined : Math.max(...this.versions.values());
  }

  private store(record: RecordEntry): void {
    if (!this.records.has(record.name)) this.namesDigest ^= digestOf(record.name);
    this.records.set(record.name, record);
    const version = this.options.versionOf?.(record);
    if (version === undefined) this.versions.delete(record.name);
    else this.versions.set(record.name, version);
  }

  private advanceTo(revision: number): void {
    if (revision <= this.newestRevision) return;
    this.newestRevision = revision;
    this.noteComplete(revision);
    this.options.onNewer?.();
  }
}

function digestOf(name: string): number {
  return hashText(name) | 0;
}
