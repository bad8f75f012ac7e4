/**
 * Figures by worker number, in columns. A large deployment has some 40 sources with up to 4,700 workers each; as objects
 * in maps they take several times the memory, and most of the time of a report is spent on reading them.
 */

const MIN_CAPACITY = 16;

/** Figures of one source, or of several. All weights are as of one common time. */
export class FigureColumns {
  private paceSums: Float64Array;
  private weights: Float64Array;
  private firstTimes: Float64Array;

  /** @param capacity Number of workers that there is space for at first. */
  constructor(capacity = 0) {
    this.paceSums = new Float64Array(capacity);
    this.weights = new Float64Array(capacity);
    this.firstTimes = new Float64Array(capacity).fill(Infinity);
  }

  /** Number of workers that there is space for. */
  get capacity(): number {
    return this.weights.length;
  }

  has(worker: number): boolean {
    return this.sinceOf(worker) < Infinity;
  }

  /** Returns the sum of the figures, each multiplied by its weight; 0 without figures. */
  paceSumOf(worker: number): number {
    return this.paceSums[worker] ?? 0;
  }

  /** Returns the weight of the figures; 0 without figures. */
  weightOf(worker: number): number {
    return this.weights[worker] ?? 0;
  }

  /** Returns the monotonic time of the first figure, in milliseconds; Infinity without figures. */
  sinceOf(worker: number): number {
    return this.firstTimes[worker] ?? Infinity;
  }

  set(worker: number, paceSum: number, weight: number, since: number): void {
    if (worker >= this.capacity) this.grow(Math.max(MIN_CAPACITY, 2 * worker));
    this.paceSums[worker] = paceSum;
    this.weights[worker] = weight;
    this.firstTimes[worker] = since;
  }

  delete(worker: number): void {
    if (worker < this.capacity) this.set(worker, 0, 0, Infinity);
  }

  /** Adds figures of one worker. */
  add(worker: number, paceSum: number, weight: number, since: number): void {
    this.set(
      worker,
      this.paceSumOf(worker) + paceSum,
      this.weightOf(worker) + weight,
      Math.min(this.sinceOf(worker), since),
    );
  }

  /** Adds the figures that other columns have of one worker. */
  addOf(worker: number, figures: FigureColumns): void {
    this.add(worker, figures.paceSumOf(worker), figures.weightOf(worker), figures.sinceOf(worker));
  }

  /** Adds the figures of all workers. Reads the columns directly, as this is most of the work of a report. */
  addAll(figures: FigureColumns): void {
    if (figures.capacity > this.capacity) this.grow(figures.capacity);
    const { paceSums, weights, firstTimes } = this;
    for (let worker = 0; worker < figures.capacity; worker += 1) {
      const weight = figures.weights[worker] ?? 0;
      if (weight === 0) continue;
      paceSums[worker] = (paceSums[worker] ?? 0) + (figures.paceSums[worker] ?? 0);
      weights[worker] = (weights[worker] ?? 0) + weight;
      firstTimes[worker] = Math.min(firstTimes[worker] ?? Infinity, figures.firstTimes[worker] ?? Infinity);
    }
  }

  /** Multiplies all weights. */
  scale(factor: number): void {
    for (let worker = 0; worker < this.capacity; worker += 1) {
      this.paceSums[worker] = this.paceSumOf(worker) * factor;
      this.weights[worker] = this.weightOf(worker) * factor;
    }
  }

  private grow(capacity: number): void {
    const { paceSums, weights, firstTimes } = new FigureColumns(capacity);
    paceSums.set(this.paceSums);
    weights.set(this.weights);
    firstTimes.set(this.firstTimes);
    Object.assign(this, { paceSums, weights, firstTimes });
  }
}
