/** Remembers which allocators have not responded, so that requests with short targets do not wait for them. */
import type { Clock } from '@woodbarrow/runtime';

/**
 * Time for which an allocator that did not respond is not called, in milliseconds. Each call to it takes
 * up to 300 ms, which is most of the target of an interactive request.
 */
const SILENCE_MS = 1000;

/** Selects the allocators to call. */
export class ResponsiveAllocators {
  /** Monotonic time until which a zone is not called. */
  private readonly silentUntil = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Returns the zones to call, in the order given. A zone whose silence is over comes last, and only
   * for one request. Returns all zones if none is known to respond.
   */
  select(zones: readonly string[]): string[] {
    const now = this.clock.monotonic();
    const responsive = zones.filter((zone) => !this.silentUntil.has(zone));
    const due = zones.filter((zone) => (this.silentUntil.get(zone) ?? Infinity) <= now);
    for (const zone of due) this.recordSilence(zone);
    const selected = [...responsive, ...due];
    return selected.length > 0 ? selected : [...zones];
  }

  recordAnswer(zone: string): void {
    this.silentUntil.delete(zone);
  }

  recordSilence(zone: string): void {
    this.silentUntil.set(zone, this.clock.monotonic() + SILENCE_MS);
  }
}
