/** Lease records in the deployment's store, and the interface to that store. */
import { compareStorePositions, type StorePosition } from '@woodbarrow/protocol';
import type { WitnessId } from './lease-witness.js';

/** Lease as it is stored. */
export interface LeaseRecord {
  /**
   * Name of the machine that holds the lease, the same after a restart of its process; empty after a release.
   */
  readonly holder: string;
  /** Identifies the run of the holder's process. */
  readonly instance: number;
  /** Fencing token; increases with every change of the holder or of its run. */
  readonly fence: number;
  /**
   * Milliseconds for which the record must be observed unchanged before another machine may take the lease.
   */
  readonly lifetimeMs: number;
  /**
   * Number of renewals. It makes every renewal a visible change, since the store ignores writes that change
   * nothing.
   */
  readonly renewal: number;
  /** Daemons whose majority the holder must be in contact with; empty where there are too few. */
  readonly witnesses: readonly WitnessId[];
  /**
   * Milliseconds after this write before which nobody may act under the lease: neither the holder, also after a
   * restart, nor a successor, whichever way it acquires the lease.
   */
  readonly pauseMs: number;
  /**
   * Era of the store for which the record was written; absent in records of daemons without support for eras.
   */
  readonly era?: number;
}

/** Lease record with the position of its last change, in the era that the store reported. */
export interface StoredLease extends StorePosition {
  readonly record: LeaseRecord;
}

/** Era of the store that this process last observed. */
export interface ObservedEra {
  readonly era: number;
  /**
   * Milliseconds since this process first observed the era; Infinity where no earlier era can have had
   * leases.
   */
  readonly observedForMs: number;
}

/**
 * Interface to the store. A call that throws may still have been carried out, or may be carried out later.
 */
export interface LeaseRecordStore {
  /** Returns the last observed era of the store. */
  currentEra(): ObservedEra;
  /** Reads the record; undefined when there is none. */
  read(name: string): Promise<StoredLease | undefined>;
  /** Writes the first record; undefined when one already exists. */
  create(name: string, record: LeaseRecord): Promise<StoredLease | undefined>;
  /** Replaces the record of the given revision; undefined when the stored record has another revision. */
  replace(name: string, record: LeaseRecord, revision: number): Promise<StoredLease | undefined>;
}

/**
 * Number of fences in one era of the store: enough for a change of holder each minute for a year. Fences of a
 * later era are always higher, even if the copy from which the store was restored lacks recent ones.
 */
const MAX_FENCES_PER_ERA = 2 ** 20;

/** Whether a record was written before the store was restored. */
export function isFromEarlierEra({ record, era }: StoredLease): boolean {
  return record.era !== undefined && record.era < era;
}

export function isSamePosition(left: StorePosition, right: StorePosition): boolean {
  return compareStorePositions(left, right) === 0;
}

/** Returns the lowest fence of an era. */
export function firstFenceOfEra(era: number): number {
  return era * MAX_FENCES_PER_ERA + 1;
}

/** Returns the fence for the holder that replaces a record. */
export function nextFence({ record, era }: StoredLease): number {
  return Math.max(record.fence + 1, firstFenceOfEra(era));
}
