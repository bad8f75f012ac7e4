/** The configuration in force on this daemon. Its revision never goes back. */
import Emittery from 'emittery';
import type { ConfigurationEntry, ConfigurationUpdate } from '@woodbarrow/protocol';

/** Events of {@link ConfigurationStore}. */
export interface ConfigurationEvents {
  /** A higher revision is in force. */
  applied: { readonly revision: number; readonly keys: readonly string[] };
}

/** Number of past changes kept, from which updates for others are made. */
const MAX_HISTORY_ENTRIES = 512;

/** Holds all platform objects at one revision and applies only higher ones. */
export class ConfigurationStore {
  readonly events = new Emittery<ConfigurationEvents>();
  private readonly entries = new Map<string, ConfigurationEntry>();
  /** Past changes in order of revision. */
  private readonly history: ConfigurationEntry[] = [];
  /** Lowest base revision for which the history has every change. */
  private historyBase = 0;
  private currentRevision = 0;

  /** Revision in force; 0 before the first. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Number of objects. */
  get size(): number {
    return this.entries.size;
  }

  /** The value of an object, or undefined. */
  get(key: string): object | undefined {
    return this.entries.get(key)?.value ?? undefined;
  }

  /** Revision of an object's last change, or 0. */
  revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  /** Objects whose key begins with `prefix`. */
  withPrefix(prefix: string): ConfigurationEntry[] {
    return [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix));
  }

  /** Applies an update. Returns false, changing nothing, unless it leads from here to a higher revision. */
  apply(update: ConfigurationUpdate): boolean {
    if (update.revision <= this.currentRevision) return false;
    const isSnapshot = update.baseRevision === 0;
    if (!isSnapshot && update.baseRevision > this.currentRevision) return false;
    const changed = isSnapshot ? this.replaceAll(update) : this.applyChanges(update);
    this.currentRevision = update.revision;
    void this.events.emit('applied', { revision: update.revision, keys: changed });
    return true;
  }

  /** What leads from `revision` to the one in force, or undefined when the asker is as new. */
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
