/** Types of a specification: states, transitions between them and invariants. */

/** One transition. */
export interface Step<State> {
  /** Description of the transition in counterexamples. */
  readonly label: string;
  readonly next: State;
}

/** Predicate that must hold in every reachable state. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/** A typed transition system. States are plain JSON values and are never mutated. */
export interface TransitionSystem<State> {
  readonly name: string;
  /** Bounds within which the exploration is exhaustive. */
  readonly bounds: Readonly<Record<string, number>>;
  readonly initial: State;
  readonly steps: (state: State) => Step<State>[];
  readonly invariants: readonly Invariant<State>[];
  /** Returns the same text for states that are equal up to renaming of interchangeable elements. */
  readonly canonical: (state: State) => string;
}
