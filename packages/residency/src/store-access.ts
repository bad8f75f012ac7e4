/**
 * One zone's access to the weight store: the loads that the scheduler has granted, and the zone's turn while the scheduler does
 * not answer.
 */
import type { StoreGrant, StoreWishesAnswer, StoreWishesMessage } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { storeKey } from './store-key.js';
import { GRANT_LIFETIME_MS, StoreSchedule } from './store-schedule.js';

/** Options of {@link StoreAccess}. */
export interface StoreAccessOptions {
  readonly zone: string;
  /** Returns the zones that share the weight store. */
  readonly zones: () => readonly string[];
  readonly clock: Clock;
}

/** Time without an answer of the scheduler after which a zone uses its turn, in milliseconds; five reports are missing by then. */
export const SCHEDULE_LOST_AFTER_MS = 1500;
/** Length of a turn relative to a load, so that a load that starts late in the time for starts ends before the next turn. */
const TURN_LENGTH_RATIO = 1.25;
/** Share of a turn within which a load may start. */
const TURN_START_SHARE = 1 - 1 / TURN_LENGTH_RATIO;
/** Length of a load while none is wished for, in milliseconds. */
const DEFAULT_LOAD_MS = 10_000;

interface HeldGrant extends StoreGrant {
  /** In elapsed time, so that no grant is used after the machine was suspended beyond its end. */
  readonly expiresAt: number;
}

/** Grants and expected starts of one zone. */
export class StoreAccess {
  private held = new Map<string, HeldGrant>();
  /** Monotonic time of the expected starts, by service and model. */
  private startsAt = new Map<string, number>();
  private nextStartAt = 0;
  /** Monotonic times of the use of grants; the scheduler repeats a grant until it hears of the load. */
  private readonly usedAt = new Map<string, number>();
  private lastAnswerAt: number;
  /** Schedule of this zone alone, while the scheduler does not answer. */
  private ownSchedule: StoreSchedule | undefined;
  private turnLoadMs = DEFAULT_LOAD_MS;

  constructor(private readonly options: StoreAccessOptions) {
    this.lastAnswerAt = options.clock.monotonic();
  }

  /** Milliseconds since the scheduler last answered. */
  get silentMs(): number {
    return this.options.clock.monotonic() - this.lastAnswerAt;
  }

  /** Whether the zone uses its turn, as the scheduler does not answer. */
  get isOnOwn(): boolean {
    return this.silentMs > SCHEDULE_LOST_AFTER_MS;
  }

  /** Accepts an answer of the scheduler. */
  accept(answer: StoreWishesAnswer): void {
    this.lastAnswerAt = this.options.clock.monotonic();
    this.ownSchedule = undefined;
    this.apply(answer);
  }

  /**
   * Decides without the scheduler: one load at a time, within the zone's turn. @param slowestLoadMs Time of the slowest load, the
   * same in all zones.
   */
  decideAlone(message: StoreWishesMessage, slowestLoadMs: number): void {
    const { clock } = this.options;
    this.turnLoadMs = Math.max(1, slowestLoadMs);
    this.ownSchedule ??= new StoreSchedule({ clock, claimedLoads: () => [], holdOffMs: 0, maximumLoads: 1 });
    const turnInMs = this.turnInMs();
    if (turnInMs <= 0) this.apply(this.ownSchedule.accept(message));
    else this.apply({ grants: [], expected: [], nextStartInMs: turnInMs });
  }

  /** Returns the milliseconds until a load of a model should start; 0 if it may start now. */
  startInMs(service: string, model: string): number {
    const key = storeKey(service, model);
    if (this.isUsable(key)) return 0;
    const startAt = this.startsAt.get(key) ?? this.nextStartAt;
    // Without a grant nothing starts, even if the expected time has passed.
    return Math.max(1, startAt - this.options.clock.monotonic());
  }

  /** Returns the loads that may start now. */
  grants(): StoreGrant[] {
    return [...this.held].filter(([key]) => this.isUsable(key)).map(([, grant]) => grant);
  }

  /** Records the start of a granted load. */
  recordStart(service: string, model: string): void {
    this.usedAt.set(storeKey(service, model), this.options.clock.monotonic());
  }

  private isUsable(key: string): boolean {
    const now = this.options.clock.monotonic();
    const usedAt = this.usedAt.get(key) ?? -Infinity;
    const expiresAt = this.held.get(key)?.expiresAt ?? -Infinity;
    return expiresAt > this.options.clock.elapsed() && now - usedAt > GRANT_LIFETIME_MS;
  }

  private apply({ grants, expected, nextStartInMs }: StoreWishesAnswer): void {
    const now = this.options.clock.monotonic();
    const keyOf = ({ service, model }: { service: string; model: string }): string =>
      storeKey(service, model);
    const elapsed = this.options.clock.elapsed();
    this.held = new Map(
      grants.map((grant) => [keyOf(grant), { ...grant, expiresAt: elapsed + grant.expiresInMs }]),
    );
    this.startsAt = new Map(expected.map((start) => [keyOf(start), now + start.startInMs]));
    this.nextStartAt = now + nextStartInMs;
    for (const [key, at] of this.usedAt) if (now - at > GRANT_LIFETIME_MS) this.usedAt.delete(key);
  }

  /** Returns the milliseconds until the zone's turn; 0 while it may start a load. */
  private turnInMs(): number {
    const { zone, zones, clock } = this.options;
    const order = [...new Set([...zones(), zone])].sort();
    const turnMs = this.turnLoadMs * TURN_LENGTH_RATIO;
    const roundMs = turnMs * order.length;
    const sinceTurnMs = (((clock.wall() - order.indexOf(zone) * turnMs) % roundMs) + roundMs) % roundMs;
    return sinceTurnMs < turnMs * TURN_START_SHARE ? 0 : roundMs - sinceTurnMs;
  }
}
