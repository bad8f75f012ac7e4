/**
 * Pace of the workers that report how long work takes there at present: figures that this daemon received itself, and
 * those of other daemons, as last reported. Reports contain complete states rather than differences, so that lost or
 * repeated ones are harmless.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { ReportScope } from './load-report.js';
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

interface Observation {
  readonly pace: number;
  /** Decayed number of figures as of `updatedAt`. */
  readonly weight: number;
  /** Monotonic time. */
  readonly updatedAt: number;
  /** Monotonic time of the first figure. */
  readonly since: number;
}

interface SourceReport {
  readonly scope: ReportScope;
  readonly receivedAt: number;
  readonly observations: Map<string, Observation>;
}

/** Sum of the figures of one worker. */
interface FigureSum {
  paceSum: number;
  weight: number;
  since: number;
}

/** Tracks the pace of all workers. */
export class WorkerPaces implements PaceView {
  /** Called with the first figure of a worker of which no other daemon has reported any. */
  onLearnt: (backEndId: string, pace: number, percent: number) => void = () => undefined;
  private readonly own = new Map<string, Observation>();
  private readonly reports = new Map<string, SourceReport>();

  constructor(private readonly clock: Clock) {}

  /** Records the figure of an answer, in percent of the usual time. */
  record(backEndId: string, percent: number): void {
    const now = this.clock.monotonic();
    const isFirst = this.sumOf(backEndId, now).weight === 0;
    const previous = this.own.get(backEndId);
    const previousWeight = previous === undefined ? 0 : decayedWeight(previous, now);
    const weight = previousWeight + 1;
    const pace = ((previous?.pace ?? 0) * previousWeight + percent / 100) / weight;
    this.own.set(backEndId, { pace, weight, updatedAt: now, since: previous?.since ?? now });
    if (isFirst) this.onLearnt(backEndId, this.paceOf(backEndId), percent);
  }

  paceOf(backEndId: string): number {
    const now = this.clock.monotonic();
    const sum = this.sumOf(backEndId, now);
    return sum.weight === 0 ? PRIOR_PACE : dampedPace(sum, now);
  }

  /** Returns the decayed number of figures of a worker, over all daemons. */
  weightOf(backEndId: string): number {
    return this.sumOf(backEndId, this.clock.monotonic()).weight;
  }

  /** Returns the number of workers with a known pace, and the extremes. */
  totals(): PaceTotals {
    const ids = new Set(this.own.keys());
    for (const { observations } of this.freshReports()) for (const id of observations.keys()) ids.add(id);
    const paces = [...ids].map((id) => this.paceOf(id));
    if (paces.length === 0) return { known: 0, fastest: PRIOR_PACE, slowest: PRIOR_PACE };
    return { known: paces.length, fastest: Math.min(...paces), slowest: Math.max(...paces) };
  }

  /** Returns the figures that this daemon received itself. */
  ownReport(): PaceEntry[] {
    return this.combinedReport([]);
  }

  /** Returns the sum of this daemon's own figures and those of sources with the given scopes, except one source. */
  combinedReport(scopes: readonly ReportScope[], excludedSource?: string): PaceEntry[] {
    const now = this.clock.monotonic();
    this.removeDecayed(now);
    const sums = new Map<string, FigureSum>();
    addAll(sums, this.own, now);
    for (const [source, { scope, receivedAt, observations }] of this.reports) {
      if (source === excludedSource || !scopes.includes(scope)) continue;
      if (now - receivedAt <= REPORT_LIFETIME_MS) addAll(sums, observations, now);
    }
    return [...sums]
      .map(([backEndId, { paceSum, weight }]) => ({ backEndId, pace: paceSum / weight, weight }))
      .filter(({ weight }) => weight >= MIN_REPORTED_WEIGHT);
  }

  /** Stores the report of a source, replacing its previous one. */
  acceptReport(source: string, scope: ReportScope, entries: readonly PaceEntry[]): void {
    const now = this.clock.monotonic();
    const previous = this.reports.get(source)?.observations;
    const observations = new Map<string, Observation>();
    for (const { backEndId, pace, weight } of entries) {
      const since = previous?.get(backEndId)?.since ?? now;
      observations.set(backEndId, { pace, weight, updatedAt: now, since });
    }
    this.reports.set(source, { scope, receivedAt: now, observations });
    for (const [name, { receivedAt }] of this.reports) {
      if (now - receivedAt > REPORT_LIFETIME_MS) this.reports.delete(name);
    }
  }

  /** Removes all reports of other daemons, for use when the sources of reports change. */
  dropReports(): void {
    this.reports.clear();
  }

  /** Removes the figures of a worker that is gone. */
  forget(backEndId: string): void {
    this.own.delete(backEndId);
    for (const { observations } of this.reports.values()) observations.delete(backEndId);
  }

  private sumOf(backEndId: string, now: number): FigureSum {
    const sum = { paceSum: 0, weight: 0, since: Infinity };
    add(sum, this.own.get(backEndId), now);
    for (const { observations } of this.freshReports()) add(sum, observations.get(backEndId), now);
    return sum;
  }

  private *freshReports(): Generator<SourceReport> {
    const oldest = this.clock.monotonic() - REPORT_LIFETIME_MS;
    for (const report of this.reports.values()) {
      if (report.receivedAt >= oldest) yield report;
    }
  }

  private removeDecayed(now: number): void {
    for (const [backEndId, observation] of this.own) {
      if (decayedWeight(observation, now) < MIN_REPORTED_WEIGHT) this.own.delete(backEndId);
    }
  }
}

/** Returns the mean of the figures, damped towards the usual pace as long as they are few or of one moment. */
function dampedPace({ paceSum, weight, since }: FigureSum, now: number): number {
  const independent = Math.min(weight, 1 + (now - since) / INDEPENDENT_FIGURE_MS);
  const pace = paceSum / weight;
  return (pace * independent + PRIOR_PACE * PRIOR_WEIGHT) / (independent + PRIOR_WEIGHT);
}

function addAll(
  sums: Map<string, FigureSum>,
  observations: ReadonlyMap<string, Observation>,
  now: number,
): void {
  for (const [backEndId, observation] of observations) {
    let sum = sums.get(backEndId);
    if (sum === undefined) {
      sum = { paceSum: 0, weight: 0, since: Infinity };
      sums.set(backEndId, sum);
    }
    add(sum, observation, now);
  }
}

function add(sum: FigureSum, observation: Observation | undefined, now: number): void {
  if (observation === undefined) return;
  const weight = decayedWeight(observation, now);
  sum.paceSum += observation.pace * weight;
  sum.weight += weight;
  sum.since = Math.min(sum.since, observation.since);
}

function decayedWeight({ weight, updatedAt }: Observation, now: number): number {
  return weight * 0.5 ** ((now - updatedAt) / PACE_HALF_LIFE_MS);
}
