/**
 * Pace of the workers that report how long work takes there at present: figures that this daemon received itself, and
 * those of other daemons, as last reported. Reports contain complete states rather than differences, so that lost or
 * repeated ones are harmless.
 */
import type { Clock } from '@woodbarrow/runtime';
import { FigureColumns } from './figure-columns.js';
import type { ReportScope } from './load-report.js';
import { PaceSums } from './pace-sums.js';
import { WorkerNumbers } from './worker-numbers.js';
import type { PaceView } from './pace-view.js';

/** Figures of one worker that one daemon, or several, have received. */
export interface PaceEntry {
  readonly backEndId: string;
  /** Mean of the figures; 1 is the usual pace. */
  readonly pace: number;
  /** Number of figures, weighted by an exponential decay with age. */
  readonly weight: number;
}

/** Known paces, for metrics. */
export interface PaceTotals {
  /** Number of workers whose pace is known. */
  readonly known: number;
  /** Smallest and largest pace; 1 if none is known. */
  readonly fastest: number;
  readonly slowest: number;
}

/**
 * Half-life of the figures, in milliseconds. A worker's own pace is stable, but its figures are 2.5 times as high during
 * slow periods, 15 % of the time in periods of 600 ms. The mean over some 15 s contains several such periods, so that
 * it follows the worker rather than a single period.
 */
export const PACE_HALF_LIFE_MS = 10_000;
/**
 * Weight of the assumption that an unknown worker has the usual pace, in figures. One figure cannot tell a slow worker
 * from a slow period. For workers that report 60, 100 or 160 with the periods above, the variance between the figures of
 * one worker is 1.5 times that between the means of the workers, and this ratio is the weight with the least error.
 */
const PRIOR_WEIGHT = 1.5;
/** Assumed pace of an unknown worker, so that the result changes steadily from and to that of an unknown worker. */
const PRIOR_PACE = 1;
/** Milliseconds in which several figures count as one: they fall into the same slow period or between the same two. */
const INDEPENDENT_FIGURE_MS = 600;
/** Minimum weight that is reported; after 35 s without figures, a single one no longer affects the choice of workers. */
const MIN_REPORTED_WEIGHT = 0.1;
/**
 * Milliseconds after which the figures in a report expire. Covers many lost reports; meanwhile they decay. Counting them
 * twice after a daemon has attached to another relay hardly changes a mean.
 */
const REPORT_LIFETIME_MS = 12_000;

/**
 * Milliseconds after which the time that stored weights refer to is renewed. The stored weight of a new figure doubles
 * with each half-life after that time; 500 doublings are within the range of a double, as are 500 halvings.
 */
const REFERENCE_LIFETIME_MS = 500 * PACE_HALF_LIFE_MS;

interface SourceReport {
  readonly scope: ReportScope;
  readonly receivedAt: number;
  readonly observations: FigureColumns;
  /** Whether the figures are part of the sums; false once they have expired. */
  isCounted: boolean;
}

/** Tracks the pace of all workers. */
export class WorkerPaces implements PaceView {
  /** Called with the first figure of a worker of which no other daemon has reported any. */
  onLearnt: (backEndId: string, pace: number, percent: number) => void = () => undefined;
  private readonly numbers = new WorkerNumbers();
  private readonly own = new FigureColumns();
  private readonly reports = new Map<string, SourceReport>();
  /** Sums of the own figures and those of all reports that have not expired. */
  private readonly sums = new PaceSums(() => this.countedFigures());
  /**
   * Monotonic time that all stored weights refer to. Since all figures decay alike, weights as of one time can be added
   * and subtracted without computing their decay.
   */
  private referenceTime: number;
  /** Monotonic time before which no report expires. */
  private nextExpiryAt = Infinity;

  constructor(private readonly clock: Clock) {
    this.referenceTime = clock.monotonic();
  }

  /** Records the figure of an answer, in percent of the usual time. */
  record(backEndId: string, percent: number): void {
    const now = this.clock.monotonic();
    this.expireReports(now);
    this.renewReferenceTime(now);
    const isFirst = this.weightAt(backEndId, now) === 0;
    const worker = this.numbers.assign(backEndId);
    const weight = this.scaleAt(now);
    const paceSum = (percent / 100) * weight;
    this.sums.add(worker, paceSum, weight, now, !this.own.has(worker));
    this.own.add(worker, paceSum, weight, now);
    if (isFirst) this.onLearnt(backEndId, this.paceOf(backEndId), percent);
  }

  paceOf(backEndId: string): number {
    const now = this.clock.monotonic();
    this.expireReports(now);
    return this.paceAt(this.numbers.numberOf(backEndId), now, this.scaleAt(now));
  }

  /** Returns the decayed number of figures of a worker, over all daemons. */
  weightOf(backEndId: string): number {
    const now = this.clock.monotonic();
    this.expireReports(now);
    return this.weightAt(backEndId, now);
  }

  /** Returns the number of workers with a known pace, and the extremes. */
  totals(): PaceTotals {
    const now = this.clock.monotonic();
    this.expireReports(now);
    if (this.sums.size === 0) return { known: 0, fastest: PRIOR_PACE, slowest: PRIOR_PACE };
    const scale = this.scaleAt(now);
    let [fastest, slowest] = [Infinity, -Infinity];
    for (const [, worker] of this.numbers.entries()) {
      if (!this.sums.has(worker)) continue;
      const pace = this.paceAt(worker, now, scale);
      fastest = Math.min(fastest, pace);
      slowest = Math.max(slowest, pace);
    }
    return { known: this.sums.size, fastest, slowest };
  }

  /** Returns the figures that this daemon received itself. */
  ownReport(): PaceEntry[] {
    return this.combinedReport([]);
  }

  /** Returns the sum of this daemon's own figures and those of sources with the given scopes, except one source. */
  combinedReport(scopes: readonly ReportScope[], excludedSource?: string): PaceEntry[] {
    const now = this.clock.monotonic();
    this.expireReports(now);
    this.removeDecayed(now);
    const sum = new FigureColumns(this.own.capacity);
    sum.addAll(this.own);
    for (const [source, { scope, observations, isCounted }] of this.reports) {
      if (isCounted && source !== excludedSource && scopes.includes(scope)) sum.addAll(observations);
    }
    const scale = this.scaleAt(now);
    const entries: PaceEntry[] = [];
    for (const [backEndId, worker] of this.numbers.entries()) {
      const stored = sum.weightOf(worker);
      const weight = stored / scale;
      if (weight < MIN_REPORTED_WEIGHT) continue;
      entries.push({ backEndId, pace: sum.paceSumOf(worker) / stored, weight });
    }
    return entries;
  }

  /** Stores the report of a source, replacing its previous one. */
  acceptReport(source: string, scope: ReportScope, entries: readonly PaceEntry[]): void {
    const now = this.clock.monotonic();
    this.expireReports(now);
    this.renewReferenceTime(now);
    const previous = this.reports.get(source);
    const scale = this.scaleAt(now);
    const observations = new FigureColumns(previous?.observations.capacity);
    for (const { backEndId, pace, weight } of entries) {
      const worker = this.numbers.assign(backEndId);
      const since = previous?.observations.sinceOf(worker) ?? Infinity;
      observations.set(worker, pace * weight * scale, weight * scale, Math.min(since, now));
    }
    this.replaceInSums(previous?.isCounted === true ? previous.observations : undefined, observations);
    this.reports.set(source, { scope, receivedAt: now, observations, isCounted: true });
    this.nextExpiryAt = Math.min(this.nextExpiryAt, now + REPORT_LIFETIME_MS);
    for (const [name, { isCounted }] of this.reports) {
      if (!isCounted) this.reports.delete(name);
    }
    this.releaseUnused();
  }

  /** Removes all reports of other daemons, for use when the sources of reports change. */
  dropReports(): void {
    this.reports.clear();
    this.nextExpiryAt = Infinity;
    this.sums.clear();
    this.replaceInSums(undefined, this.own);
    this.releaseUnused();
  }

  /** Removes the figures of a worker that is gone. */
  forget(backEndId: string): void {
    const worker = this.numbers.numberOf(backEndId);
    if (worker === undefined) return;
    this.own.delete(worker);
    for (const { observations } of this.reports.values()) observations.delete(worker);
    this.sums.delete(worker);
    this.numbers.release(backEndId);
  }

  private paceAt(worker: number | undefined, now: number, scale: number): number {
    if (worker === undefined || !this.sums.has(worker)) return PRIOR_PACE;
    const sums = this.sums.upToDate(worker);
    const stored = sums.weightOf(worker);
    const weight = stored / scale;
    if (weight === 0) return PRIOR_PACE;
    return dampedPace(sums.paceSumOf(worker) / stored, weight, now - sums.sinceOf(worker));
  }

  private weightAt(backEndId: string, now: number): number {
    const worker = this.numbers.numberOf(backEndId);
    return worker === undefined ? 0 : this.sums.upToDate(worker).weightOf(worker) / this.scaleAt(now);
  }

  /** Returns the stored weight of a figure received now. */
  private scaleAt(now: number): number {
    return 2 ** ((now - this.referenceTime) / PACE_HALF_LIFE_MS);
  }

  /** Moves the reference time forward. Whole half-lives scale the stored weights without rounding. */
  private renewReferenceTime(now: number): void {
    const ageMs = now - this.referenceTime;
    if (ageMs <= REFERENCE_LIFETIME_MS) return;
    const halfLives = Math.floor(ageMs / PACE_HALF_LIFE_MS);
    const factor = 0.5 ** halfLives;
    this.referenceTime += halfLives * PACE_HALF_LIFE_MS;
    this.sums.scale(factor);
    this.own.scale(factor);
    for (const { observations } of this.reports.values()) observations.scale(factor);
  }

  private *countedFigures(): Generator<FigureColumns> {
    yield this.own;
    for (const { observations, isCounted } of this.reports.values()) {
      if (isCounted) yield observations;
    }
  }

  private replaceInSums(previous: FigureColumns | undefined, next: FigureColumns | undefined): void {
    const capacity = Math.max(previous?.capacity ?? 0, next?.capacity ?? 0);
    for (let worker = 0; worker < capacity; worker += 1) this.sums.replace(worker, previous, next);
  }

  /** Releases the numbers of workers without figures. Expired reports still refer to theirs. */
  private releaseUnused(): void {
    if (this.numbers.size === this.sums.size) return;
    for (const { isCounted } of this.reports.values()) if (!isCounted) return;
    for (const [backEndId, worker] of this.numbers.entries()) {
      if (!this.sums.has(worker)) this.numbers.release(backEndId);
    }
  }

  /**
   * Removes expired reports from the sums. The reports are kept until the next one arrives: if it is of the same source,
   * it continues the times of the first figures.
   */
  private expireReports(now: number): void {
    if (now <= this.nextExpiryAt) return;
    this.nextExpiryAt = Infinity;
    for (const report of this.reports.values()) {
      if (!report.isCounted) continue;
      if (now - report.receivedAt > REPORT_LIFETIME_MS) {
        report.isCounted = false;
        this.replaceInSums(report.observations, undefined);
      } else this.nextExpiryAt = Math.min(this.nextExpiryAt, report.receivedAt + REPORT_LIFETIME_MS);
    }
  }

  private removeDecayed(now: number): void {
    const minimum = MIN_REPORTED_WEIGHT * this.scaleAt(now);
    for (let worker = 0; worker < this.own.capacity; worker += 1) {
      if (!this.own.has(worker) || this.own.weightOf(worker) >= minimum) continue;
      this.sums.replace(worker, this.own, undefined);
      this.own.delete(worker);
    }
    this.releaseUnused();
  }
}

/**
 * Returns the mean of the figures, damped towards the usual pace as long as they are few or of one moment.
 *
 * @param ageMs Milliseconds since the first figure.
 */
function dampedPace(pace: number, weight: number, ageMs: number): number {
  const independent = Math.min(weight, 1 + ageMs / INDEPENDENT_FIGURE_MS);
  return (pace * independent + PRIOR_PACE * PRIOR_WEIGHT) / (independent + PRIOR_WEIGHT);
}
