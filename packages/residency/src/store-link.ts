/**
 * Models the link to the weight store, shared by the workers of all zones. Up to its capacity, concurrent
 * loads run at full speed; beyond it each slows down in proportion, so that further loads only occupy
 * workers. The capacity is estimated from load times and concurrency: additive increase while loads run at
 * full speed, and a step towards the measured capacity when they do not (gradient concurrency limit).
 * docs/design/residency.md compares it with other rules.
 */
import type { LinkMeasurement } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';

/** Initial limit of concurrent loads; does not overload small links, and grows quickly on large ones. */
const INITIAL_LOAD_LIMIT = 4;
/** Increase by one load at full speed: the limit doubles in a round until the first slow load, then rises by one a round. */
const DEFAULT_GROWTH = { untilSlow: 1, afterSlow: 1 };
/** Delay until other zones know of a load here, in milliseconds. */
const LOAD_REPORT_INTERVAL_MS = 300;
/** A load counts as full speed up to this multiple of its configured time; allows for the lag of reports. */
const FULL_SPEED_RATIO = 1.15;
/** Weight of a new measurement in the capacity estimate; two slow loads outweigh the earlier estimate. */
const CAPACITY_SMOOTHING_FACTOR = 0.5;
/** Minimum share of the limit in use for a full-speed load to raise the estimate. */
const MIN_PROBING_UTILIZATION = 0.75;

/** Options of {@link StoreLink}. */
export interface StoreLinkOptions {
  /** Returns the loads in progress in other zones, as last reported. */
  readonly loadsInOtherZones: () => number;
  /** Returns the number of zones that share the link, this one included. */
  readonly zoneCount: () => number;
  readonly random: Random;
  readonly clock: Clock;
  /** Initial limit of concurrent loads. @default 4 */
  readonly initialLimit?: number;
  /** Increase of the capacity by a load at full speed, before and after the first slow one. @default 1 and 1 */
  readonly growth?: { readonly untilSlow: number; readonly afterSlow: number };
}

/**
 * A load over the link. It counts towards concurrency once decided; its duration is measured from when the
 * worker accepts it.
 */
export interface StoreLoad {
  /** Records that the worker has accepted the order: the victims are gone and the link is in use. */
  readonly noteAccepted: () => void;
  /**
   * Records the end of the load. @param completed Whether the model was loaded; only then is its duration
   * used.
   */
  readonly noteEnded: (completed: boolean) => void;
}

interface ActiveLoad {
  beganAt: number;
  readonly configuredMs: number;
  /** Integral of the number of concurrent loads over time since it began, in milliseconds. */
  concurrencyMs: number;
}

/** The link as observed by one zone's coordinator. */
export class StoreLink {
  private readonly activeLoads = new Set<ActiveLoad>();
  private estimatedCapacity: number;
  /** Monotonic time of the last measurement, here or in another zone. */
  private measuredAt: number | undefined;
  /** Until a load is slowed, the limit grows by one per load instead of one per round. */
  private hasSlowedDown = false;
  private accountedAt: number;

  /** Loads that may still start here before other zones know of them, and when that number was computed. */
  private remainingStarts = 0;
  private startsUpdatedAt = -Infinity;

  constructor(private readonly options: StoreLinkOptions) {
    this.accountedAt = options.clock.monotonic();
    this.estimatedCapacity = options.initialLimit ?? INITIAL_LOAD_LIMIT;
  }

  /** The last measurement; undefined before the first. */
  get measurement(): LinkMeasurement | undefined {
    const { measuredAt, estimatedCapacity: capacity } = this;
    if (measuredAt === undefined) return undefined;
    return { capacity, measuredAgoMs: this.options.clock.monotonic() - measuredAt };
  }

  /** Adopts a measurement of another zone if it is newer, so that all zones continue from the same estimate. */
  adopt({ capacity, measuredAgoMs }: LinkMeasurement): void {
    const measuredAt = this.options.clock.monotonic() - measuredAgoMs;
    if (measuredAt <= (this.measuredAt ?? -Infinity)) return;
    this.hasSlowedDown ||= capacity < this.estimatedCapacity;
    this.estimatedCapacity = capacity;
    this.measuredAt = measuredAt;
  }

  /** Number of loads in progress in this zone. */
  get ownLoads(): number {
    return this.activeLoads.size;
  }

  /** Number of loads in progress in all zones. */
  get concurrentLoads(): number {
    return this.ownLoads + this.options.loadsInOtherZones();
  }

  /** Estimated number of concurrent loads that run at full speed; at least 1. */
  get loadLimit(): number {
    return Math.max(1, Math.round(this.estimatedCapacity));
  }

  /**
   * Whether one more load may start. All zones see the same spare capacity and learn of each other's loads
   * late, so each takes its share per interval; a fractional share is rounded at random.
   */
  get hasCapacity(): boolean {
    const room = this.loadLimit - this.concurrentLoads;
    if (room <= 0) return false;
    const { clock, zoneCount, random } = this.options;
    if (clock.monotonic() - this.startsUpdatedAt >= LOAD_REPORT_INTERVAL_MS) {
      this.startsUpdatedAt = clock.monotonic();
      this.remainingStarts = Math.floor(room / Math.max(1, zoneCount()) + random.next());
    }
    return this.remainingStarts > 0;
  }

  /** Returns the milliseconds until one more load would run at full speed. */
  waitMs(configuredMs: number): number {
    if (this.concurrentLoads < this.loadLimit) return this.hasCapacity ? 0 : LOAD_REPORT_INTERVAL_MS;
    const ends = [...this.activeLoads].map((load) => this.expectedEndMs(load));
    // Loads of other zones are assumed to end at an even rate.
    return Math.min(...ends, (configuredMs * (this.concurrentLoads - this.loadLimit + 1)) / this.loadLimit);
  }

  /** Returns the factor by which one more load would be slowed. */
  slowdown(): number {
    return Math.max(1, (this.concurrentLoads + 1) / this.loadLimit);
  }

  /** Records a load that starts. */
  begin(configuredMs: number): StoreLoad {
    this.accumulateConcurrency();
    this.remainingStarts -= 1;
    const load = { beganAt: this.options.clock.monotonic(), configuredMs, concurrencyMs: 0 };
    this.activeLoads.add(load);
    return {
      noteAccepted: () => {
        this.accumulateConcurrency();
        load.beganAt = this.options.clock.monotonic();
        load.concurrencyMs = 0;
      },
      noteEnded: (completed) => {
        if (!this.activeLoads.has(load)) return;
        this.accumulateConcurrency();
        this.activeLoads.delete(load);
        if (completed) this.updateCapacity(load);
      },
    };
  }

  private expectedEndMs(load: ActiveLoad): number {
    const takenMs = this.options.clock.monotonic() - load.beganAt;
    const slowdown = Math.max(1, this.concurrentLoads / this.loadLimit);
    return Math.max(0, load.configuredMs * slowdown - takenMs);
  }

  private updateCapacity(load: ActiveLoad): void {
    const tookMs = Math.max(1, this.options.clock.monotonic() - load.beganAt);
    const ratio = tookMs / load.configuredMs;
    const meanAtOnce = Math.max(1, load.concurrencyMs / tookMs);
    const { untilSlow, afterSlow } = this.options.growth ?? DEFAULT_GROWTH;
    this.measuredAt = this.options.clock.monotonic();
    if (ratio > FULL_SPEED_RATIO) {
      this.hasSlowedDown = true;
      // Mean concurrency divided by the slowdown is the measured capacity.
      this.estimatedCapacity = Math.max(
        1,
        this.estimatedCapacity + CAPACITY_SMOOTHING_FACTOR * (meanAtOnce / ratio - this.estimatedCapacity),
      );
    } else if (meanAtOnce >= this.estimatedCapacity * MIN_PROBING_UTILIZATION) {
      this.estimatedCapacity += this.hasSlowedDown ? afterSlow / this.estimatedCapacity : untilSlow;
    }
  }

  /** Adds the time since the last call to the loads in progress, at the current concurrency. */
  accumulateConcurrency(): void {
    const now = this.options.clock.monotonic();
    const atOnce = this.concurrentLoads;
    for (const load of this.activeLoads)
      load.concurrencyMs += atOnce * (now - Math.max(load.beganAt, this.accountedAt));
    this.accountedAt = now;
  }
}
