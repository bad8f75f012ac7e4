/** Records about streams in memory, shared by all daemons of a test. */
import type { StreamOriginEntry } from '@woodbarrow/protocol';
import type { StoredVersionRecord, StreamRecordStore, VersionRecord } from '../src/index.js';

export class InMemoryStreamRecords implements StreamRecordStore {
  /** Calls of each kind. */
  readonly calls: string[] = [];
  isReachable = true;
  private readonly versions = new Map<string, StoredVersionRecord>();
  private readonly origins = new Map<string, readonly StreamOriginEntry[]>();

  versionsOf(service: string): readonly string[] | undefined {
    return this.versions.get(service)?.record.versions;
  }

  originsOf(daemon: string): readonly StreamOriginEntry[] | undefined {
    return this.origins.get(daemon);
  }

  /** Marks all version records as written before the store was restored. */
  restore(): void {
    for (const [service, stored] of this.versions)
      this.versions.set(service, { ...stored, isCurrent: false });
  }

  readVersions(service: string): Promise<StoredVersionRecord | undefined> {
    return this.call('readVersions', () => this.versions.get(service));
  }

  writeVersions(record: VersionRecord, revision?: number): Promise<StoredVersionRecord | undefined> {
    return this.call('writeVersions', () => {
      if (this.versions.get(record.service)?.revision !== revision) return undefined;
      const stored = { record, revision: (revision ?? 0) + 1, isCurrent: true };
      this.versions.set(record.service, stored);
      return stored;
    });
  }

  readOrigins(): Promise<readonly StreamOriginEntry[]> {
    return this.call('readOrigins', () => [...this.origins.values()].flat());
  }

  readOriginsOf(daemon: string): Promise<readonly StreamOriginEntry[]> {
    return this.call('readOriginsOf', () => this.origins.get(daemon) ?? []);
  }

  writeOrigins(daemon: string, entries: readonly StreamOriginEntry[]): Promise<void> {
    return this.call('writeOrigins', () => void this.origins.set(daemon, entries));
  }

  removeOrigins(daemon: string): Promise<void> {
    return this.call('removeOrigins', () => void this.origins.delete(daemon));
  }

  private call<T>(name: string, answer: () => T): Promise<T> {
    this.calls.push(name);
    return this.isReachable ? Promise.resolve(answer()) : Promise.reject(new Error('no answer'));
  }
}
