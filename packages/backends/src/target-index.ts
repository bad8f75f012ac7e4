/**
 * Index of the back ends that may hold a target. Without it, each request for a rarely used model checks
 * every back end: with 98 workers, 98 checks for the one or two that hold the model.
 */
export class TargetIndex {
  private readonly ids = new Map<string, Set<string>>();

  /** Adds a back end that may hold a target. */
  add(key: string, backEndId: string): void {
    let ids = this.ids.get(key);
    if (ids === undefined) {
      ids = new Set();
      this.ids.set(key, ids);
    }
    ids.add(backEndId);
  }

  /** Removes a back end from a target; safe while iterating over {@link backEndsFor}. */
  remove(key: string, backEndId: string): void {
    const ids = this.ids.get(key);
    if (ids === undefined) return;
    ids.delete(backEndId);
    if (ids.size === 0) this.ids.delete(key);
  }

  /** Returns the ids of the back ends that may hold a target, in the order in which they were added. */
  backEndsFor(key: string): Iterable<string> {
    return this.ids.get(key) ?? NO_BACK_ENDS;
  }
}

const NO_BACK_ENDS: readonly string[] = [];
