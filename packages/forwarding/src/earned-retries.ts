/** Retries that the requests of one daemon earn, by service: as many as every window allows it, see {@link RetryWindowBound}. */
import { StallWatch, type Clock } from '@woodbarrow/runtime';
import { RetryWindowBound, type RetryTimes } from './retry-window-bound.js';

/** Maximum time that a request is on its way to a daemon that runs, in milliseconds. */
const REQUEST_TRANSIT_MS = 150;

/** Options of {@link EarnedRetries}. */
export interface EarnedRetriesOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Window in which the ratio holds, in milliseconds. */
  readonly windowMs: number;
}

/** A retry that counts against the requests of this daemon. */
export interface CountedRetry {
  /** Whether every window still allows it; check right before it is sent. */
  isAllowed(): boolean;
  /** Takes it back, as it was not sent. Further calls have no effect. */
  refund(): void;
  /** Sets the latest time at which it may have reached a back end, as elapsed time in milliseconds. */
  settle(mayArriveUntil: number): void;
}

/** Earned retries of one daemon. */
export class EarnedRetries {
  private readonly bounds = new Map<string, RetryWindowBound>();
  private readonly stalls: StallWatch;

  constructor(
    private readonly options: EarnedRetriesOptions,
    private readonly clock: Clock,
  ) {
    this.stalls = new StallWatch(clock);
  }

  /** Notices stalls of the process until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.stalls.run(signal);
  }

  /** Counts a request. @param waitedMs Time since its head was read, in milliseconds. */
  recordRequest(service: string, waitedMs = 0): void {
    const sentFrom = this.stalls.arrivedFrom - waitedMs - REQUEST_TRANSIT_MS;
    this.boundOf(service).addRequest(sentFrom, this.clock.elapsed());
  }

  /** Number of retries that can be spent now. */
  available(service: string): number {
    return Math.max(0, Math.floor(this.allowance(service)));
  }

  /** Spends a retry; undefined if there is none. It counts until it is known when it reached a back end. */
  take(service: string): CountedRetry | undefined {
    return this.allowance(service) < 1 ? undefined : this.count(service, -Infinity);
  }

  /**
   * Counts a retry that was granted from elsewhere and may arrive when its allocator no longer counts it.
   *
   * @param countsFrom Elapsed time in milliseconds until which its allocator assumes that it has arrived.
   */
  countLate(service: string, countsFrom: number): CountedRetry {
    return this.count(service, countsFrom);
  }

  private count(service: string, countsFrom: number): CountedRetry {
    const bound = this.boundOf(service);
    const retry: RetryTimes = { countsFrom, mayArriveUntil: Infinity };
    bound.addRetry(retry);
    return {
      isAllowed: () => this.allowance(service) >= 0,
      refund: () => {
        bound.removeRetry(retry);
      },
      settle: (mayArriveUntil) => {
        retry.mayArriveUntil = mayArriveUntil;
        if (mayArriveUntil < countsFrom) bound.removeRetry(retry);
      },
    };
  }

  private allowance(service: string): number {
    return this.boundOf(service).allowance(this.clock.elapsed());
  }

  private boundOf(service: string): RetryWindowBound {
    let bound = this.bounds.get(service);
    if (bound === undefined) {
      bound = new RetryWindowBound(this.options.ratio, this.options.windowMs);
      this.bounds.set(service, bound);
    }
    return bound;
  }
}
