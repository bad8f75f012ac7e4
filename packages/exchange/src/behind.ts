/** How long others have been known to have a newer record than this daemon. */
import type { Clock } from '@woodbarrow/runtime';

/** Compares this daemon's revision with those that others tell, in any order. */
export class BehindTracker {
  private newestElsewhere = 0;
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly own: () => number,
  ) {}

  /** Another daemon has seen this revision. One that is itself behind says nothing about this daemon. */
  note(revision: number): void {
    if (revision <= this.own()) return;
    if (!this.isBehind) this.since = this.clock.monotonic();
    this.newestElsewhere = Math.max(this.newestElsewhere, revision);
  }

  /** Whether another daemon has a newer record. */
  get isBehind(): boolean {
    return this.newestElsewhere > this.own();
  }

  /** Milliseconds since which this daemon has been behind; 0 when it is not. */
  get behindMs(): number {
    return this.isBehind ? this.clock.monotonic() - this.since : 0;
  }

  /** Begins to measure anew. */
  restart(): void {
    this.since = this.clock.monotonic();
  }
}
