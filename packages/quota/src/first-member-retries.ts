/**
 * Retries of the fixed allowance for the first daemon of a deployment, until there are allocators. Afterwards it tells the allocators how
 * many it used, so that they need not leave out the rest.
 */
import { RETRY_TRANSIT_MS, type AllowedRetry } from '@woodbarrow/forwarding';
import { firstMemberRetriesMethod, type UsedRetries } from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';
import { callAllocator, type AllocatorAccess } from './call-allocator.js';
import {
  FIRST_MEMBER_MS,
  retriesOfFirstMember,
  retryHoldMs,
  type RetryAllowanceLimit,
} from './retry-allocator.js';

/** Options of {@link FirstMemberRetries}. */
export interface FirstMemberRetriesOptions extends AllocatorAccess {
  readonly limit: RetryAllowanceLimit;
  /** Zones of the deployment. Each has one allocator. */
  readonly zones: readonly string[];
  /** Whether this process is the first that ever joined the deployment. */
  readonly isFirstMember: () => boolean;
  readonly clock: Clock;
}

/** Interval between attempts to tell the allocators, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Retries of one process; none unless it is the first of its deployment. */
export class FirstMemberRetries {
  /** Elapsed time until which they may be sent, in milliseconds. */
  private readonly endsAt: number;
  private readonly used = new Map<string, number>();

  constructor(private readonly options: FirstMemberRetriesOptions) {
    const { clock } = options;
    this.endsAt = clock.elapsed() + FIRST_MEMBER_MS;
  }

  /** Takes one retry; undefined if there is none. */
  take(service: string): AllowedRetry | undefined {
    const { isFirstMember, limit } = this.options;
    const used = this.used.get(service) ?? 0;
    if (!isFirstMember() || !this.isValid() || used >= retriesOfFirstMember(limit)) return undefined;
    this.used.set(service, used + 1);
    let isOpen = true;
    const refund = (): void => {
      if (isOpen) this.used.set(service, (this.used.get(service) ?? 0) - 1);
      isOpen = false;
    };
    const countedUntil = this.endsAt + RETRY_TRANSIT_MS;
    return { source: 'first_member', countedUntil, isValid: () => this.isValid(), refund };
  }

  private isValid(): boolean {
    return this.options.clock.elapsed() < this.endsAt;
  }

  /** Once the retries may no longer be sent, tells the allocators of all zones how many were, so that they leave out no more. */
  async report(signal: AbortSignal): Promise<void> {
    const { isFirstMember, limit, zones, clock } = this.options;
    await sleep(clock, FIRST_MEMBER_MS, signal);
    if (!isFirstMember()) return;
    const used: UsedRetries[] = [...this.used].map(([service, retries]) => ({
      service,
      retries: Math.ceil(retries / zones.length),
    }));
    const until = clock.monotonic() + retryHoldMs(limit.windowMs);
    let untold = zones;
    while (untold.length > 0 && clock.monotonic() < until && !signal.aborted) {
      const told = await Promise.all(
        untold.map((zone) => callAllocator(this.options, zone, firstMemberRetriesMethod, { zone, used })),
      );
      untold = untold.filter((_, index) => told[index] === undefined);
      await sleep(clock, REPORT_INTERVAL_MS, signal);
    }
  }
}
