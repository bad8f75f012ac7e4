/** Exhaustive breadth-first exploration, which finds a shortest counterexample first. */
import type { TransitionSystem } from './transition-system.js';

/** Result of an exploration. */
export interface Exploration {
  readonly model: string;
  readonly bounds: Readonly<Record<string, number>>;
  readonly states: number;
  readonly transitions: number;
  /** Largest distance of a state from the initial state, in transitions. */
  readonly depth: number;
  readonly invariants: readonly string[];
  /** Absent when every invariant holds in every state. */
  readonly counterexample?: Counterexample;
}

/** Transitions from the initial state to one that violates an invariant. */
export interface Counterexample {
  readonly invariant: string;
  readonly steps: readonly string[];
}

interface Visited<State> {
  readonly state: State;
  readonly parent: number;
  readonly label: string;
  readonly depth: number;
}

/** Explores every state within the system's bounds and stops at the first violated invariant. */
export function explore<State>(system: TransitionSystem<State>): Exploration {
  const seen = new Set<string>([system.canonical(system.initial)]);
  const visited: Visited<State>[] = [{ state: system.initial, parent: -1, label: 'start', depth: 0 }];
  let transitions = 0;
  let counterexample: Counterexample | undefined;
  for (let index = 0; index < visited.length && counterexample === undefined; index += 1) {
    const current = visited[index] as Visited<State>;
    const violated = system.invariants.find((invariant) => !invariant.holds(current.state));
    if (violated !== undefined) {
      counterexample = { invariant: violated.name, steps: pathTo(visited, index) };
      break;
    }
    for (const step of system.steps(current.state)) {
      transitions += 1;
      const key = system.canonical(step.next);
      if (seen.has(key)) continue;
      seen.add(key);
      visited.push({ state: step.next, parent: index, label: step.label, depth: current.depth + 1 });
    }
  }
  return {
    model: system.name,
    bounds: system.bounds,
    states: visited.length,
    transitions,
    depth: visited.at(-1)?.depth ?? 0,
    invariants: system.invariants.map((invariant) => invariant.name),
    ...(counterexample === undefined ? {} : { counterexample }),
  };
}

function pathTo<State>(visited: readonly Visited<State>[], end: number): string[] {
  const steps: string[] = [];
  for (let index = end; index > 0;) {
    const entry = visited[index] as Visited<State>;
    steps.unshift(entry.label);
    index = entry.parent;
  }
  return steps;
}
