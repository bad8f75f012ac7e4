/** The current configuration of this daemon. Its revision never decreases. */
import Emittery from 'emittery';
import type { ConfigurationEntry, ConfigurationUpdate } from '@woodbarrow/protocol';

/** Events of {@link ConfigurationStore}. */
export interface ConfigurationEvents {
  /** A higher revision was applied; `keys` names the changed objects. */
  applied: { readonly revision: number; readonly keys: readonly string[] };
}

/** Maximum number of past changes retained to build incremental updates for peers. */
const MAX_HISTORY_ENTRIES = 512;

/** Stores all platform objects at one revision and applies only updates to higher revisions. */
export class ConfigurationStore {
  readonly events = new Emittery<ConfigurationEvents>();
  private readonly entries = new Map<string, ConfigurationEntry>();
  /** Past changes in ascending order of revision. */
  private readonly history: ConfigurationEntry[] = [];
  /** Lowest base revision after which the history contains every change. */
  private historyBase = 0;
  private currentRevision = 0;

  /** Current revision; 0 before the first update. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Number of stored objects. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the value of an object, or undefined if it does not exist. */
  get(key: string): object | undefined {
    return this.entries.get(key)?.value ?? undefined;
  }

  /** Returns the revision of an object's last change, or 0 if it does not exist. */
  revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  /** Returns the objects whose key starts with `prefix`. */
  withPrefix(prefix: string): ConfigurationEntry[] {
    return [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  /** Applies an update. Returns false and changes nothing if its revision is not higher or its base revision is ahead of this store. */
  apply(update: ConfigurationUpdate): boolean {
    if (update.revision <= this.currentRevision) return false;
    const isSnapshot = update.baseRevision === 0;
    if (!isSnapshot && update.baseRevision > this.currentRevision) return false;
    const changed = isSnapshot ? this.replaceAll(update) : this.applyChanges(update);
    this.currentRevision = update.revision;
    void this.events.emit('applied', { revision: update.revision, keys: changed });
    return true;
  }

  /** Returns the update from `revision` to the current revision, or undefined if there is nothing newer. */
  updateSince(revision: number): ConfigurationUpdate | undefined {
    if (revision >= this.currentRevision) return undefined;
    if (revision < this.historyBase || revision === 0) {
      return { baseRevision: 0, revision: this.currentRevision, entries: [...this.entries.values()] };
    }
    const entries = this.history.filter((entry) => entry.revision > revision);
    return { baseRevision: revision, revision: this.currentRevision, entries };
  }

  private replaceAll(update: ConfigurationUpdate): string[] {
    const keys = new Set([...this.entries.keys(), ...update.entries.map((entry) => entry.key)]);
    this.entries.clear();
    for (const entry of update.entries) this.entries.set(entry.key, entry);
    this.history.length = 0;
    this.historyBase = update.revision;
    return [...keys];
  }

  private applyChanges(update: ConfigurationUpdate): string[] {
    const changed: string[] = [];
    for (const entry of update.entries) {
      const stored = this.entries.get(entry.key);
      if (entry.revision <= this.currentRevision) continue;
      if (stored !== undefined && stored.revision >= entry.revision) continue;
      if (entry.value === null) this.entries.delete(entry.key);
      else this.entries.set(entry.key, entry);
      this.history.push(entry);
      changed.push(entry.key);
    }
    this.trimHistory();
    return changed;
  }

  private trimHistory(): void {
    while (this.history.length > MAX_HISTORY_ENTRIES) {
      this.historyBase = this.history.shift()?.revision ?? this.historyBase;
    }
  }
}
