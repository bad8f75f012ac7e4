/**
 * Refuses requests before any work on them while this daemon is saturated. The signal is the standing delay of its event loop, as in
 * controlled delay (CoDel): a daemon that is merely busy works its input off, a saturated one does not. The admitted share of the
 * arrivals falls while the delay stands and rises once it is gone; the most urgent arrivals are admitted first.
 */
import { hashText, type Clock } from '@woodbarrow/runtime';
import { ArrivalRanks } from './arrival-ranks.js';
import { spreadRetryMs } from './retry-spread.js';

/** State of the event loop as {@link AdmissionControl} reads it, in milliseconds. */
export interface LoopDelayView {
  /** Least delay of the last samples. */
  readonly standingMs: number;
  readonly latestMs: number;
  /** Time since the last sample. */
  readonly ageMs: number;
}

/** What a saturated daemon knew when its state changed. */
export interface SaturationChange {
  readonly isSaturated: boolean;
  readonly standingMs: number;
  readonly ageMs: number;
  readonly admittedShare: number;
  /** Requests refused since the last change. */
  readonly refused: number;
}

/** Decision on an arrival. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly basis: Pick<AdmissionTotals, 'standingDelayMs' | 'admittedShare'>;
    };

/** Counts since the start, and the current state, for metrics. */
export interface AdmissionTotals {
  readonly standingDelayMs: number;
  readonly admittedShare: number;
  /** Requests refused, by priority of their route. */
  readonly refusedByPriority: ReadonlyMap<string, number>;
}

/** Options of {@link AdmissionControl}. */
export interface AdmissionControlOptions {
  readonly delay: LoopDelayView;
  readonly clock: Clock;
  readonly onChange: (change: SaturationChange) => void;
}

/** Standing delay above which a daemon is saturated, in milliseconds; passing an event of a stream on may not take much longer. */
const SATURATED_DELAY_MS = 60;
/** Change of the admitted share with each sample. The share is back from the least to all within 3 s. */
const DECREASE_FACTOR = 0.8;
const INCREASE_FACTOR = 1.06;
const INCREASE_STEP = 0.02;
/** Least admitted share, so that the daemon notices when it could serve more. */
const MIN_ADMITTED_SHARE = 0.05;
/** Mean time after which a refused client may return, in milliseconds; its next attempt reaches another daemon. */
const MEAN_RETRY_MS = 250;
/** Part of the admitted share that arrivals of each priority have whatever the others need, so that none is starved. */
const RESERVED_SHARE = 0.25;
const HASH_BUCKETS = 1024;
const ADMITTED: AdmissionDecision = { kind: 'admitted' };

/** Decides which arrivals of one daemon are admitted. */
export class AdmissionControl {
  private share = 1;
  private isSaturated = false;
  private refusedSinceChange = 0;
  private readonly ranks: ArrivalRanks;
  private readonly refused = new Map<string, number>();

  constructor(private readonly options: AdmissionControlOptions) {
    this.ranks = new ArrivalRanks(options.clock);
  }

  /** Whether this daemon refuses part of its arrivals. */
  get isShedding(): boolean {
    return this.share < 1;
  }

  /** Whether input waits for longer than usual, so that what has been read may be out of date. */
  get isBehind(): boolean {
    return this.isShedding || this.options.delay.latestMs > SATURATED_DELAY_MS;
  }

  get totals(): AdmissionTotals {
    return {
      standingDelayMs: this.options.delay.standingMs,
      admittedShare: this.share,
      refusedByPriority: this.refused,
    };
  }

  /** Adjusts the admitted share; called after each sample of the delay. */
  update(): void {
    const { standingMs, latestMs } = this.options.delay;
    if (standingMs > SATURATED_DELAY_MS) {
      this.share = Math.max(MIN_ADMITTED_SHARE, this.share * DECREASE_FACTOR);
    } else if (latestMs <= SATURATED_DELAY_MS) {
      this.share = Math.min(1, this.share * INCREASE_FACTOR + INCREASE_STEP);
    }
    if (this.isShedding !== this.isSaturated) this.reportChange();
  }

  /** @param priority Priority of the route, 0 for the most urgent. */
  admit(priority: number, requestId: string): AdmissionDecision {
    const position = (hashText(requestId) % HASH_BUCKETS) / HASH_BUCKETS;
    const rank = this.ranks.rankOf(priority, position);
    if (!this.isShedding) return ADMITTED;
    if (rank < this.share || position < this.share * RESERVED_SHARE) return ADMITTED;
    const key = String(priority);
    this.refused.set(key, (this.refused.get(key) ?? 0) + 1);
    this.refusedSinceChange += 1;
    const basis = { standingDelayMs: this.options.delay.standingMs, admittedShare: this.share };
    return { kind: 'refused', retryAfterMs: spreadRetryMs(requestId, MEAN_RETRY_MS), basis };
  }

  private reportChange(): void {
    this.isSaturated = this.isShedding;
    const { standingMs, ageMs } = this.options.delay;
    this.options.onChange({
      isSaturated: this.isSaturated,
      standingMs,
      ageMs,
      admittedShare: this.share,
      refused: this.refusedSinceChange,
    });
    this.refusedSinceChange = 0;
  }
}
