/** Results that are awaited, by key. */

/** Promises of one kind of result. */
export class PendingResults<Result> {
  private readonly byKey = new Map<string, Set<Promise<Result>>>();

  /** Adds a result that concerns several keys until it is known. Returns a promise of it that resolves once it is removed. */
  add(keys: readonly string[], result: Promise<Result>): Promise<Result> {
    for (const key of keys) {
      const pending = this.byKey.get(key) ?? new Set();
      this.byKey.set(key, pending.add(result));
    }
    return result.then((value) => {
      for (const key of keys) this.remove(key, result);
      return value;
    });
  }

  /** Returns the results of a key that are not known yet. */
  of(key: string): readonly Promise<Result>[] {
    return [...(this.byKey.get(key) ?? [])];
  }

  has(key: string): boolean {
    return this.byKey.has(key);
  }

  private remove(key: string, result: Promise<Result>): void {
    const pending = this.byKey.get(key);
    pending?.delete(result);
    if (pending?.size === 0) this.byKey.delete(key);
  }
}
