/** Running sums of the figures of each worker over several sources, so that reading one does not visit the sources. */
import { FigureColumns } from './figure-columns.js';

/**
 * Smallest share of a removed value that the remaining sum may have. Below it, the rounding errors of the removed value
 * would be noticeable in what remains: a double has 15 digits.
 */
const MIN_REMAINING_SHARE = 1e-4;

/** Running sums by worker number. */
export class PaceSums {
  private sums = new FigureColumns();
  /** Number of sources with figures of each worker. */
  private sourceCounts: number[] = [];
  /** Workers whose sum has to be computed anew, as differences do not give it. */
  private readonly stale = new Set<number>();
  private known = 0;

  /** @param sources Returns all sources that contribute. */
  constructor(private readonly sources: () => Iterable<FigureColumns>) {}

  /** Number of workers with figures of at least one source. */
  get size(): number {
    return this.known;
  }

  has(worker: number): boolean {
    return (this.sourceCounts[worker] ?? 0) > 0;
  }

  /** Returns the sums, in which that of the given worker is up to date. */
  upToDate(worker: number): FigureColumns {
    if (this.stale.delete(worker)) {
      this.sums.delete(worker);
      for (const figures of this.sources()) this.sums.addOf(worker, figures);
    }
    return this.sums;
  }

  /** Adds a figure of one source. @param isFirst Whether the source had no figures of the worker. */
  add(worker: number, paceSum: number, weight: number, since: number, isFirst: boolean): void {
    this.sums.add(worker, paceSum, weight, since);
    if (isFirst) this.count(worker, 1);
  }

  /** Replaces the figures of one source for a worker. */
  replace(worker: number, previous: FigureColumns | undefined, next: FigureColumns | undefined): void {
    const hadFigures = previous?.has(worker) === true;
    const hasFigures = next?.has(worker) === true;
    if (next !== undefined && hasFigures) this.sums.addOf(worker, next);
    if (previous !== undefined && hadFigures)
      this.subtract(worker, previous, next?.sinceOf(worker) ?? Infinity);
    if (hadFigures !== hasFigures) this.count(worker, hasFigures ? 1 : -1);
  }

  /** Removes the figures of a worker, which no source has any more. */
  delete(worker: number): void {
    this.count(worker, -(this.sourceCounts[worker] ?? 0));
  }

  clear(): void {
    this.sums = new FigureColumns();
    this.sourceCounts = [];
    this.stale.clear();
    this.known = 0;
  }

  /** Multiplies all weights, for use when the common time changes. */
  scale(factor: number): void {
    this.sums.scale(factor);
  }

  private count(worker: number, change: number): void {
    const before = this.sourceCounts[worker] ?? 0;
    const after = before + change;
    this.sourceCounts[worker] = after;
    this.known += Number(after > 0) - Number(before > 0);
    if (after > 0) return;
    this.sums.delete(worker);
    this.stale.delete(worker);
  }

  private subtract(worker: number, figures: FigureColumns, nextSince: number): void {
    const [removedPaceSum, removedWeight] = [figures.paceSumOf(worker), figures.weightOf(worker)];
    const paceSum = this.sums.paceSumOf(worker) - removedPaceSum;
    const weight = this.sums.weightOf(worker) - removedWeight;
    const since = this.sums.sinceOf(worker);
    this.sums.set(worker, paceSum, weight, since);
    // These conditions are also false for sums that are not numbers.
    const isPrecise =
      weight >= removedWeight * MIN_REMAINING_SHARE && paceSum >= removedPaceSum * MIN_REMAINING_SHARE;
    const removedSince = figures.sinceOf(worker);
    const wasFirst = removedSince <= since && nextSince > removedSince;
    if (!isPrecise || wasFirst) this.stale.add(worker);
  }
}
