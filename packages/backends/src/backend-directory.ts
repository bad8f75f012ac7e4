/**
 * The back ends that a daemon knows. Records of the object store lag behind; what the zones' coordinators
 * announce of loads and unloads goes before a record for a while.
 */
import Emittery from 'emittery';
import type { Clock } from '@woodbarrow/runtime';
import type { BackEnd } from './back-end.js';
import { targetKey, type ModelTarget } from './model-name.js';

/** Events of {@link BackendDirectory}. */
export interface BackendDirectoryEvents {
  /** A back end appeared or its record changed. */
  changed: BackEnd;
  /** A back end is gone. */
  removed: BackEnd;
  /** Word came that a target is, or is no longer, resident somewhere. */
  residency: { readonly backEndId: string; readonly target: ModelTarget; readonly resident: boolean };
}

/** Milliseconds during which an announcement goes before the worker's own record, which arrives late. */
export const ANNOUNCEMENT_PRECEDENCE_MS = 4000;
/** Milliseconds during which a removed incarnation is not believed to be back. */
const REMOVED_MEMORY_MS = 60_000;

interface Announcement {
  readonly resident: boolean;
  readonly at: number;
}

interface Entry {
  backEnd: BackEnd;
  readonly announcements: Map<string, Announcement>;
  /** Targets in the record. */
  recorded: ReadonlySet<string>;
  /** When the record last changed, monotonic. */
  changedAt: number;
}

/** Back ends by id and by service. */
export class BackendDirectory {
  readonly events = new Emittery<BackendDirectoryEvents>();
  private readonly entries = new Map<string, Entry>();
  private readonly byService = new Map<string, BackEnd[]>();
  private readonly removedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Back ends of a service, those that are draining included. */
  ofService(service: string): readonly BackEnd[] {
    return this.byService.get(service) ?? [];
  }

  /** All back ends. */
  all(): BackEnd[] {
    return [...this.entries.values()].map((entry) => entry.backEnd);
  }

  get(id: string): BackEnd | undefined {
    return this.entries.get(id)?.backEnd;
  }

  /** Milliseconds since the record of a back end last changed here. */
  recordAgeMs(id: string): number {
    const entry = this.entries.get(id);
    return entry === undefined ? Infinity : this.clock.monotonic() - entry.changedAt;
  }

  /** Enters a back end or a newer record of it. */
  put(backEnd: BackEnd): void {
    if (this.removedAt.has(backEnd.id)) return;
    const now = this.clock.monotonic();
    const known = this.entries.get(backEnd.id);
    const recorded = recordedTargets(backEnd);
    if (known === undefined) {
      this.entries.set(backEnd.id, { backEnd, announcements: new Map(), recorded, changedAt: now });
    } else {
      known.backEnd = backEnd;
      known.recorded = recorded;
      known.changedAt = now;
    }
    this.reindex(backEnd.service);
    void this.events.emit('changed', backEnd);
  }

  /** Removes an incarnation for good; one that never was is only remembered. */
  remove(id: string): void {
    const now = this.clock.monotonic();
    this.forgetRemoved(now);
    this.removedAt.set(id, now);
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    this.entries.delete(id);
    this.reindex(entry.backEnd.service);
    void this.events.emit('removed', entry.backEnd);
  }

  /** Makes the directory hold just these back ends. */
  replaceAll(backEnds: readonly BackEnd[]): void {
    const ids = new Set(backEnds.map((backEnd) => backEnd.id));
    for (const id of [...this.entries.keys()]) {
      if (!ids.has(id)) this.remove(id);
    }
    for (const backEnd of backEnds) this.put(backEnd);
  }

  /** Notes that a target is, or is no longer, resident on a back end. */
  announce(id: string, target: ModelTarget, resident: boolean): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.announcements.set(targetKey(target), { resident, at: this.clock.monotonic() });
    void this.events.emit('residency', { backEndId: id, target, resident });
  }

  /** Whether a target is believed to be resident on a back end. */
  holds(id: string, target: ModelTarget): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) return false;
    if (target.adapter !== undefined && !this.believes(entry, target.model)) return false;
    return this.believes(entry, targetKey(target));
  }

  /** Back ends of a service that take requests and hold a target. */
  holdersOf(service: string, target: ModelTarget): BackEnd[] {
    return this.ofService(service).filter((backEnd) => !backEnd.draining && this.holds(backEnd.id, target));
  }

  private believes(entry: Entry, key: string): boolean {
    const word = entry.announcements.get(key);
    if (word === undefined) return entry.recorded.has(key);
    if (this.clock.monotonic() - word.at <= ANNOUNCEMENT_PRECEDENCE_MS) return word.resident;
    entry.announcements.delete(key);
    return entry.recorded.has(key);
  }

  private reindex(service: string): void {
    const members = [...this.entries.values()]
      .map((entry) => entry.backEnd)
      .filter((backEnd) => backEnd.service === service);
    if (members.length === 0) this.byService.delete(service);
    else this.byService.set(service, members);
  }

  private forgetRemoved(now: number): void {
    for (const [id, at] of this.removedAt) {
      if (now - at > REMOVED_MEMORY_MS) this.removedAt.delete(id);
    }
  }
}

function recordedTargets(backEnd: BackEnd): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const held of backEnd.models) {
    keys.add(held.name);
    for (const adapter of held.adapters) keys.add(targetKey({ model: held.name, adapter }));
  }
  return keys;
}
