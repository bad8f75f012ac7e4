/**
 * Which back ends are said to hold a target. Guards against asking each of them for each request: with 98 workers, looking through
 * all took 98 looks for the one or two that hold a rarely used model.
 */
export class TargetIndex {
  private readonly ids = new Map<string, Set<string>>();

  /** A back end is said to hold a target. */
  add(key: string, backEndId: string): void {
    let ids = this.ids.get(key);
    if (ids === undefined) {
      ids = new Set();
      this.ids.set(key, ids);
    }
    ids.add(backEndId);
  }

  /** It is not any more; it may be removed while {@link backEndsFor} is gone through. */
  remove(key: string, backEndId: string): void {
    const ids = this.ids.get(key);
    if (ids === undefined) return;
    ids.delete(backEndId);
    if (ids.size === 0) this.ids.delete(key);
  }

  /** Back ends that are said to hold a target, in the order in which it was first said. */
  backEndsFor(key: string): Iterable<string> {
    return this.ids.get(key) ?? NO_BACK_ENDS;
  }
}

const NO_BACK_ENDS: readonly string[] = [];
