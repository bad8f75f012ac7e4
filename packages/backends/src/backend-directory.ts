/**
 * The back ends that a daemon knows. Records of the object store lag behind; what the zones' coordinators
 * announce of loads and unloads goes before a record for a while.
 */
import Emittery from 'emittery';
import type { CancelTimer, Clock } from '@woodbarrow/runtime';
import type { BackEnd } from './back-end.js';
import { hasAdapter, keysServedBy, targetKey, type AdapterTarget, type ModelTarget } from './model-name.js';
import { TargetIndex } from './target-index.js';

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
/**
 * Milliseconds for which a back end whose record has vanished is still used: records also vanish while the store
 * is in trouble, and come back with the next heartbeat. Well below the time a leaving back end goes on to serve.
 */
export const ABSENCE_GRACE_MS = 700;
/**
 * The same for a back end that a copy lacks from which the store was restored: whoever lives records itself again within this time.
 */
export const RESTORED_ABSENCE_GRACE_MS = 2000;
/**
 * Milliseconds after a restoration within which a back end whose record had vanished before counts as leaving when it is shown again: longer than
 * the store keeps a record that nobody writes.
 */
export const RESTORED_LEAVING_MS = 6000;
/** Milliseconds for which it is remembered that a record has vanished: copies are some seconds old. */
const VANISHED_RETENTION_MS = 60_000;
/**
 * Milliseconds for which another daemon's word that a back end leaves goes before its record: it ends within seconds, or this daemon
 * hears it itself. What it told this daemon holds for as long as it lives.
 */
export const PEER_LEAVING_TTL_MS = 20_000;
/** Milliseconds for which it is remembered that a back end leaves whose record has vanished: it may come back. */
const LEAVING_RETENTION_MS = 600_000;
/** Milliseconds during which an incarnation that is proven to have ended is not believed to be back. */
const ENDED_RETENTION_MS = 60_000;

interface Announcement {
  readonly isResident: boolean;
  readonly announcedAt: number;
}

interface Entry {
  /** As its record says, but draining where the back end has said that it leaves. */
  backEnd: BackEnd;
  /** As its record says. */
  record: BackEnd;
  readonly announcements: Map<string, Announcement>;
  /** Targets in the record. */
  recordedKeys: ReadonlySet<string>;
  /** When the record last changed, monotonic. */
  changedAt: number;
  /** Set while the record has vanished and the grace runs. */
  cancelRemoval: CancelTimer | undefined;
}

/** Back ends by id and by service. */
export class BackendDirectory {
  readonly events = new Emittery<BackendDirectoryEvents>();
  private readonly entries = new Map<string, Entry>();
  /** Back ends by service, put together when asked for after a change. */
  private readonly byService = new Map<string, BackEnd[]>();
  /** Back ends that are said to hold a target, in their record or by word that may have run out. */
  private readonly holderIndex = new TargetIndex();
  private readonly endedAt = new Map<string, number>();
  /** Back ends that have said that they leave: monotonic time until which that is believed. */
  private readonly leavingUntil = new Map<string, number>();
  /** Back ends removed as their record had vanished, and when, monotonic. */
  private readonly vanishedAt = new Map<string, number>();
  /** Monotonic time at which the records were last listed from a copy. */
  private restoredAt = -Infinity;
  /** Id of the incarnation that is known under each name. */
  private readonly idByName = new Map<string, string>();

  constructor(private readonly clock: Clock) {}

  /** Back ends of a service, those that are draining included. */
  ofService(service: string): readonly BackEnd[] {
    let members = this.byService.get(service);
    if (members === undefined) {
      members = this.all().filter((backEnd) => backEnd.service === service);
      this.byService.set(service, members);
    }
    return members;
  }

  /** All back ends. */
  all(): BackEnd[] {
    return [...this.entries.values()].map((entry) => entry.backEnd);
  }

  /** Number of back ends of each service. */
  countByService(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { service } of this.all()) counts.set(service, (counts.get(service) ?? 0) + 1);
    return counts;
  }

  get(id: string): BackEnd | undefined {
    return this.entries.get(id)?.backEnd;
  }

  /** Milliseconds since the record of a back end last changed here. */
  recordAgeMs(id: string): number {
    const entry = this.entries.get(id);
    return entry === undefined ? Infinity : this.clock.monotonic() - entry.changedAt;
  }

  /** The incarnation that is known under a name. */
  named(name: string): BackEnd | undefined {
    const id = this.idByName.get(name);
    return id === undefined ? undefined : this.get(id);
  }

  /** Enters a back end or a newer record of it. Another incarnation under its name has ended. */
  put(backEnd: BackEnd): void {
    if (this.endedAt.has(backEnd.id)) return;
    const previous = this.named(backEnd.name);
    if (previous !== undefined && previous.id !== backEnd.id) {
      // What an incarnation wrote before its end may arrive after the first word of the next.
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
   * A back end has said that it leaves, whatever its record says. Returns whether that is new here.
   *
   * @param source Whether it told this daemon, or another one.
   */
  noteLeaving(id: string, source: 'answer' | 'peer'): boolean {
    const now = this.clock.monotonic();
    this.removeExpiredLeaving(now);
    const isKnown = this.isLeaving(id);
    const until = source === 'answer' ? now + LEAVING_RETENTION_MS : now + PEER_LEAVING_TTL_MS;
    this.extendLeaving(id, until);
    if (source === 'peer') this.clock.schedule(PEER_LEAVING_TTL_MS + 1, () => this.updateDraining(id));
    this.updateDraining(id);
    return !isKnown;
  }

  /** The record of a name has vanished: its back end is removed unless the record comes back within a grace. */
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

  /** An incarnation is proven to have ended: it is removed at once and for good. */
  remove(id: string): void {
    const now = this.clock.monotonic();
    this.removeExpiredEnded(now);
    this.endedAt.set(id, now);
    this.removeEntry(id);
  }

  /** Makes the directory hold just these back ends. */
  replaceAll(backEnds: readonly BackEnd[]): void {
    for (const name of this.namesMissingIn(backEnds)) this.recordVanished(name);
    for (const backEnd of backEnds) this.put(backEnd);
  }

  /** The same as a copy shows them from which the store was restored: newer ones are missing there, and some that had gone are back. */
  restoreAll(backEnds: readonly BackEnd[]): void {
    this.restoredAt = this.clock.monotonic();
    for (const name of this.namesMissingIn(backEnds)) this.scheduleRemoval(name, RESTORED_ABSENCE_GRACE_MS);
    for (const backEnd of backEnds) this.put(backEnd);
  }

  private namesMissingIn(backEnds: readonly BackEnd[]): string[] {
    const names = new Set(backEnds.map(({ name }) => name));
    return [...this.idByName.keys()].filter((name) => !names.has(name));
  }

  /** Notes that a target is, or is no longer, resident on a back end. */
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

  /** Whether a target is believed to be resident on a back end. */
  holds(id: string, target: ModelTarget): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) return false;
    if (target.adapter !== undefined && !this.isResident(entry, target.model)) return false;
    return this.isResident(entry, targetKey(target));
  }

  /** Back ends of a service that take requests and hold a target. */
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

  /** After word of one version: whether a request that takes any is served. */
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
   * What an incarnation has said of its leaving, or the store of its end, is never taken back; a copy from which the store was restored shows
   * what was before.
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

  private extendLeaving(id: string, until: number): void {
    this.leavingUntil.set(id, Math.max(until, this.leavingUntil.get(id) ?? 0));
  }

  private isLeaving(id: string): boolean {
    return (this.leavingUntil.get(id) ?? -Infinity) > this.clock.monotonic();
  }

  private applyLeaving(backEnd: BackEnd): BackEnd {
    return backEnd.draining || !this.isLeaving(backEnd.id) ? backEnd : { ...backEnd, draining: true };
  }

  /** Works out anew whether a back end counts as draining. */
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

/** Whether a target stands in the record of a back end, or there is word of it. */
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
