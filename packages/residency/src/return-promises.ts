/** Models that requests were told to come back for: they stay resident until those requests should have returned. */
import type { Clock } from '@woodbarrow/runtime';

/** Promises of one coordinator, by model. */
export class ReturnPromises {
  private readonly kept = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Keeps a model until a monotonic time; an earlier promise that lasts longer stands. */
  keep(model: string, until: number): void {
    this.kept.set(model, Math.max(this.until(model), until));
  }

  /** Monotonic time until which a model is kept; 0 when nothing was promised. */
  until(model: string): number {
    return this.kept.get(model) ?? 0;
  }

  /** Drops the promises whose time has passed. */
  forgetPast(): void {
    const now = this.clock.monotonic();
    for (const [model, until] of this.kept) {
      if (until <= now) this.kept.delete(model);
    }
  }
}
