/** Ranks the arrivals of a daemon by urgency, by how many of the last seconds' arrivals were more urgent. */
import type { Clock } from '@woodbarrow/runtime';

/** Span of one count, in milliseconds; the ranks follow the arrivals of the current span and the one before. */
const SPAN_MS = 1000;

/** Ranks of arrivals by the priority of their route. */
export class ArrivalRanks {
  private current = new Map<number, number>();
  private previous = new Map<number, number>();
  private startedAt: number;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.monotonic();
  }

  /**
   * Counts an arrival and returns its rank: 0 for the most urgent of the last arrivals, towards 1 for the least.
   *
   * @param priority 0 for the most urgent.
   * @param position Place among the arrivals of the same priority, from 0 to 1.
   */
  rankOf(priority: number, position: number): number {
    this.startSpan();
    this.current.set(priority, (this.current.get(priority) ?? 0) + 1);
    let before = 0;
    let equal = 0;
    let all = 0;
    for (const counts of [this.current, this.previous]) {
      for (const [other, count] of counts) {
        all += count;
        if (other < priority) before += count;
        else if (other === priority) equal += count;
      }
    }
    return (before + position * equal) / all;
  }

  private startSpan(): void {
    const now = this.clock.monotonic();
    if (now - this.startedAt < SPAN_MS) return;
    this.previous = now - this.startedAt < 2 * SPAN_MS ? this.current : new Map<number, number>();
    this.current = new Map();
    this.startedAt = now;
  }
}
