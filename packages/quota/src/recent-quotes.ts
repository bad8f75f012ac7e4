/** Remembers for a moment when allocators would have had units, which saves calls while a subject is overloaded. */
import type { Clock } from '@woodbarrow/runtime';
import { laneOf, type RefusedRequest } from './refusal-memory.js';

/**
 * Time for which a quote is used, in milliseconds. It is shorter than the targets of interactive
 * requests, so that the units of an allocator that has some again are found in time.
 */
const QUOTE_LIFETIME_MS = 300;

interface Quote {
  readonly units: number;
  /** Monotonic time at which the units were due, in milliseconds. */
  readonly dueAt: number;
  readonly expiresAt: number;
}

/** Latest quotes of the allocators for one subject. */
export class RecentQuotes {
  private readonly quotes = new Map<string, Quote>();

  constructor(private readonly clock: Clock) {}

  record(zone: string, request: RefusedRequest, dueMs: number): void {
    const now = this.clock.monotonic();
    const { units } = request;
    const quote = { units, dueAt: now + dueMs, expiresAt: now + QUOTE_LIFETIME_MS };
    this.quotes.set(keyOf(zone, request), quote);
  }

  /**
   * Returns the allocator that has units first, if all have recently said that they have none soon.
   *
   * @param soonMs Time within which units may be there sooner than by another call, in milliseconds.
   */
  earliest(zones: readonly string[], request: RefusedRequest, soonMs: number): string | undefined {
    const now = this.clock.monotonic();
    let best: { readonly zone: string; readonly dueAt: number } | undefined;
    for (const zone of zones) {
      const quote = this.quotes.get(keyOf(zone, request));
      if (quote === undefined || now >= quote.expiresAt || quote.dueAt <= now + soonMs) return undefined;
      if (best === undefined || quote.dueAt < best.dueAt) best = { zone, dueAt: quote.dueAt };
    }
    return best?.zone;
  }

  /** Whether an allocator has recently quoted a time that is too late for a request. */
  isTooLate(zone: string, request: RefusedRequest): boolean {
    const quote = this.quotes.get(keyOf(zone, request));
    const now = this.clock.monotonic();
    if (quote === undefined || now >= quote.expiresAt || request.units < quote.units) return false;
    return quote.dueAt > now + request.usefulWaitMs;
  }
}

function keyOf(zone: string, request: RefusedRequest): string {
  return `${zone} ${laneOf(request)}`;
}
