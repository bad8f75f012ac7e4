/** Shares requests of a route over its targets by weight: smooth weighted round robin. */
import type { Random } from '@woodbarrow/runtime';
import type { Route, RouteTarget } from './route.js';

interface SplitState {
  readonly targets: readonly RouteTarget[];
  readonly credits: number[];
}

/** One daemon's split of all routes. */
export class TrafficSplitter {
  private readonly states = new Map<string, SplitState>();

  constructor(private readonly random: Random) {}

  /** The service that the next request of a route goes to. */
  choose(route: Route): string {
    const [first] = route.targets;
    if (first === undefined) throw new Error(`route ${route.name} has no target`);
    if (route.targets.length === 1) return first.service;
    const state = this.stateOf(route);
    const total = state.targets.reduce((sum, target) => sum + target.weight, 0);
    let best = 0;
    state.targets.forEach((target, index) => {
      state.credits[index] = (state.credits[index] ?? 0) + target.weight;
      if ((state.credits[index] ?? 0) > (state.credits[best] ?? 0)) best = index;
    });
    state.credits[best] = (state.credits[best] ?? 0) - total;
    return state.targets[best]?.service ?? first.service;
  }

  /** Forgets routes that no longer exist. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map((route) => route.name));
    for (const name of this.states.keys()) {
      if (!names.has(name)) this.states.delete(name);
    }
  }

  private stateOf(route: Route): SplitState {
    const existing = this.states.get(route.name);
    if (existing !== undefined && sameTargets(existing.targets, route.targets)) return existing;
    // Daemons begin at different points, so that small counts add up to the right shares over all of them.
    const credits = route.targets.map((target) => this.random.between(0, target.weight));
    const state = { targets: route.targets, credits };
    this.states.set(route.name, state);
    return state;
  }
}

function sameTargets(left: readonly RouteTarget[], right: readonly RouteTarget[]): boolean {
  if (left === right) return true;
  return (
    left.length === right.length &&
    left.every((target, index) => {
      const other = right[index];
      return other?.service === target.service && other.weight === target.weight;
    })
  );
}
