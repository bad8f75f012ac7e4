/**
 * Caches the stored records. A store that was restored from a backup may lack newer records and
 * contain removed ones. Missing records stay in effect and are written again; verdicts that an
 * operator lifted are removed again.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { QuarantineEntry } from './quarantine-record.js';

/** Time for which a removal is remembered, in milliseconds. Must exceed the age of a backup. */
const REMOVED_RETENTION_MS = 60_000;

/** Differences between a backup and the cached records. */
export interface RestoreDifference {
  /** Cached records that the backup lacks. */
  readonly lost: readonly QuarantineEntry[];
  /** Records of the backup that have been removed since. */
  readonly removed: readonly QuarantineEntry[];
  /** Records of the backup that are in effect. */
  readonly valid: readonly QuarantineEntry[];
}

/** Cached records by name. */
export class RecordCache {
  private readonly entries = new Map<string, QuarantineEntry>();
  /** Names of records that the backup lacked and that are not stored again yet. */
  private readonly awaitingRewrite = new Set<string>();
  /** Monotonic time of each removal, by record name. */
  private readonly removedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  handleStored(entry: QuarantineEntry): void {
    this.entries.set(entry.content, entry);
    this.awaitingRewrite.delete(entry.content);
  }

  handleRemoved(name: string): void {
    this.awaitingRewrite.delete(name);
    if (this.entries.delete(name)) this.removedAt.set(name, this.clock.monotonic());
  }

  has(name: string): boolean {
    return this.entries.has(name);
  }

  /**
   * Returns the names of cached records that a complete listing lacks, except those that are being
   * written again.
   */
  missingFrom(listed: readonly QuarantineEntry[]): readonly string[] {
    const names = new Set(listed.map(({ content }) => content));
    return [...this.entries.keys()].filter((name) => !names.has(name) && !this.awaitingRewrite.has(name));
  }

  /** Compares the cached records with a backup from which the store was restored. */
  compareWithBackup(backup: readonly QuarantineEntry[]): RestoreDifference {
    const oldest = this.clock.monotonic() - REMOVED_RETENTION_MS;
    const isRemoved = ({ content }: QuarantineEntry): boolean =>
      !this.entries.has(content) && (this.removedAt.get(content) ?? -Infinity) >= oldest;
    const lost = this.missingFrom(backup).flatMap((name) => this.entries.get(name) ?? []);
    for (const { content } of lost) this.awaitingRewrite.add(content);
    return {
      lost,
      removed: backup.filter(isRemoved),
      valid: backup.filter((entry) => !isRemoved(entry)),
    };
  }

  /** Forgets removals that are older than any backup. */
  pruneRemoved(): void {
    const oldest = this.clock.monotonic() - REMOVED_RETENTION_MS;
    for (const [name, at] of this.removedAt) if (at < oldest) this.removedAt.delete(name);
  }
}
