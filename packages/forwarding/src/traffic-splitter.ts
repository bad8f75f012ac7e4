/** Distributes the requests of a route over its targets by smooth weighted round robin. */
import type { Random } from '@woodbarrow/runtime';
import type { Route, RouteTarget } from './route.js';

interface SplitState {
  readonly targets: readonly RouteTarget[];
  readonly credits: number[];
}

/** Weighted round robin state of all routes of one daemon. */
export class TrafficSplitter {
  private readonly states = new Map<string, SplitState>();

  constructor(private readonly random: Random) {}

  /** Returns the service for the next request of a route. @throws Error if the route has no target. */
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

  /** Drops the state of routes that no longer exist. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map((route) => route.name));
    for (const name of this.states.keys()) {
      if (!names.has(name)) this.states.delete(name);
    }
  }

  private stateOf(route: Route): SplitState {
    const existing = this.states.get(route.name);
    if (existing !== undefined && sameTargets(existing.targets, route.targets)) return existing;
    // Random initial credits keep the shares right over all daemons when each serves only a few requests.
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
