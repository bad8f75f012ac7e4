/**
 * Records of the store as this daemon last knew them. A store that is restored from a copy may lack some of them, and show others again that had been
 * removed: what was found out stays in force and is written again, and what an operator lifted stays lifted.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { QuarantineEntry } from './quarantine-record.js';

/** Milliseconds for which it is remembered that a record was removed: copies are some seconds old. */
const REMOVED_RETENTION_MS = 60_000;

/** How a copy differs from what was known. */
export interface RestoreDifference {
  /** Records that were known and that the copy lacks. */
  readonly lost: readonly QuarantineEntry[];
  /** Records of the copy that had been removed before. */
  readonly removed: readonly QuarantineEntry[];
  /** Records of the copy that hold. */
  readonly valid: readonly QuarantineEntry[];
}

/** Records by name. */
export class RecordCache {
  private readonly entries = new Map<string, QuarantineEntry>();
  /** Names of records that a copy lacked and that have not been seen since. */
  private readonly awaitingRewrite = new Set<string>();
  /** Monotonic time at which each record was removed. */
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

  /** Names of records that a listing of all lacks, other than those that are being written again. */
  missingFrom(listed: readonly QuarantineEntry[]): readonly string[] {
    const names = new Set(listed.map(({ content }) => content));
    return [...this.entries.keys()].filter((name) => !names.has(name) && !this.awaitingRewrite.has(name));
  }

  /** Compares what is known with a copy from which the store was restored. */
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

  /** Forgets removals that no copy can undo any more. */
  pruneRemoved(): void {
    const oldest = this.clock.monotonic() - REMOVED_RETENTION_MS;
    for (const [name, at] of this.removedAt) if (at < oldest) this.removedAt.delete(name);
  }
}
