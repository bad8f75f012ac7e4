/**
 * The link to the weight store, shared by the workers of all zones. Up to some number of loads at once run at full
 * speed; beyond it each takes longer in proportion, so that more at once bring nothing sooner and only occupy workers.
 * The number is not told anywhere: it is learnt from how long loads take against how many ran meanwhile, by additive
 * increase while loads run at full speed and by a step to the measured capacity when they do not (the rule of gradient
 * concurrency limiters; docs/design/residency.md weighs it against others).
 */
import type { Clock, Random } from '@woodbarrow/runtime';

/** Loads at once before anything has been measured: small links are not swamped, large ones are found in a few loads. */
const INITIAL_LOAD_LIMIT = 4;
/** Zones hear of each other's loads after this long, in milliseconds: the pause between two reports of relays. */
const LOAD_REPORT_INTERVAL_MS = 300;
/** Loads that take less than this many times the configured time ran at full speed: reports lag by a tenth or two. */
const FULL_SPEED_RATIO = 1.15;
/** Weight of a measured capacity: two slow loads outweigh what was believed before. */
const CAPACITY_SMOOTHING_FACTOR = 0.5;
/** Part of the limit that must have been in use for a load at full speed to say that there may be room for more. */
const MIN_PROBING_UTILIZATION = 0.75;

/** Options of {@link StoreLink}. */
export interface StoreLinkOptions {
  /** Loads that other zones have under way now, as far as they have told. */
  readonly loadsInOtherZones: () => number;
  /** Zones that share the link, this one included. */
  readonly zoneCount: () => number;
  readonly random: Random;
  readonly clock: Clock;
}

/** One load over the link. It counts from its decision on, and its time from when the worker has taken the order. */
export interface StoreLoad {
  /** The worker has taken the order: what made way is gone, and the link is used from now on. */
  readonly noteAccepted: () => void;
  /** The load has ended. @param completed Whether the model arrived; only then does its time say something. */
  readonly noteEnded: (completed: boolean) => void;
}

interface ActiveLoad {
  beganAt: number;
  readonly configuredMs: number;
  /** Sum of loads at once over milliseconds since it began. */
  concurrencyMs: number;
}

/** The link as one zone's coordinator sees it. */
export class StoreLink {
  private readonly activeLoads = new Set<ActiveLoad>();
  private estimatedCapacity = INITIAL_LOAD_LIMIT;
  /** Until a load was slowed the limit doubles instead of growing by one. */
  private hasSlowedDown = false;
  private accountedAt: number;

  /** Loads that may still begin here before other zones hear of them, and when that was worked out. */
  private remainingStarts = 0;
  private startsUpdatedAt = -Infinity;

  constructor(private readonly options: StoreLinkOptions) {
    this.accountedAt = options.clock.monotonic();
  }

  /** Loads of this zone under way. */
  get ownLoads(): number {
    return this.activeLoads.size;
  }

  /** Loads of all zones under way. */
  get concurrentLoads(): number {
    return this.ownLoads + this.options.loadsInOtherZones();
  }

  /** Loads at once that are believed to run at full speed; at least 1. */
  get loadLimit(): number {
    return Math.max(1, Math.round(this.estimatedCapacity));
  }

  /**
   * Whether one more load may begin. All zones see the same room and hear of each other late, so each takes its part of
   * it in each interval, and of a part that is no whole load by chance.
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

  /** Milliseconds until one more load would run at full speed. */
  waitMs(configuredMs: number): number {
    if (this.concurrentLoads < this.loadLimit) return this.hasCapacity ? 0 : LOAD_REPORT_INTERVAL_MS;
    const ends = [...this.activeLoads].map((load) => this.expectedEndMs(load));
    // Loads of other zones end evenly spread, as far as can be told here.
    return Math.min(...ends, (configuredMs * (this.concurrentLoads - this.loadLimit + 1)) / this.loadLimit);
  }

  /** How many times longer than configured one more load would take. */
  slowdown(): number {
    return Math.max(1, (this.concurrentLoads + 1) / this.loadLimit);
  }

  /** Counts a load that begins. */
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
    if (ratio > FULL_SPEED_RATIO) {
      this.hasSlowedDown = true;
      // What ran at once, divided by how much longer it took, is what the link bears.
      this.estimatedCapacity = Math.max(
        1,
        this.estimatedCapacity + CAPACITY_SMOOTHING_FACTOR * (meanAtOnce / ratio - this.estimatedCapacity),
      );
    } else if (meanAtOnce >= this.estimatedCapacity * MIN_PROBING_UTILIZATION) {
      this.estimatedCapacity += this.hasSlowedDown ? 1 / this.estimatedCapacity : 1;
    }
  }

  /** Adds the time since the last change to the loads under way; other zones' loads are read each time. */
  accumulateConcurrency(): void {
    const now = this.options.clock.monotonic();
    const atOnce = this.concurrentLoads;
    for (const load of this.activeLoads)
      load.concurrencyMs += atOnce * (now - Math.max(load.beganAt, this.accountedAt));
    this.accountedAt = now;
  }
}
