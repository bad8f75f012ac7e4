/**
 * Specification of the at-most-once ledger: two routers claim the same key while the ledger's leader changes, voters
 * lose their memory and responses are lost. A key runs at most once, and never if the ledger has no record that
 * rules out an earlier run.
 */
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be removed; the exploration must find a counterexample without any of them. */
export const CLAIMS_DEFECTS = [
  'run-before-claim',
  'minority-write',
  'forgets-taken-on-failure',
  'young-ledger-guesses',
  'claimant-not-checked',
  'regrant-without-record',
] as const;

export type ClaimsDefect = (typeof CLAIMS_DEFECTS)[number];

/** Bounds of the exhaustive checks. */
export const CLAIMS_BOUNDS = { leaders: 3, voterLosses: 3, epochs: 2 } as const;

const VOTERS = 3;
const MAJORITY = 2;
const ROUTERS = 2;
const NO_ROUTER = -1;

interface RouterState {
  /** In phase `asked` the claim may or may not be recorded. */
  readonly phase: 'idle' | 'asked' | 'granted' | 'ran' | 'gave_up';
}

interface VoterState {
  readonly seated: boolean;
  /** Router whose claim this voter has recorded, or -1. */
  readonly claim: number;
  /** Number of the leader that recorded it; the record of the later leader takes precedence. */
  readonly term: number;
}

/** A state of the specification. */
export interface ClaimsState {
  readonly epoch: number;
  /** Number of leaders so far. */
  readonly leaders: number;
  /** Whether there is a leader now. */
  readonly led: boolean;
  /** Router whose claim the leader holds in memory, or -1. */
  readonly taken: number;
  /** Whether the ledger's records reach back to before the key was created. */
  readonly complete: boolean;
  readonly voters: readonly VoterState[];
  readonly routers: readonly RouterState[];
  readonly runs: number;
  readonly voterLosses: number;
}

/** Creates the specification without the guards listed in `defects`. */
export function claimsModel(defects: ReadonlySet<ClaimsDefect> = new Set()): TransitionSystem<ClaimsState> {
  return {
    name: 'claims',
    bounds: { ...CLAIMS_BOUNDS, voters: VOTERS, routers: ROUTERS },
    initial: {
      epoch: 0,
      leaders: 0,
      led: false,
      taken: NO_ROUTER,
      complete: true,
      voters: new Array<VoterState>(VOTERS).fill({ seated: true, claim: NO_ROUTER, term: 0 }),
      routers: new Array<RouterState>(ROUTERS).fill({ phase: 'idle' }),
      runs: 0,
      voterLosses: 0,
    },
    steps: (state) => [
      ...leaderSteps(state),
      ...routerSteps(state, defects),
      ...claimSteps(state, defects),
      ...voterSteps(state),
    ],
    canonical: (state) =>
      JSON.stringify({ ...state, voters: state.voters.map((voter) => JSON.stringify(voter)).sort() }),
    invariants: [{ name: 'the key runs at most once', holds: (state) => state.runs <= 1 }],
  };
}

function leaderSteps(state: ClaimsState): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  if (state.led) steps.push({ label: 'the leader fails', next: { ...state, led: false, taken: NO_ROUTER } });
  if (state.led || state.leaders >= CLAIMS_BOUNDS.leaders) return steps;
  for (const quorum of quorumsOf(state.voters)) {
    const newest = newestOf(quorum.map((voter) => state.voters[voter] as VoterState));
    steps.push({
      label: `a leader takes over from voters ${quorum.join(',')}`,
      next: { ...state, led: true, leaders: state.leaders + 1, taken: newest.claim },
    });
  }
  return steps;
}

function routerSteps(state: ClaimsState, defects: ReadonlySet<ClaimsDefect>): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  for (const [index, router] of state.routers.entries()) {
    const withPhase = (phase: RouterState['phase'], runs = 0): ClaimsState => ({
      ...state,
      runs: state.runs + runs,
      routers: state.routers.map((other, position) => (position === index ? { phase } : other)),
    });
    const mayRun =
      router.phase === 'granted' || (defects.has('run-before-claim') && router.phase === 'asked');
    if (router.phase === 'idle')
      steps.push({ label: `router ${String(index)} receives the key`, next: withPhase('asked') });
    if (mayRun) steps.push({ label: `router ${String(index)} runs the request`, next: withPhase('ran', 1) });
    if (router.phase === 'asked' || router.phase === 'granted') {
      steps.push({ label: `router ${String(index)} fails or gives up`, next: withPhase('gave_up') });
    }
  }
  return steps;
}

/** The leader processes the claim of a router; a router without a response repeats its claim. */
function claimSteps(state: ClaimsState, defects: ReadonlySet<ClaimsDefect>): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  if (!state.led) return steps;
  for (const [index, router] of state.routers.entries()) {
    if (router.phase !== 'asked') continue;
    const isOwn = state.taken === index || (defects.has('claimant-not-checked') && state.taken !== NO_ROUTER);
    if (state.taken !== NO_ROUTER && !isOwn) continue;
    if (state.taken === NO_ROUTER && !state.complete && !defects.has('young-ledger-guesses')) continue;
    if (state.taken === index && defects.has('regrant-without-record')) {
      const routers = state.routers.map((other, position) =>
        position === index ? { phase: 'granted' as const } : other,
      );
      steps.push({
        label: `the claim of router ${String(index)} is granted again`,
        next: { ...state, routers },
      });
    }
    steps.push(...recordClaim(state, index, defects));
  }
  return steps;
}

function recordClaim(
  state: ClaimsState,
  router: number,
  defects: ReadonlySet<ClaimsDefect>,
): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  const granted = state.routers.map((other, position) =>
    position === router ? { phase: 'granted' as const } : other,
  );
  for (const voters of subsets(state.voters)) {
    const written = state.voters.map((voter, index) =>
      voters.includes(index) ? { ...voter, claim: router, term: state.leaders } : voter,
    );
    const enough = voters.length >= MAJORITY || defects.has('minority-write');
    const base = { ...state, voters: written };
    const label = `the claim of router ${String(router)} reaches voters ${voters.join(',') || 'none'}`;
    if (enough) {
      steps.push({ label, next: { ...base, taken: router, routers: granted } });
      steps.push({ label: `${label}, and the answer is lost`, next: { ...base, taken: router } });
    } else {
      // The write failed, but some voters may have recorded it: the leader keeps the key as claimed.
      const taken = defects.has('forgets-taken-on-failure') ? NO_ROUTER : router;
      steps.push({ label: `${label}, too few`, next: { ...base, taken } });
    }
  }
  return steps;
}

function voterSteps(state: ClaimsState): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  if (state.voterLosses < CLAIMS_BOUNDS.voterLosses) {
    for (const [index, voter] of state.voters.entries()) {
      if (!voter.seated) continue;
      const voters = state.voters.map((other, position) =>
        position === index ? { seated: false, claim: NO_ROUTER, term: 0 } : other,
      );
      steps.push({
        label: `voter ${String(index)} restarts`,
        next: { ...state, voters, voterLosses: state.voterLosses + 1 },
      });
    }
  }
  const lost = state.voters.some((voter) => !voter.seated);
  if (lost && state.epoch + 1 < CLAIMS_BOUNDS.epochs)
    steps.push({ label: 'new voters are named', next: nextEpoch(state) });
  return steps;
}

/** Starts a new epoch; it is incomplete unless a majority of the old voters can be sealed and their records copied. */
function nextEpoch(state: ClaimsState): ClaimsState {
  const seated = state.voters.filter((voter) => voter.seated);
  const sealed = seated.length >= MAJORITY;
  const { claim, term } = sealed ? newestOf(seated) : { claim: NO_ROUTER, term: 0 };
  return {
    ...state,
    epoch: state.epoch + 1,
    led: false,
    taken: NO_ROUTER,
    complete: state.complete && sealed,
    voters: state.voters.map(() => ({ seated: true, claim, term })),
  };
}

/** Returns the record of the latest leader. */
function newestOf(voters: readonly VoterState[]): VoterState {
  return voters.reduce((newest, voter) => (voter.term > newest.term ? voter : newest));
}

function quorumsOf(voters: readonly VoterState[]): number[][] {
  return subsets(voters).filter((subset) => subset.length === MAJORITY);
}

/** Returns all subsets of the voters that have kept their memory, as lists of indexes. */
function subsets(voters: readonly VoterState[]): number[][] {
  const seated = voters.flatMap((voter, index) => (voter.seated ? [index] : []));
  return Array.from({ length: 2 ** seated.length }, (_, mask) =>
    seated.filter((__, bit) => (mask >> bit) % 2 === 1),
  );
}
