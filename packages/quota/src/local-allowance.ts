/** Units of one limit that a daemon holds. They lapse by the time of its own machine, suspensions included. */
import type { Clock } from '@woodbarrow/runtime';

interface HeldUnits {
  units: number;
  /** Elapsed time at which they lapse. */
  readonly expiresAt: number;
}

/** Units taken out for one request. */
export interface TakenUnits {
  readonly units: number;
  /** Elapsed time at which the first of them lapse. */
  readonly earliestExpiresAt: number;
}

/** Units that one daemon holds for one subject. */
export class LocalAllowance {
  /** Those that lapse first come first. */
  private held: HeldUnits[] = [];

  constructor(private readonly clock: Clock) {}

  /** Units that may be used now. */
  available(): number {
    const now = this.clock.elapsed();
    this.held = this.held.filter(({ expiresAt, units }) => expiresAt > now && units > 0);
    return this.held.reduce((sum, { units }) => sum + units, 0);
  }

  /** @param expiresAt Elapsed time at which they lapse. */
  add(units: number, expiresAt: number): void {
    if (units <= 0) return;
    this.held.push({ units, expiresAt });
    this.held.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  /** Drops all units. */
  clear(): void {
    this.held = [];
  }

  /** Takes units out; undefined when there are too few. */
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
