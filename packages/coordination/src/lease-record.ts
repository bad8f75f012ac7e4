/** What the store of the deployment keeps of a lease, and the port to it. */
import { compareStorePositions, type StorePosition } from '@woodbarrow/protocol';
import type { WitnessId } from './lease-witness.js';

/** What the store keeps of a lease. */
export interface LeaseRecord {
  /** Name of the machine that holds it; kept over restarts of its process. Empty when given back. */
  readonly holder: string;
  /** The holder's run. */
  readonly instance: number;
  /** Rises with every change of the holder or of its run. */
  readonly fence: number;
  /** Milliseconds that the record must be seen unchanged before another may take the lease. */
  readonly lifetimeMs: number;
  /** Counts renewals: the store takes a write that changes nothing for no change, and others would see none. */
  readonly renewal: number;
  /** Daemons that the holder must be in contact with; none where there are too few. */
  readonly witnesses: readonly WitnessId[];
  /** Milliseconds after this write began before which the holder must not act; a restart of it waits them again. */
  readonly pauseMs: number;
  /** Era of the store for which this was written; absent in records of daemons that know no eras. */
  readonly era?: number;
}

/** A record with the position of its last change, in the era in which the store answered. */
export interface StoredLease extends StorePosition {
  readonly record: LeaseRecord;
}

/** Era of the store as its answers told last. */
export interface KnownEra {
  readonly era: number;
  /** Milliseconds since this process first heard of it; Infinity where nothing can have been leased before it. */
  readonly knownForMs: number;
}

/** Port: the store. Every call may throw, and may then have been carried out, or may be later. */
export interface LeaseRecordStore {
  /** What this process knows of the store's era. */
  currentEra(): KnownEra;
  /** The record, or undefined when there is none. */
  read(name: string): Promise<StoredLease | undefined>;
  /** Writes the first record; undefined when there is one already. */
  create(name: string, record: LeaseRecord): Promise<StoredLease | undefined>;
  /** Replaces the record of the given revision; undefined when it has another one by now. */
  replace(name: string, record: LeaseRecord, revision: number): Promise<StoredLease | undefined>;
}

/**
 * Fences that can be given in one era of the store: a change of holder each minute for a year. Those of a later era are higher, whatever the
 * copy has lost from which the store was restored.
 */
const MAX_FENCES_PER_ERA = 2 ** 20;

/** Whether a record is from before the store was restored. */
export function isFromEarlierEra({ record, era }: StoredLease): boolean {
  return record.era !== undefined && record.era < era;
}

/** Whether two positions are the same. */
export function isSamePosition(left: StorePosition, right: StorePosition): boolean {
  return compareStorePositions(left, right) === 0;
}

/** Lowest fence that may be given in an era. */
export function firstFenceOf(era: number): number {
  return era * MAX_FENCES_PER_ERA + 1;
}

/** Fence of the next holder after the one of a record. */
export function nextFence({ record, era }: StoredLease): number {
  return Math.max(record.fence + 1, firstFenceOf(era));
}
