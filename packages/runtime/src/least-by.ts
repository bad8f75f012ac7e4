/** The first of the items with the least cost, or undefined when there is none. */
export function leastBy<T>(items: Iterable<T>, costOf: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = costOf(item);
    if (cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}
