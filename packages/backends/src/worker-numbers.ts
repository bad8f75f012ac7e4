/** Small numbers for worker ids, as positions in columns. */

/** Assigns numbers to ids and reuses those of released ones. */
export class WorkerNumbers {
  private readonly numbers = new Map<string, number>();
  private readonly released: number[] = [];

  get size(): number {
    return this.numbers.size;
  }

  /** Ids with their numbers. */
  entries(): IterableIterator<[id: string, worker: number]> {
    return this.numbers.entries();
  }

  numberOf(id: string): number | undefined {
    return this.numbers.get(id);
  }

  /** Returns the number of an id, which is assigned if it has none. */
  assign(id: string): number {
    let worker = this.numbers.get(id);
    if (worker === undefined) {
      worker = this.released.pop() ?? this.numbers.size;
      this.numbers.set(id, worker);
    }
    return worker;
  }

  release(id: string): void {
    const worker = this.numbers.get(id);
    if (worker === undefined) return;
    this.numbers.delete(id);
    this.released.push(worker);
  }
}
