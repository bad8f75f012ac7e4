/**
 * Tells a client's first try from one that comes back after a refusal: a client that comes back has less time left
 * than it had at first. What clients grant at first is observed, by route.
 */

/** Largest difference between the waits that first tries grant, in milliseconds. */
const TOLERANCE_MS = 100;

/** Waits that the clients of each route grant. */
export class ClientPatience {
  private readonly longestMs = new Map<string, number>();

  /**
   * Whether a request is a first try, as far as can be told: it grants as long a wait as any before it.
   *
   * @param waitMs What the client says it waits, in milliseconds; one that does not say counts as having come back.
   */
  isFirstTry(route: string, waitMs: number | undefined): boolean {
    if (waitMs === undefined) return false;
    const longest = this.longestMs.get(route) ?? 0;
    if (waitMs > longest) this.longestMs.set(route, waitMs);
    return waitMs >= longest - TOLERANCE_MS;
  }

  /** Forgets routes that are gone. */
  retain(routes: readonly { readonly name: string }[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.longestMs.keys()) {
      if (!names.has(name)) this.longestMs.delete(name);
    }
  }
}
