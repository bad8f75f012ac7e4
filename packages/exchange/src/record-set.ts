/**
 * The records of one kind that a daemon has received from the store or from other daemons. Within one era of
 * the store its revisions order all changes of the kind, so the newest revision and a digest of the names
 * determine what another daemon lacks. A higher era means that the store was restored from a copy: its
 * revisions are not comparable with earlier ones, so the set starts over with a complete listing. Records
 * with their own versions never revert to a lower one.
 */
import {
  compareStorePositions,
  type RecordEntry,
  type RecordUpdate,
  type SourcePosition,
  type StorePosition,
} from '@woodbarrow/protocol';
import { hashText } from '@woodbarrow/runtime';

/** Origin of a listing. */
export type ListingOrigin =
  | 'store'
  /** A restored store, whose records may be older than the ones received before. */
  | 'restored_store';

/** Receives the records of one kind, in the order of their changes. */
export interface RecordHandlers {
  /** Called with all records of a listing. */
  readonly onList: (records: readonly RecordEntry[], origin: ListingOrigin) => void;
  readonly onChange: (record: RecordEntry) => void;
  readonly onRemoved: (name: string) => void;
}

export interface RecordSetOptions {
  /** Called after a newer record was received. @default not called */
  readonly onNewer?: () => void;
  /**
   * Returns the increasing version that a record carries; undefined where it has none.
   * @default no record has one
   */
  readonly versionOf?: (record: RecordEntry) => number | undefined;
}

/**
 * Revision after a listing without records. It is above 0, which stands for a set that has received nothing
 * and requests all records, and below the revision of any record, which is at least 1.
 */
const EMPTY_LISTING_REVISION = 0.5;

/** Records of one kind. */
export class RecordSet {
  private readonly records = new Map<string, RecordEntry>();
  private readonly versions = new Map<string, number>();
  private era = 0;
  /** Revision of the newest record received in the era. */
  private newestRevision = 0;
  /** Revision up to which all changes of the era have been received. */
  private completeRevision = 0;
  private namesDigest = 0;
  private listed = false;

  /** @param source Kind of the records. */
  constructor(
    readonly source: string,
    private readonly handlers: RecordHandlers,
    private readonly options: RecordSetOptions = {},
  ) {}

  /** Whether a complete listing has been received. */
  get isListed(): boolean {
    return this.listed;
  }

  /** Position that this daemon has reached. */
  get position(): SourcePosition & StorePosition {
    const { source, era, newestRevision: revision, namesDigest: names } = this;
    const version = this.newestVersion;
    return { source, era, revision, names, ...(version === undefined ? {} : { version }) };
  }

  /** Returns the revision of a stored record; undefined when there is none of that name. */
  revisionOf(name: string): number | undefined {
    return this.records.get(name)?.revision;
  }

  /**
   * Replaces all records by a listing, unless the listing is older than the set. A listing of several pages
   * may include some records newer than its revision and lack others; the watch from that revision delivers
   * them. A listing of a restored store may be older than the set: only records without a version revert.
   *
   * @returns Whether the listing was applied.
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
    this.markComplete(at.revision);
    this.advanceTo(
      records.reduce(
        (newest, record) => Math.max(newest, Math.min(record.revision, at.revision)),
        EMPTY_LISTING_REVISION,
      ),
    );
    return true;
  }

  /** Stores a record unless the set has one that is as new. */
  put(record: RecordEntry): void {
    const existing = this.records.get(record.name);
    if (existing === undefined || this.isNewer(record, existing)) {
      this.store(record);
      this.handlers.onChange(record);
    }
    this.advanceTo(record.revision);
  }

  /**
   * Removes a record.
   *
   * @param revision Revision of the removal; a newer record of the name is retained.
   */
  remove(name: string, revision = Infinity): void {
    const existing = this.records.get(name);
    if (existing === undefined || existing.revision > revision) return;
    this.records.delete(name);
    this.versions.delete(name);
    this.namesDigest ^= digestOf(name);
    this.handlers.onRemoved(name);
  }

  /** Marks all changes of the era up to a revision as received. */
  markComplete(revision: number): void {
    this.completeRevision = Math.max(this.completeRevision, revision);
  }

  /** Returns what a daemon at a position lacks; undefined when there is nothing to send. */
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

  /** Merges an update from another daemon. */
  merge(update: RecordUpdate): void {
    const { era = this.era, revision, records, names } = update;
    if (era < this.era) return;
    if (!this.listed || era > this.era) {
      // Only an update for a daemon without any record of the era is complete.
      if (names?.length === records.length) this.replaceAll(records, { era, revision });
      return;
    }
    const previouslyCompleteTo = this.completeRevision;
    for (const record of records) {
      // A record from before that revision that is absent here has been removed since.
      if (record.revision > previouslyCompleteTo || this.records.has(record.name)) this.put(record);
    }
    this.markComplete(revision);
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

  /** Returns the records of a listing, or the stored ones where their own version is higher. */
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

  /** @param than Highest version that another daemon reports; undefined where it reports none. */
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
    this.markComplete(revision);
    this.options.onNewer?.();
  }
}

function digestOf(name: string): number {
  return hashText(name) | 0;
}
