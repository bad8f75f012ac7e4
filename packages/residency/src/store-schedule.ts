/**
 * Schedules the loads from the weight store of a whole deployment: which loads start now, in which zone, and when the others are
 * expected to start. Decides from the zones' complete lists, so that a lost or repeated report is harmless.
 */
import type {
  LinkMeasurement,
  StoreGrant,
  StoreLoadUnderWay,
  StoreWish,
  StoreWishesAnswer,
  StoreWishesMessage,
  StoreWishKind,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { storeKey } from './store-key.js';
import { StoreLoads, ZONE_SILENT_AFTER_MS, type TrackedStoreLoad } from './store-loads.js';
import { isInTime, mergeWishes, rankWishes, type MergedWish, type StoreOffer } from './store-wish-order.js';

/** Options of {@link StoreSchedule}. */
export interface StoreScheduleOptions {
  readonly clock: Clock;
  /** Loads that claims report, also those from before this scheduler began. */
  readonly claimedLoads: () => readonly TrackedStoreLoad[];
  /** Milliseconds before the first grant; {@link GRANT_LIFETIME_MS} unless no other scheduler can have granted any. */
  readonly holdOffMs?: number;
  /** Maximum number of concurrent loads, regardless of measurements. */
  readonly maximumLoads?: number;
  /** Called for each new grant. */
  readonly onGrant?: (grant: GrantDecision) => void;
}

/** A new grant, with what it was decided from. */
export interface GrantDecision {
  readonly zone: string;
  readonly wish: StoreWish;
  /** Loads in progress and granted before this one. */
  readonly inProgress: number;
  readonly limit: number;
}

/** Milliseconds after which a grant that has not become a load expires: three reports, as a zone receives it with the next one. */
export const GRANT_LIFETIME_MS = 1000;
/** Capacity of the link until a load has been measured: one load may be too few, and four take minutes on a small link. */
export const INITIAL_SCHEDULED_LOADS = 2;
/**
 * Added to the measured capacity before it is rounded down: a link for two measures slightly less than two. A capacity half way
 * between two loads counts as the smaller one, as a load too many delays all others.
 */
const CAPACITY_ROUNDING = 0.25;
/** Time for which a load whose grant has expired is not granted to the same zone again, in milliseconds. */
const EXPIRED_GRANT_PAUSE_MS = 2000;
/** Time until all zones know that a load has ended and no longer wish for the model, in milliseconds. */
const END_PROPAGATION_MS = 1000;
/** A worker that is free within this time can use a grant before it expires, in milliseconds. */
const MAX_START_DELAY_MS = GRANT_LIFETIME_MS / 2;

interface ReceivedWishes {
  readonly message: StoreWishesMessage;
  /** In elapsed time: wishes from before a suspension of the machine are old. */
  readonly receivedAt: number;
}

interface PendingGrant {
  readonly zone: string;
  readonly service: string;
  readonly model: string;
  readonly kind: StoreWishKind;
  readonly worker: string;
  readonly loadMs: number;
  readonly grantedAt: number;
}

/** Returns the number of loads that may run at once on a link of a measured capacity. */
export function loadLimitOf(capacity: number): number {
  return Math.max(1, Math.floor(capacity + CAPACITY_ROUNDING));
}

/** Schedule of the loads from the weight store; there is one in a deployment, except for short times. */
export class StoreSchedule {
  private readonly reports = new Map<string, ReceivedWishes>();
  private readonly loads: StoreLoads;
  private readonly grants = new Map<string, PendingGrant>();
  /** Monotonic time until which a zone is not granted a load whose grant it did not use. */
  private readonly pausedUntil = new Map<string, number>();
  /** Monotonic time until which a model is not granted after a load of it has ended, by service and model. */
  private readonly endedUntil = new Map<string, number>();
  private readonly startedAt: number;
  private measurement: { readonly capacity: number; readonly at: number } | undefined;

  constructor(private readonly options: StoreScheduleOptions) {
    this.loads = new StoreLoads(options.clock);
    this.startedAt = options.clock.monotonic();
  }

  /** Maximum number of concurrent loads. */
  get limit(): number {
    const limit = loadLimitOf(this.measurement?.capacity ?? INITIAL_SCHEDULED_LOADS);
    return Math.min(limit, this.options.maximumLoads ?? Infinity);
  }

  /** Accepts a zone's complete list and returns its grants and expected starts. */
  accept(message: StoreWishesMessage): StoreWishesAnswer {
    const now = this.options.clock.monotonic();
    this.recordEnds(message, now);
    this.reports.set(message.zone, { message, receivedAt: this.options.clock.elapsed() });
    this.loads.report(message.zone, message.fence, message.loading);
    this.acceptMeasurement(message.link, now);
    this.removeExpired(now);
    for (const { service, model } of message.loading) this.grants.delete(storeKey(service, model));
    const starts = this.decide(now);
    return this.answerFor(message, starts, now);
  }

  private recordEnds({ zone, fence, loading }: StoreWishesMessage, now: number): void {
    const previous = this.reports.get(zone)?.message;
    if (previous?.fence !== fence) return;
    const isLoading = ({ service, model }: StoreLoadUnderWay): boolean =>
      loading.some((load) => load.service === service && load.model === model);
    for (const ended of previous.loading) {
      if (!isLoading(ended))
        this.endedUntil.set(storeKey(ended.service, ended.model), now + END_PROPAGATION_MS);
    }
  }

  private acceptMeasurement(link: LinkMeasurement | undefined, now: number): void {
    if (link === undefined) return;
    const at = now - link.measuredAgoMs;
    if (this.measurement === undefined || at > this.measurement.at)
      this.measurement = { capacity: link.capacity, at };
  }

  private removeExpired(now: number): void {
    const elapsed = this.options.clock.elapsed();
    for (const [zone, { receivedAt }] of this.reports)
      if (elapsed - receivedAt > ZONE_SILENT_AFTER_MS) this.reports.delete(zone);
    for (const [key, { zone, grantedAt }] of this.grants) {
      if (now - grantedAt <= GRANT_LIFETIME_MS) continue;
      this.grants.delete(key);
      this.pausedUntil.set(`${zone} ${key}`, now + EXPIRED_GRANT_PAUSE_MS);
    }
    for (const paused of [this.pausedUntil, this.endedUntil])
      for (const [key, until] of paused) if (until <= now) paused.delete(key);
  }

  /** Grants the loads that can start now, and returns the expected start of all wishes, by key. */
  private decide(now: number): { readonly byKey: ReadonlyMap<string, number>; readonly nextInMs: number } {
    const inProgress = this.inProgress();
    const isLoading = ({ service, model }: StoreWish): boolean =>
      this.grants.has(storeKey(service, model)) ||
      inProgress.some((load) => load.model === model && (load.service ?? service) === service);
    const { limit } = this;
    const slots = this.slotsOf(inProgress, now, limit);
    /** The places as a model finds them that is asked for next: it goes before what is ranked after the last such model. */
    const nextSlots = [...slots];
    const byKey = new Map<string, number>();
    let used = inProgress.length + this.grants.size;
    const replicas = [...inProgress, ...this.grants.values()].filter(({ kind }) => kind === 'replica').length;
    const ranked = rankWishes(this.mergedWishes(), limit, replicas);
    const lastFirst = ranked.map(({ wish }) => wish.kind).lastIndexOf('first');
    for (const [index, merged] of ranked.entries()) {
      const { wish, key } = merged;
      if (isLoading(wish)) continue;
      const startInMs = Math.max(0, slots[0] ?? 0);
      byKey.set(key, Math.max(startInMs, wish.startableInMs));
      if (!isInTime(wish, startInMs)) continue;
      const offer = this.usableOffer(merged, startInMs);
      if (offer === undefined) continue;
      const isGranted = startInMs <= 0 && used < limit && this.mayGrant(now);
      if (isGranted) {
        this.grant(merged, offer, used, now);
        used += 1;
        byKey.delete(key);
      }
      occupy(slots, wish.loadMs);
      if (isGranted || index <= lastFirst) occupy(nextSlots, wish.loadMs);
    }
    const nextInMs = Math.max(0, nextSlots[0] ?? 0);
    // Expected starts are read for requests; with the first one, a load ahead of demand becomes one that is asked for.
    for (const { key, wish } of ranked)
      if (wish.kind === 'ahead' && byKey.has(key)) byKey.set(key, Math.max(nextInMs, wish.startableInMs));
    return { byKey, nextInMs };
  }

  /** Grants of a former scheduler may still become loads until they expire. */
  private mayGrant(now: number): boolean {
    return now - this.startedAt >= (this.options.holdOffMs ?? GRANT_LIFETIME_MS);
  }

  private grant({ wish, key }: MergedWish, offer: StoreOffer, inProgress: number, now: number): void {
    const { zone } = offer;
    const { service, model, kind } = wish;
    const { worker, loadMs } = offer.wish;
    this.grants.set(key, { zone, service, model, kind, worker, loadMs, grantedAt: now });
    this.options.onGrant?.({ zone, wish, inProgress, limit: this.limit });
  }

  /**
   * Returns the cheapest zone whose worker can start a load when the link is free. A worker executes one order at a time, so one
   * that is busy or has just been given a load does not keep the link from the next one.
   */
  private usableOffer({ offers }: MergedWish, startInMs: number): StoreOffer | undefined {
    const taken = new Set([...this.grants.values()].map(({ worker }) => worker));
    return offers.find(
      ({ wish: { worker, startableInMs } }) =>
        startableInMs <= Math.max(startInMs, MAX_START_DELAY_MS) && (startInMs > 0 || !taken.has(worker)),
    );
  }

  /** Loads in progress by the zones' reports, and by claims of coordinators that do not report. */
  private inProgress(): TrackedStoreLoad[] {
    const reported = this.loads.all();
    const isReported = (load: TrackedStoreLoad): boolean =>
      this.reports.get(load.zone)?.message.fence === load.fence ||
      reported.some(({ zone, model }) => zone === load.zone && model === load.model);
    return [...reported, ...this.options.claimedLoads().filter((load) => !isReported(load))];
  }

  private mergedWishes(): MergedWish[] {
    const elapsed = this.options.clock.elapsed();
    const reports = [...this.reports.values()].map(({ message, receivedAt }) => ({
      zone: message.zone,
      ageMs: elapsed - receivedAt,
      wishes: message.wishes,
    }));
    return mergeWishes(
      reports,
      (zone, key) => this.endedUntil.has(key) || this.pausedUntil.has(`${zone} ${key}`),
    );
  }

  /** Returns the milliseconds until each place on the link is free, ascending. */
  private slotsOf(inProgress: readonly TrackedStoreLoad[], now: number, limit: number): number[] {
    const ends = [
      ...inProgress.map(({ endsAt }) => Math.max(1, endsAt - now)),
      ...[...this.grants.values()].map(({ loadMs, grantedAt }) => Math.max(1, grantedAt + loadMs - now)),
    ].sort((left, right) => left - right);
    // Above the limit, the first loads to end leave no place.
    const surplus = Math.max(0, ends.length - limit);
    const free = Array.from({ length: Math.max(0, limit - ends.length) }, () => 0);
    return [...free, ...ends.slice(surplus)];
  }

  private answerFor(
    { zone, wishes }: StoreWishesMessage,
    starts: { readonly byKey: ReadonlyMap<string, number>; readonly nextInMs: number },
    now: number,
  ): StoreWishesAnswer {
    const grants: StoreGrant[] = [...this.grants.values()]
      .filter((grant) => grant.zone === zone)
      .map(({ service, model, kind, grantedAt }) => ({
        service,
        model,
        kind,
        expiresInMs: Math.max(0, grantedAt + GRANT_LIFETIME_MS - now),
      }));
    const expected = wishes.flatMap(({ service, model }) => {
      const startInMs = starts.byKey.get(storeKey(service, model));
      return startInMs === undefined ? [] : [{ service, model, startInMs: Math.round(startInMs) }];
    });
    const { measurement } = this;
    const link =
      measurement === undefined
        ? {}
        : { link: { capacity: measurement.capacity, measuredAgoMs: now - measurement.at } };
    return { grants, expected, nextStartInMs: Math.round(starts.nextInMs), ...link };
  }
}

/** Adds a load to the first free place of the link. @param slots Milliseconds until each place is free, ascending. */
function occupy(slots: number[], loadMs: number): void {
  slots[0] = Math.max(0, slots[0] ?? 0) + loadMs;
  slots.sort((left, right) => left - right);
}
