/** Port: records about streams that outlive all daemons. Calls may reject; a call that rejects may still have been carried out. */
import type { StreamOriginEntry } from '@woodbarrow/protocol';

/** Software versions at which the streams of a service may have begun that can still be taken up. */
export interface VersionRecord {
  readonly service: string;
  readonly versions: readonly string[];
}

/** Version record as it is stored. */
export interface StoredVersionRecord {
  readonly record: VersionRecord;
  readonly revision: number;
  /** Whether it was written since the store was last restored from a copy; an older one may lack versions. */
  readonly isCurrent: boolean;
}

/** Store of these records. */
export interface StreamRecordStore {
  /** Reads the latest version record of a service; undefined when there is none. */
  readVersions(service: string): Promise<StoredVersionRecord | undefined>;
  /**
   * Writes a version record.
   *
   * @param revision Revision that is replaced; undefined to create the record.
   * @returns The stored record; undefined if it was changed concurrently.
   */
  writeVersions(
    record: VersionRecord,
    revision: number | undefined,
  ): Promise<StoredVersionRecord | undefined>;
  /** Reads the origins that all daemons have stored. */
  readOrigins(): Promise<readonly StreamOriginEntry[]>;
  /** Reads the origins that one daemon has stored. */
  readOriginsOf(daemon: string): Promise<readonly StreamOriginEntry[]>;
  /** Replaces the origins that one daemon has stored. */
  writeOrigins(daemon: string, entries: readonly StreamOriginEntry[]): Promise<void>;
  /** Removes the origins that one daemon has stored. */
  removeOrigins(daemon: string): Promise<void>;
}
