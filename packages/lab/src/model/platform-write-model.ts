/**
 * Specification of writes to the platform: compare-and-set by two operators, with delayed attempts and lost responses.
 * A change reported as successful is in the history exactly once; one reported as a conflict is not in it.
 */
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be removed; the exploration must find a counterexample without any of them. */
export const PLATFORM_WRITE_DEFECTS = ['blind-retry', 'conflict-without-reading-back', 'no-compare'] as const;

export type PlatformWriteDefect = (typeof PLATFORM_WRITE_DEFECTS)[number];

/** Bounds of the exhaustive checks. */
export const PLATFORM_WRITE_BOUNDS = { attempts: 3 } as const;

const OPERATORS = 2;

interface OperatorState {
  /** `writing` until an outcome is reported; `unsure` after a missing response. */
  readonly phase: 'writing' | 'unsure' | 'success' | 'conflict';
  /** Revision that the write expects. */
  readonly expected: number;
  readonly attempts: number;
}

/** An attempt in flight to the platform. */
interface AttemptState {
  readonly operator: number;
  readonly expected: number;
}

/** A state of the specification. */
export interface PlatformWriteState {
  /** Operators of the accepted writes, oldest first; its length is the current revision. */
  readonly history: readonly number[];
  readonly operators: readonly OperatorState[];
  readonly attempts: readonly AttemptState[];
}

/** Creates the specification without the guards listed in `defects`. */
export function platformWriteModel(
  defects: ReadonlySet<PlatformWriteDefect> = new Set(),
): TransitionSystem<PlatformWriteState> {
  return {
    name: 'platform-write',
    bounds: { ...PLATFORM_WRITE_BOUNDS, operators: OPERATORS },
    initial: {
      history: [],
      operators: new Array<OperatorState>(OPERATORS).fill({ phase: 'writing', expected: 0, attempts: 0 }),
      attempts: [],
    },
    steps: (state) => [
      ...state.operators.flatMap((_, index) => operatorSteps(state, index, defects)),
      ...state.attempts.flatMap((_, index) => arrivalSteps(state, index, defects)),
    ],
    canonical: (state) =>
      JSON.stringify({ ...state, attempts: state.attempts.map((attempt) => JSON.stringify(attempt)).sort() }),
    invariants: [
      { name: 'no change is applied twice', holds: (state) => countsOf(state).every((count) => count <= 1) },
      {
        name: 'success means applied',
        holds: (state) =>
          state.operators.every(({ phase }, index) => phase !== 'success' || countsOf(state)[index] === 1),
      },
      {
        name: 'conflict means not applied',
        holds: (state) =>
          state.operators.every(({ phase }, index) => phase !== 'conflict' || countsOf(state)[index] === 0),
      },
      {
        name: 'of two changes to one revision, one loses',
        holds: (state) => state.operators.filter(({ phase }) => phase === 'success').length <= 1,
      },
    ],
  };
}

function operatorSteps(
  state: PlatformWriteState,
  index: number,
  defects: ReadonlySet<PlatformWriteDefect>,
): Step<PlatformWriteState>[] {
  const operator = state.operators[index] as OperatorState;
  const name = `operator ${String(index)}`;
  const canSend = operator.attempts < PLATFORM_WRITE_BOUNDS.attempts;
  const send = (expected: number): PlatformWriteState => ({
    ...withOperator(state, index, {
      ...operator,
      phase: 'writing',
      expected,
      attempts: operator.attempts + 1,
    }),
    attempts: [...state.attempts, { operator: index, expected }],
  });
  if (operator.phase === 'writing' && operator.attempts === 0) {
    return [{ label: `${name} sends its write`, next: send(operator.expected) }];
  }
  if (operator.phase === 'writing') {
    return [
      {
        label: `${name} hears nothing in time`,
        next: withOperator(state, index, { ...operator, phase: 'unsure' }),
      },
    ];
  }
  if (operator.phase !== 'unsure') return [];
  if (defects.has('blind-retry')) {
    return canSend
      ? [{ label: `${name} sends again against the newest revision`, next: send(state.history.length) }]
      : [];
  }
  if (state.history.includes(index)) {
    return [
      {
        label: `${name} reads its change back`,
        next: withOperator(state, index, { ...operator, phase: 'success' }),
      },
    ];
  }
  if (state.history.length !== operator.expected) {
    return [
      {
        label: `${name} reads another's change`,
        next: withOperator(state, index, { ...operator, phase: 'conflict' }),
      },
    ];
  }
  return canSend
    ? [{ label: `${name} sends again against the same revision`, next: send(operator.expected) }]
    : [];
}

/** Steps in which an attempt is lost, or arrives and its response is lost or received. */
function arrivalSteps(
  state: PlatformWriteState,
  position: number,
  defects: ReadonlySet<PlatformWriteDefect>,
): Step<PlatformWriteState>[] {
  const attempt = state.attempts[position] as AttemptState;
  const operator = state.operators[attempt.operator] as OperatorState;
  const attempts = state.attempts.filter((_, other) => other !== position);
  const name = `the write of operator ${String(attempt.operator)}`;
  const accepted = defects.has('no-compare') || attempt.expected === state.history.length;
  const history = accepted ? [...state.history, attempt.operator] : state.history;
  const base: PlatformWriteState = { ...state, attempts, history };
  const steps: Step<PlatformWriteState>[] = [
    { label: `${name} is lost`, next: { ...state, attempts } },
    { label: `${name} is ${accepted ? 'accepted' : 'refused'} and the answer is lost`, next: base },
  ];
  if (operator.phase !== 'writing') return steps;
  const firstTry = operator.attempts === 1 || defects.has('conflict-without-reading-back');
  // After an unanswered attempt, that attempt itself may cause the conflict, so the object is read back first.
  const refusedPhase = firstTry ? 'conflict' : 'unsure';
  const phase = accepted ? 'success' : refusedPhase;
  steps.push({
    label: `${name} is ${accepted ? 'accepted' : 'refused'}`,
    next: withOperator(base, attempt.operator, { ...operator, phase }),
  });
  return steps;
}

function withOperator(state: PlatformWriteState, index: number, operator: OperatorState): PlatformWriteState {
  return {
    ...state,
    operators: state.operators.map((other, position) => (position === index ? operator : other)),
  };
}

function countsOf(state: PlatformWriteState): number[] {
  return state.operators.map((_, index) => state.history.filter((writer) => writer === index).length);
}
