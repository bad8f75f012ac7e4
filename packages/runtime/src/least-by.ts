/** Returns the first item with the lowest cost, or undefined when there are no items or all costs are infinite. */
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
