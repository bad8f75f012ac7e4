/** Requests of one priority at an allocator. */
import type { Clock } from '@woodbarrow/runtime';
import { ClaimLine } from './claim-line.js';
import { divideByWeight } from './unit-division.js';
import { UsageRate } from './usage-rate.js';

/** Time since the last request for which a priority counts as present, in milliseconds. */
const PRESENCE_MS = 2000;
/**
 * Useful wait above which a request counts as patient, in milliseconds. Targets of interactive
 * requests are 0.3 to 0.6 s, those of batch work several seconds.
 */
export const PATIENT_WAIT_MS = 1000;

/**
 * One priority. Patient and other requests wait in two lines with equal shares: in a single line, the
 * claims of those that can wait several seconds would leave no place for requests that cannot. The
 * shares also bound for how long either kind delays a claim of the other to the claim's own refill.
 * Each line counts with the weight of the priority, so that neither loses by the other.
 */
export class PriorityClass {
  private readonly soon = new ClaimLine();
  private readonly patient = new ClaimLine();
  private readonly granted: UsageRate;
  private askedAt = -Infinity;
  readonly lines: readonly ClaimLine[] = [this.soon, this.patient];

  constructor(
    readonly priority: number,
    clock: Clock,
  ) {
    this.granted = new UsageRate(clock);
  }

  get missing(): number {
    return this.soon.missing + this.patient.missing;
  }

  /** Number of lines in which requests wait, at least one. */
  get lineCount(): number {
    return Math.max(1, this.lines.filter(({ missing }) => missing > 0).length);
  }

  get setAside(): number {
    return this.soon.setAside + this.patient.setAside;
  }

  /** Units granted per millisecond of late. */
  get grantedPerMs(): number {
    return this.granted.perMs();
  }

  isPresent(now: number): boolean {
    return now - this.askedAt <= PRESENCE_MS;
  }

  recordAsked(now: number): void {
    this.askedAt = now;
  }

  recordGranted(units: number): void {
    this.granted.add(units);
  }

  lineFor(usefulWaitMs: number): ClaimLine {
    return usefulWaitMs > PATIENT_WAIT_MS ? this.patient : this.soon;
  }

  /** Returns the line with a claim; undefined if there is none. */
  lineOf(claimId: string): ClaimLine | undefined {
    return this.lines.find((line) => line.find(claimId) !== undefined);
  }

  /** Fraction of the priority's refill that a line receives while somebody waits in it. */
  fractionOf(line: ClaimLine): number {
    return this.lines.some((other) => other !== line && other.missing > 0) ? 1 / this.lines.length : 1;
  }

  /** Sets units aside for the claims. The caller must not pass more than are missing. */
  fill(units: number): void {
    const parties = this.lines.map(({ missing }) => ({ weight: 1, wanted: missing }));
    for (const [index, share] of divideByWeight(units, parties).entries()) this.lines[index]?.fill(share);
  }
}
