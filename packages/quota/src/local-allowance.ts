/**
 * Units of one limit that a daemon holds. They expire by elapsed time, which includes time that the
 * machine was suspended.
 */
import type { Clock } from '@woodbarrow/runtime';

interface HeldUnits {
  units: number;
  /** Elapsed time at which the units expire, in milliseconds. */
  readonly expiresAt: number;
}

/** Units taken for one request. */
export interface TakenUnits {
  readonly units: number;
  /** Elapsed time at which the first of the units expire, in milliseconds. */
  readonly earliestExpiresAt: number;
}

/** Tracks the units that a daemon holds for one subject. */
export class LocalAllowance {
  /** Sorted by expiry, earliest first. */
  private held: HeldUnits[] = [];

  constructor(private readonly clock: Clock) {}

  /** Returns the number of unexpired units. */
  available(): number {
    const now = this.clock.elapsed();
    this.held = this.held.filter(({ expiresAt, units }) => expiresAt > now && units > 0);
    return this.held.reduce((sum, { units }) => sum + units, 0);
  }

  /** Adds units. @param expiresAt Elapsed time at which they expire, in milliseconds. */
  add(units: number, expiresAt: number): void {
    if (units <= 0) return;
    this.held.push({ units, expiresAt });
    this.held.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  clear(): void {
    this.held = [];
  }

  /** Takes the units that expire first. Returns undefined if fewer than requested are available. */
  take(units: number): TakenUnits | undefined {
    if (this.available() < units) return undefined;
    let left = units;
    let earliestExpiresAt = Infinity;
    for (const part of this.held) {
      if (left <= 0) break;
      const taken = Math.min(left, part.units);
      part.units -= taken;
      left -= taken;
      earliestExpiresAt = Math.min(earliestExpiresAt, part.expiresAt);
    }
    return { units, earliestExpiresAt };
  }
}
