/**
 * Retries that the requests of one daemon earn. Each is spent once and expires soon, so that the retries of all daemons stay within the
 * ratio however many processes follow one another and wherever their clients go: no process has to know what another one has spent.
 *
 * In a window W all daemons together spend at most what was earned in W and one lifetime before it, which is
 * `EARNED_SHARE x (1 + LIFETIME_SHARE)` of the ratio under steady traffic.
 */
import { StallWatch, type Clock, type Random } from '@woodbarrow/runtime';

/** Share of the ratio that requests earn; the rest covers retries that were earned shortly before a window and are spent in it. */
const EARNED_SHARE = 0.75;
/** Lifetime of an earned retry as a share of the window. */
const LIFETIME_SHARE = 0.25;

/** Options of {@link EarnedRetries}. */
export interface EarnedRetriesOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Window in which the ratio holds, in milliseconds. */
  readonly windowMs: number;
}

/** An earned retry. */
export interface EarnedRetry {
  /** Elapsed time at which it expires, in milliseconds. */
  readonly expiresAt: number;
}

interface ServiceRetries {
  /** Part of the next retry that has been earned. */
  fraction: number;
  /** Earliest expiry first. */
  unspent: EarnedRetry[];
}

/** Earned retries of one daemon, by service. */
export class EarnedRetries {
  private readonly services = new Map<string, ServiceRetries>();
  private readonly stalls: StallWatch;

  constructor(
    private readonly options: EarnedRetriesOptions,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.stalls = new StallWatch(clock);
  }

  /** Notices stalls of the process until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.stalls.run(signal);
  }

  /** Adds what one request earns. */
  recordRequest(service: string): void {
    // After a stall the process reads requests that were sent long before, which belong to an earlier window.
    if (this.stalls.isCatchingUp) return;
    const { ratio, windowMs } = this.options;
    const retries = this.retriesOf(service);
    retries.fraction += EARNED_SHARE * ratio;
    for (; retries.fraction >= 1; retries.fraction -= 1)
      retries.unspent.push({ expiresAt: this.clock.elapsed() + LIFETIME_SHARE * windowMs });
  }

  /** Number of retries that can be spent now. */
  available(service: string): number {
    return this.unexpired(service).length;
  }

  /** Spends the retry that expires first; undefined if there is none. */
  take(service: string): EarnedRetry | undefined {
    return this.unexpired(service).shift();
  }

  /** Returns a retry that was not sent. */
  refund(service: string, retry: EarnedRetry): void {
    const retries = this.retriesOf(service);
    retries.unspent.push(retry);
    retries.unspent.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  private unexpired(service: string): EarnedRetry[] {
    const retries = this.retriesOf(service);
    const now = this.clock.elapsed();
    retries.unspent = retries.unspent.filter(({ expiresAt }) => expiresAt > now);
    return retries.unspent;
  }

  private retriesOf(service: string): ServiceRetries {
    let retries = this.services.get(service);
    if (retries === undefined) {
      // At random, so that daemons that start together do not earn their first retries at the same moment.
      retries = { fraction: -this.random.next(), unspent: [] };
      this.services.set(service, retries);
    }
    return retries;
  }
}
