/** The order in which wishes for loads from the weight store are served. */
import type { StoreWish, StoreWishKind } from '@woodbarrow/protocol';
import { storeKey } from './store-key.js';

/** The wishes of one zone. */
export interface ZoneWishes {
  readonly zone: string;
  /** Milliseconds since they were reported. */
  readonly ageMs: number;
  readonly wishes: readonly StoreWish[];
}

/** A zone that can load a model. */
export interface StoreOffer {
  readonly zone: string;
  readonly wish: StoreWish;
}

/** A wish of one or more zones. */
export interface MergedWish {
  readonly key: string;
  /** The wish of the zone with the lowest cost, with what waits in all zones. */
  readonly wish: StoreWish;
  /** The zones that wish for the load, lowest cost first. */
  readonly offers: readonly StoreOffer[];
}

/**
 * Time for which the requests that a load lets be served count towards its value, in milliseconds: about the duration of a load,
 * as the set of models in use changes within seconds.
 */
const VALUE_HORIZON_MS = 10_000;
/**
 * Recent requests per second from which a model counts as asked for; about one request within the last seven seconds, as the
 * callers of rare models come back seconds apart.
 */
const MIN_REQUESTS_PER_S = 0.05;
/**
 * Share of the link that further replicas may use before models without any, if they serve more requests. With a link for one
 * load they come last.
 */
const REPLICA_LINK_SHARE = 0.5;

const KIND_ORDER: Readonly<Record<StoreWishKind, number>> = { first: 0, replica: 1, ahead: 2 };

/**
 * Merges the wishes of all zones for the same model.
 *
 * @param isPaused Whether a zone must not be granted a load now, by zone and key.
 */
export function mergeWishes(
  zones: readonly ZoneWishes[],
  isPaused: (zone: string, key: string) => boolean,
): MergedWish[] {
  const offers = new Map<string, StoreOffer[]>();
  for (const { zone, ageMs, wishes } of zones) {
    for (const wish of wishes) {
      const key = storeKey(wish.service, wish.model);
      if (isPaused(zone, key)) continue;
      offers.set(key, [...(offers.get(key) ?? []), { zone, wish: aged(wish, ageMs) }]);
    }
  }
  return [...offers].flatMap(([key, ofKey]) => {
    const sorted = ofKey.sort((left, right) => costOf(left.wish) - costOf(right.wish));
    const [best] = sorted;
    return best === undefined ? [] : [{ key, wish: combine(best.wish, sorted), offers: sorted }];
  });
}

/** Whether a load that starts in `startInMs` would serve a request; loads ahead of demand serve those that are to come. */
export function isInTime(
  { kind, waiting, waitingForMs, requestsPerS, loadMs }: StoreWish,
  startInMs: number,
): boolean {
  if (kind === 'ahead' || requestsPerS >= MIN_REQUESTS_PER_S) return true;
  return waiting > 0 && waitingForMs > startInMs + loadMs;
}

/**
 * Sorts wishes in the order in which they should be served: models without any replica, then further replicas, then loads ahead
 * of demand. A further replica that serves more requests goes first while replicas use less than their share of the link.
 *
 * @param limit Maximum number of concurrent loads.
 * @param replicasLoading Number of further replicas in progress.
 */
export function rankWishes(
  merged: readonly MergedWish[],
  limit: number,
  replicasLoading: number,
): MergedWish[] {
  const ranked = [...merged].sort(
    (left, right) =>
      KIND_ORDER[left.wish.kind] - KIND_ORDER[right.wish.kind] ||
      valueOf(right.wish) - valueOf(left.wish) ||
      left.wish.costMs - right.wish.costMs ||
      (left.key < right.key ? -1 : 1),
  );
  const bestFirst = ranked.find(({ wish }) => wish.kind === 'first');
  if (bestFirst === undefined) return ranked;
  const places = Math.max(0, Math.floor(limit * REPLICA_LINK_SHARE) - replicasLoading);
  const preferred = ranked
    .filter(({ wish }) => wish.kind === 'replica' && valueOf(wish) > valueOf(bestFirst.wish))
    .slice(0, places);
  return [...preferred, ...ranked.filter((wish) => !preferred.includes(wish))];
}

/** Returns the requests that a load would serve per second of link time. */
function valueOf({ waiting, waitingForMs, requestsPerS, loadMs }: StoreWish): number {
  const inTime = waitingForMs > loadMs ? waiting : 0;
  return (inTime + (requestsPerS * VALUE_HORIZON_MS) / 1000) / Math.max(1, loadMs / 1000);
}

function combine(best: StoreWish, offers: readonly StoreOffer[]): StoreWish {
  const wishes = offers.map(({ wish }) => wish);
  const [kind = best.kind] = wishes
    .map((wish) => wish.kind)
    .sort((left, right) => KIND_ORDER[left] - KIND_ORDER[right]);
  return {
    ...best,
    kind,
    waiting: wishes.reduce((sum, { waiting }) => sum + waiting, 0),
    waitingForMs: Math.max(...wishes.map(({ waitingForMs }) => waitingForMs)),
    // Demand is known over all daemons, so each zone reports all of it.
    requestsPerS: Math.max(...wishes.map(({ requestsPerS }) => requestsPerS)),
  };
}

function costOf({ costMs, startableInMs }: StoreWish): number {
  return costMs + startableInMs;
}

function aged(wish: StoreWish, ageMs: number): StoreWish {
  return {
    ...wish,
    waitingForMs: Math.max(0, wish.waitingForMs - ageMs),
    startableInMs: Math.max(0, wish.startableInMs - ageMs),
  };
}
