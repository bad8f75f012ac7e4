/** Retries that requests earn, by service: as many as every window allows, see {@link RetryWindowBound}. */
import { StallWatch, type Clock } from '@woodbarrow/runtime';
import { RetryWindowBound, type RequestCount, type RetryTimes } from './retry-window-bound.js';

/** Maximum time that a request is on its way to a daemon that runs, in milliseconds. */
const REQUEST_TRANSIT_MS = 150;
/** Maximum time from the check of a retry until it reaches its back end if its process ends meanwhile, in milliseconds. */
export const RETRY_TRANSIT_MS = 500;

/** Options of {@link EarnedRetries}. */
export interface EarnedRetriesOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Window in which the ratio holds, in milliseconds. */
  readonly windowMs: number;
  /** Maximum time from when a retry is taken or last checked until it reaches its back end, in milliseconds. @default {@link RETRY_TRANSIT_MS} */
  readonly transitMs?: number;
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

/** Retries earned by the requests of one daemon, or by those of several daemons that one counts for all. */
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

  /** Counts requests that another daemon has read and no longer counts. */
  addRequests(service: string, counts: readonly RequestCount[]): void {
    const from = this.stalls.arrivedFrom - REQUEST_TRANSIT_MS;
    this.boundOf(service).addRequests(counts, from, this.clock.elapsed());
  }

  /** Returns the requests of a service and no longer counts them; none if retries that still count were earned with them. */
  takeRequests(service: string): readonly RequestCount[] {
    return this.boundOf(service).takeRequests(this.clock.elapsed());
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
      const { ratio, windowMs, transitMs = RETRY_TRANSIT_MS } = this.options;
      bound = new RetryWindowBound(ratio, windowMs, transitMs);
      this.bounds.set(service, bound);
    }
    return bound;
  }
}
