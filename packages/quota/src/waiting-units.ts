/** Units that one waiting request has collected. */
import type { Clock } from '@woodbarrow/runtime';

/** Units that expire together. */
export interface UnitPart {
  readonly units: number;
  /** Elapsed time at which the units expire, in milliseconds. */
  readonly expiresAt: number;
}

/** Collects the parts of one request. Parts may expire while others are awaited. */
export class WaitingUnits {
  private parts: UnitPart[] = [];

  constructor(
    private readonly needed: number,
    private readonly clock: Clock,
  ) {}

  add(part: UnitPart): void {
    if (part.units > 0) this.parts.push(part);
  }

  /** Returns the units still missing. */
  missing(): number {
    const now = this.clock.elapsed();
    this.parts = this.parts.filter(({ expiresAt }) => expiresAt > now);
    return Math.max(0, this.needed - this.parts.reduce((sum, { units }) => sum + units, 0));
  }

  /** Removes and returns all parts. */
  drain(): UnitPart[] {
    const parts = this.parts;
    this.parts = [];
    return parts;
  }
}
