/**
 * Directory of the back ends that a daemon has observed. Since records of the object store are stale for a while,
 * loads and unloads announced by the zones' coordinators take precedence over them for a limited time.
 */
import Emittery from 'emittery';
import type { CancelTimer, Clock } from '@woodbarrow/runtime';
import type { BackEnd } from './back-end.js';
import { hasAdapter, keysServedBy, targetKey, type AdapterTarget, type ModelTarget } from './model-name.js';
import { TargetIndex } from './target-index.js';

/** Events of {@link BackendDirectory}. */
export interface BackendDirectoryEvents {
  /** A back end was added, or its record or draining state changed. */
  changed: BackEnd;
  /** A back end was removed. */
  removed: BackEnd;
  /** A target was announced to be, or no longer to be, resident on a back end. */
  residency: { readonly backEndId: string; readonly target: ModelTarget; readonly resident: boolean };
}

/** Milliseconds for which an announcement takes precedence over the worker's own, delayed record. */
export const ANNOUNCEMENT_PRECEDENCE_MS = 4000;
/**
 * Milliseconds for which a back end is still used after its record has vanished. Records also vanish during faults of
 * the store and return with the next heartbeat. Well below the time for which a leaving back end continues to serve.
 */
export const ABSENCE_GRACE_MS = 700;
/**
 * Milliseconds for which a back end is still used after a restored copy of the store lacked its record. A running
 * back end writes its record again within this time.
 */
export const RESTORED_ABSENCE_GRACE_MS = 2000;
/**
 * Milliseconds after a restoration of the store for which a back end whose record had vanished before, and is listed
 * again, counts as draining. Longer than the store keeps a record that is no longer written.
 */
export const RESTORED_LEAVING_MS = 6000;
/** Milliseconds for which a vanished record is remembered; exceeds the age of the copies the store is restored from. */
const VANISHED_RETENTION_MS = 60_000;
/**
 * Milliseconds for which another daemon's report that a back end leaves takes precedence over its record. By then the
 * back end has ended or has notified this daemon itself; its own notice does not expire this early.
 */
export const PEER_LEAVING_TTL_MS = 20_000;
/** Milliseconds for which a leaving back end is remembered, since its record may vanish and return. */
const LEAVING_RETENTION_MS = 600_000;
/** Milliseconds for which records of an incarnation that has ended are ignored. */
const ENDED_RETENTION_MS = 60_000;

interface Announcement {
  readonly isResident: boolean;
  readonly announcedAt: number;
}

interface Entry {
  /** The record, marked as draining if the back end is known to leave. */
  backEnd: BackEnd;
  /** The record as last read. */
  record: BackEnd;
  readonly announcements: Map<string, Announcement>;
  /** Keys of the targets in the record. */
  recordedKeys: ReadonlySet<string>;
  /** Monotonic time of the last change of the record. */
  changedAt: number;
  /** Cancels the scheduled removal; set while the record has vanished and the grace period runs. */
  cancelRemoval: CancelTimer | undefined;
}

/** Tracks back ends, the targets resident on them, and whether they are draining. */
export class BackendDirectory {
  readonly events = new Emittery<BackendDirectoryEvents>();
  private readonly entries = new Map<string, Entry>();
  /** Cache of the back ends of each service, invalidated by changes. */
  private readonly byService = new Map<string, BackEnd[]>();
  /** Back ends that may hold a target by their record or by an announcement, which may have expired. */
  private readonly holderIndex = new TargetIndex();
  private readonly endedAt = new Map<string, number>();
  /** Monotonic time until which each leaving back end counts as draining. */
  private readonly leavingUntil = new Map<string, number>();
  /** Monotonic time of removal of each back end whose record had vanished. */
  private readonly vanishedAt = new Map<string, number>();
  /** Monotonic time at which records were last listed after a restoration of the store. */
  private restoredAt = -Infinity;
  /** Id of the current incarnation of each name. */
  private readonly idByName = new Map<string, string>();

  constructor(private readonly clock: Clock) {}

  /** Returns the back ends of a service, including draining ones. */
  ofService(service: string): readonly BackEnd[] {
    let members = this.byService.get(service);
    if (members === undefined) {
      members = this.all().filter((backEnd) => backEnd.service === service);
      this.byService.set(service, members);
    }
    return members;
  }

  /** Returns all back ends. */
  all(): BackEnd[] {
    return [...this.entries.values()].map((entry) => entry.backEnd);
  }

  /** Returns the number of back ends of each service. */
  countByService(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { service } of this.all()) counts.set(service, (counts.get(service) ?? 0) + 1);
    return counts;
  }

  /** Returns the number of back ends of each software version, by `service/version`. */
  countByVersion(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { service, softwareVersion } of this.all()) {
      const key = `${service}/${softwareVersion ?? ''}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  get(id: string): BackEnd | undefined {
    return this.entries.get(id)?.backEnd;
  }

  /** Returns the milliseconds since this daemon last stored the record of a back end; Infinity if it is unknown. */
  recordAgeMs(id: string): number {
    const entry = this.entries.get(id);
    return entry === undefined ? Infinity : this.clock.monotonic() - entry.changedAt;
  }

  /** Returns the current incarnation of a name. */
  findByName(name: string): BackEnd | undefined {
    const id = this.idByName.get(name);
    return id === undefined ? undefined : this.get(id);
  }

  /** Adds or updates a back end. An earlier incarnation with the same name is removed, since it has ended. */
  put(backEnd: BackEnd): void {
    if (this.endedAt.has(backEnd.id)) return;
    const previous = this.findByName(backEnd.name);
    if (previous !== undefined && previous.id !== backEnd.id) {
      // A record written by an earlier incarnation may arrive after the first record of the next one.
      if ((backEnd.startedAt ?? -Infinity) < (previous.startedAt ?? -Infinity)) return;
      this.remove(previous.id);
    }
    this.idByName.set(backEnd.name, backEnd.id);
    const now = this.clock.monotonic();
    this.recordLeaving(backEnd, now);
    const existing = this.entries.get(backEnd.id);
    const recordedKeys = recordedTargets(backEnd);
    if (existing === undefined) {
      this.entries.set(backEnd.id, {
        backEnd: this.applyLeaving(backEnd),
        record: backEnd,
        announcements: new Map(),
        recordedKeys,
        changedAt: now,
        cancelRemoval: undefined,
      });
    } else {
      existing.cancelRemoval?.();
      existing.cancelRemoval = undefined;
      existing.backEnd = this.applyLeaving(backEnd);
      existing.record = backEnd;
      existing.recordedKeys = recordedKeys;
      existing.changedAt = now;
    }
    for (const key of recordedKeys) this.holderIndex.add(key, backEnd.id);
    this.byService.delete(backEnd.service);
    void this.events.emit('changed', this.applyLeaving(backEnd));
  }

  /**
   * Marks a back end as leaving, whatever its record says. Returns whether it was not marked before.
   *
   * @param source `answer` if the back end notified this daemon itself, `peer` if another daemon reported it.
   */
  markLeaving(id: string, source: 'answer' | 'peer'): boolean {
    const now = this.clock.monotonic();
    this.removeExpiredLeaving(now);
    const isKnown = this.isLeaving(id);
    const until = source === 'answer' ? now + LEAVING_RETENTION_MS : now + PEER_LEAVING_TTL_MS;
    this.extendLeaving(id, until);
    if (source === 'peer') this.clock.schedule(PEER_LEAVING_TTL_MS + 1, () => this.updateDraining(id));
    this.updateDraining(id);
    return !isKnown;
  }

  /** Removes a back end whose record has vanished, unless the record returns within the grace period. */
  recordVanished(name: string): void {
    this.scheduleRemoval(name, ABSENCE_GRACE_MS, (id) => this.vanishedAt.set(id, this.clock.monotonic()));
  }

  private scheduleRemoval(
    name: string,
    graceMs: number,
    beforeRemoval: (id: string) => void = () => undefined,
  ): void {
    const id = this.idByName.get(name);
    const entry = id === undefined ? undefined : this.entries.get(id);
    if (id === undefined || entry === undefined || entry.cancelRemoval !== undefined) return;
    entry.cancelRemoval = this.clock.schedule(graceMs, () => {
      beforeRemoval(id);
      this.removeEntry(id);
    });
  }

  /** Removes an incarnation that is known to have ended, and ignores later records of it. */
  remove(id: string): void {
    const now = this.clock.monotonic();
    this.removeExpiredEnded(now);
    this.endedAt.set(id, now);
    this.removeEntry(id);
  }

  /** Applies a complete list of back ends; those that it lacks count as vanished. */
  replaceAll(backEnds: readonly BackEnd[]): void {
    for (const name of this.namesMissingIn(backEnds)) this.recordVanished(name);
    for (const backEnd of backEnds) this.put(backEnd);
  }

  /**
   * Applies a complete list of back ends after the store was restored from a copy, which lacks newer back ends and may
   * list some that have ended.
   */
  restoreAll(backEnds: readonly BackEnd[]): void {
    this.restoredAt = this.clock.monotonic();
    for (const name of this.namesMissingIn(backEnds)) this.scheduleRemoval(name, RESTORED_ABSENCE_GRACE_MS);
    for (const backEnd of backEnds) this.put(backEnd);
  }

  private namesMissingIn(backEnds: readonly BackEnd[]): string[] {
    const names = new Set(backEnds.map(({ name }) => name));
    return [...this.idByName.keys()].filter((name) => !names.has(name));
  }

  /** Records an announcement that a target is, or is no longer, resident on a back end. */
  announce(id: string, target: ModelTarget, isResident: boolean): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const announcedAt = this.clock.elapsed();
    const key = targetKey(target);
    entry.announcements.set(key, { isResident, announcedAt });
    if (isResident) this.holderIndex.add(key, id);
    if (target.adapterVersion !== undefined && hasAdapter(target))
      this.announceAnyVersion(entry, target, announcedAt);
    void this.events.emit('residency', { backEndId: id, target, resident: isResident });
  }

  /** Whether a target is resident on a back end, by its announcements and its record. */
  holds(id: string, target: ModelTarget): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) return false;
    if (target.adapter !== undefined && !this.isResident(entry, target.model)) return false;
    return this.isResident(entry, targetKey(target));
  }

  /** Returns the back ends of a service that accept requests and hold a target. */
  holdersOf(service: string, target: ModelTarget): BackEnd[] {
    const holders: BackEnd[] = [];
    const key = targetKey(target);
    for (const id of this.holderIndex.backEndsFor(key)) {
      const entry = this.entries.get(id);
      if (entry === undefined || !mayHold(entry, key)) this.holderIndex.remove(key, id);
      else if (entry.backEnd.service === service && !entry.backEnd.draining && this.holds(id, target))
        holders.push(entry.backEnd);
    }
    return holders;
  }

  /** Updates the target without a version after an announcement for one version of its adapter. */
  private announceAnyVersion(entry: Entry, { model, adapter }: AdapterTarget, announcedAt: number): void {
    const anyVersion = targetKey({ model, adapter });
    const keys = [...entry.recordedKeys, ...entry.announcements.keys()];
    const isResident = keys.some((key) => key.startsWith(`${anyVersion}@`) && this.isResident(entry, key));
    entry.announcements.set(anyVersion, { isResident, announcedAt });
    if (isResident) this.holderIndex.add(anyVersion, entry.backEnd.id);
  }

  private isResident(entry: Entry, key: string): boolean {
    const announcement = entry.announcements.get(key);
    if (announcement === undefined) return entry.recordedKeys.has(key);
    if (this.clock.elapsed() - announcement.announcedAt <= ANNOUNCEMENT_PRECEDENCE_MS)
      return announcement.isResident;
    entry.announcements.delete(key);
    return entry.recordedKeys.has(key);
  }

  /**
   * Records that a back end is leaving if its record says so, or if its record had vanished and was listed again after
   * a restoration. An incarnation never returns from leaving, but a restored copy of the store may show earlier states.
   */
  private recordLeaving({ id, draining }: BackEnd, now: number): void {
    if (draining) {
      this.extendLeaving(id, now + LEAVING_RETENTION_MS);
      return;
    }
    for (const [vanished, at] of this.vanishedAt)
      if (now - at > VANISHED_RETENTION_MS) this.vanishedAt.delete(vanished);
    if (!this.vanishedAt.has(id) || now - this.restoredAt > RESTORED_LEAVING_MS) return;
    this.extendLeaving(id, this.restoredAt + RESTORED_LEAVING_MS);
    this.clock.schedule(this.restoredAt + RESTORED_LEAVING_MS - now + 1, () => this.updateDraining(id));
  }

  /** Whether an incarnation is known to have ended lately, see {@link remove}. */
  hasEnded(id: string): boolean {
    return this.endedAt.has(id);
  }

  private extendLeaving(id: string, until: number): void {
    this.leavingUntil.set(id, Math.max(until, this.leavingUntil.get(id) ?? 0));
  }

  /** Whether a back end has announced that it leaves, also after its record has vanished. */
  isLeaving(id: string): boolean {
    return (this.leavingUntil.get(id) ?? -Infinity) > this.clock.monotonic();
  }

  private applyLeaving(backEnd: BackEnd): BackEnd {
    return backEnd.draining || !this.isLeaving(backEnd.id) ? backEnd : { ...backEnd, draining: true };
  }

  /** Updates whether a back end counts as draining. */
  private updateDraining(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const wasDraining = entry.backEnd.draining;
    entry.backEnd = this.applyLeaving(entry.record);
    if (entry.backEnd.draining === wasDraining) return;
    this.byService.delete(entry.record.service);
    void this.events.emit('changed', entry.backEnd);
  }

  private removeExpiredLeaving(now: number): void {
    for (const [id, until] of this.leavingUntil) if (until <= now) this.leavingUntil.delete(id);
  }

  private removeEntry(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.cancelRemoval?.();
    this.entries.delete(id);
    if (this.idByName.get(entry.backEnd.name) === id) this.idByName.delete(entry.backEnd.name);
    this.byService.delete(entry.backEnd.service);
    void this.events.emit('removed', entry.backEnd);
  }

  private removeExpiredEnded(now: number): void {
    for (const [id, at] of this.endedAt) {
      if (now - at > ENDED_RETENTION_MS) this.endedAt.delete(id);
    }
  }
}

/** Whether a target is in the record of a back end or has an announcement. */
function mayHold({ recordedKeys, announcements }: Entry, key: string): boolean {
  return recordedKeys.has(key) || announcements.has(key);
}

function recordedTargets(backEnd: BackEnd): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const held of backEnd.models) {
    keys.add(held.name);
    for (const copy of held.adapters) for (const key of keysServedBy(held.name, copy)) keys.add(key);
  }
  return keys;
}
