/**
 * Specification of the at-most-once ledger: two routers claim the same key while the ledger's leader changes, voters
 * lose their memory and responses are lost. A key runs at most once, and never if the ledger has no record that rules
 * out an earlier run. With takeovers, a claim that was not started may be given to the other router at any time, one that
 * was started may be abandoned at any time, and only one end of the work is ever reported.
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

/** Further guards of claims that can be taken over. */
export const TAKEOVER_DEFECTS = [
  'run-before-claim',
  'minority-write',
  'forgets-taken-on-failure',
  'young-ledger-guesses',
  'claimant-not-checked',
  'run-before-start',
  'start-of-a-lost-claim',
  'takeover-of-a-started-claim',
  'restart-without-record',
  'settled-again',
  'end-without-record',
] as const;

export type ClaimsDefect = (typeof CLAIMS_DEFECTS)[number] | (typeof TAKEOVER_DEFECTS)[number];

/** Bounds of an exhaustive check. */
interface ClaimsBounds {
  /** Whether claims are started before the work begins, so that they can be taken over before and abandoned afterwards. */
  readonly takeovers: boolean;
  readonly leaders: number;
  readonly voterLosses: number;
  readonly epochs: number;
}

export const CLAIMS_BOUNDS: ClaimsBounds = { takeovers: false, leaders: 3, voterLosses: 3, epochs: 2 };
export const TAKEOVER_BOUNDS: ClaimsBounds = { takeovers: true, leaders: 3, voterLosses: 3, epochs: 2 };

/** Bounds and removed guards of an exploration. */
interface ClaimsRules {
  readonly defects: ReadonlySet<ClaimsDefect>;
  readonly bounds: ClaimsBounds;
}

const VOTERS = 3;
const MAJORITY = 2;
const ROUTERS = 2;
const NO_ROUTER = -1;

interface RouterState {
  /** In phases `asked` and `starting` the claim, or its start, may or may not be recorded. */
  readonly phase: 'idle' | 'asked' | 'granted' | 'starting' | 'started' | 'ran' | 'gave_up';
}

/** How the work of a claim ended. */
type ClaimEnd = 'none' | 'finished' | 'abandoned';

/** A claim as a voter or the leader has recorded it. */
interface ClaimRecord {
  /** Router that claimed the key, or -1. */
  readonly claim: number;
  readonly isStarted: boolean;
  readonly end: ClaimEnd;
}

interface VoterState extends ClaimRecord {
  readonly seated: boolean;
  /**
   * Number of the leader that recorded it, or of the write with takeovers, where a leader records more than one claim. The
   * record with the higher number takes precedence.
   */
  readonly version: number;
}

const NO_CLAIM: ClaimRecord = { claim: NO_ROUTER, isStarted: false, end: 'none' };

/** A state of the specification. */
export interface ClaimsState {
  readonly epoch: number;
  /** Number of leaders so far. */
  readonly leaders: number;
  /** Whether there is a leader now. */
  readonly led: boolean;
  /** Claim that the leader holds in memory. */
  readonly taken: ClaimRecord;
  /** Whether the ledger's records reach back to before the key was created. */
  readonly complete: boolean;
  readonly voters: readonly VoterState[];
  readonly routers: readonly RouterState[];
  readonly runs: number;
  /** Ends that were reported. */
  readonly reported: readonly ClaimEnd[];
  readonly voterLosses: number;
}

/** Creates the specification without the guards listed in `defects`. */
export function claimsModel(
  defects: ReadonlySet<ClaimsDefect> = new Set(),
  bounds: ClaimsBounds = CLAIMS_BOUNDS,
): TransitionSystem<ClaimsState> {
  const rules = { defects, bounds };
  return {
    name: bounds.takeovers ? 'claims with takeovers' : 'claims',
    bounds: {
      leaders: bounds.leaders,
      voterLosses: bounds.voterLosses,
      epochs: bounds.epochs,
      voters: VOTERS,
      routers: ROUTERS,
    },
    initial: {
      epoch: 0,
      leaders: 0,
      led: false,
      taken: NO_CLAIM,
      complete: true,
      voters: new Array<VoterState>(VOTERS).fill({ seated: true, ...NO_CLAIM, version: 0 }),
      routers: new Array<RouterState>(ROUTERS).fill({ phase: 'idle' }),
      runs: 0,
      reported: [],
      voterLosses: 0,
    },
    steps: (state) => [
      ...leaderSteps(state, bounds),
      ...routerSteps(state, rules),
      ...claimSteps(state, rules),
      ...startSteps(state, rules),
      ...settleSteps(state, rules),
      ...voterSteps(state, bounds),
    ],
    canonical: (state) =>
      JSON.stringify({
        ...state,
        voters: state.voters
          .map((voter) => JSON.stringify(bounds.takeovers ? withVersionRank(voter, state.voters) : voter))
          .sort(),
      }),
    invariants: [
      { name: 'the key runs at most once', holds: (state) => state.runs <= 1 },
      { name: 'one end is reported', holds: (state) => state.reported.length <= 1 },
    ],
  };
}

function leaderSteps(state: ClaimsState, bounds: ClaimsBounds): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  if (state.led) steps.push({ label: 'the leader fails', next: { ...state, led: false, taken: NO_CLAIM } });
  if (state.led || state.leaders >= bounds.leaders) return steps;
  for (const quorum of quorumsOf(state.voters)) {
    const newest = newestOf(quorum.map((voter) => state.voters[voter] as VoterState));
    steps.push({
      label: `a leader takes over from voters ${quorum.join(',')}`,
      next: { ...state, led: true, leaders: state.leaders + 1, taken: claimOf(newest) },
    });
  }
  return steps;
}

function routerSteps(state: ClaimsState, { defects, bounds }: ClaimsRules): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  for (const [index, router] of state.routers.entries()) {
    const withPhase = (phase: RouterState['phase'], runs = 0): ClaimsState => ({
      ...state,
      runs: state.runs + runs,
      routers: state.routers.map((other, position) => (position === index ? { phase } : other)),
    });
    const mayRun =
      router.phase === 'started' ||
      ((!bounds.takeovers || defects.has('run-before-start')) && router.phase === 'granted') ||
      (defects.has('run-before-claim') && router.phase === 'asked');
    if (router.phase === 'idle')
      steps.push({ label: `router ${String(index)} receives the key`, next: withPhase('asked') });
    if (bounds.takeovers && router.phase === 'granted')
      steps.push({ label: `router ${String(index)} asks to start`, next: withPhase('starting') });
    if (mayRun) steps.push({ label: `router ${String(index)} runs the request`, next: withPhase('ran', 1) });
    if (router.phase !== 'idle' && router.phase !== 'ran' && router.phase !== 'gave_up') {
      steps.push({ label: `router ${String(index)} fails or gives up`, next: withPhase('gave_up') });
    }
  }
  return steps;
}

/** The leader processes the claim of a router; a router without a response repeats its claim. */
function claimSteps(state: ClaimsState, rules: ClaimsRules): Step<ClaimsState>[] {
  const { defects, bounds } = rules;
  const steps: Step<ClaimsState>[] = [];
  const { taken } = state;
  if (!state.led || taken.end !== 'none') return steps;
  for (const [index, router] of state.routers.entries()) {
    if (router.phase !== 'asked') continue;
    const isFree = taken.claim === NO_ROUTER;
    if (isFree && !state.complete && !defects.has('young-ledger-guesses')) continue;
    const isOwn = taken.claim === index || (defects.has('claimant-not-checked') && !isFree);
    const mayTakeOver = bounds.takeovers && (!taken.isStarted || defects.has('takeover-of-a-started-claim'));
    if (!isFree && !isOwn && !mayTakeOver) continue;
    if (taken.claim === index && defects.has('regrant-without-record')) {
      steps.push({
        label: `the claim of router ${String(index)} is granted again`,
        next: { ...state, routers: withRouterPhase(state, index, 'granted') },
      });
    }
    const isStarted = taken.claim === index && taken.isStarted;
    steps.push(...recordClaim(state, { ...NO_CLAIM, claim: index, isStarted }, rules, 'granted'));
  }
  return steps;
}

/** The leader processes the start of a claim; a router without a response repeats it. */
function startSteps(state: ClaimsState, rules: ClaimsRules): Step<ClaimsState>[] {
  const { defects } = rules;
  const steps: Step<ClaimsState>[] = [];
  const { taken } = state;
  if (!state.led || taken.end !== 'none') return steps;
  for (const [index, router] of state.routers.entries()) {
    if (router.phase !== 'starting') continue;
    if (taken.claim !== index && !defects.has('start-of-a-lost-claim')) continue;
    if (taken.claim === index && taken.isStarted && defects.has('restart-without-record')) {
      steps.push({
        label: `the start of router ${String(index)} is confirmed again`,
        next: { ...state, routers: withRouterPhase(state, index, 'started') },
      });
    }
    const started = { ...NO_CLAIM, claim: index, isStarted: true };
    steps.push(...recordClaim(state, started, rules, 'started'));
  }
  return steps;
}

/** The leader records how the work ended: finished by its router, or abandoned by anyone once it was started. */
function settleSteps(state: ClaimsState, rules: ClaimsRules): Step<ClaimsState>[] {
  const { defects, bounds } = rules;
  const { taken } = state;
  if (!bounds.takeovers || !state.led || !taken.isStarted) return [];
  const steps: Step<ClaimsState>[] = [];
  if (taken.end !== 'none' && defects.has('end-without-record'))
    steps.push({ label: `${taken.end} is reported from memory`, next: withReport(state, taken.end) });
  const hasRun = state.routers[taken.claim]?.phase === 'ran';
  const possible: ClaimEnd[] = hasRun ? ['finished', 'abandoned'] : ['abandoned'];
  const ends = taken.end === 'none' || defects.has('settled-again') ? possible : [taken.end];
  for (const end of ends) steps.push(...recordClaim(state, { ...taken, end }, rules));
  return steps;
}

function withReport(state: ClaimsState, end: ClaimEnd): ClaimsState {
  return { ...state, reported: [...new Set([...state.reported, end])].sort() };
}

/** Writes a claim to every possible set of voters; with enough of them, its router enters `phase` or its end is reported. */
function recordClaim(
  state: ClaimsState,
  record: ClaimRecord,
  { defects, bounds }: ClaimsRules,
  phase?: RouterState['phase'],
): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  const newestVersion = Math.max(...state.voters.map((voter) => voter.version));
  const version = bounds.takeovers ? newestVersion + 1 : state.leaders;
  for (const voters of subsets(state.voters)) {
    const written = state.voters.map((voter, index) =>
      voters.includes(index) ? { ...voter, ...record, version } : voter,
    );
    const enough = voters.length >= MAJORITY || defects.has('minority-write');
    const base = { ...state, voters: written };
    const label = `${phase ?? record.end} for router ${String(record.claim)} reaches voters ${voters.join(',') || 'none'}`;
    if (enough) {
      const recorded = { ...base, taken: record };
      const answered =
        phase === undefined
          ? withReport(recorded, record.end)
          : { ...recorded, routers: withRouterPhase(state, record.claim, phase) };
      steps.push({ label, next: answered });
      steps.push({ label: `${label}, and the answer is lost`, next: recorded });
    } else {
      // The write failed, but some voters may have recorded it: the leader keeps the key as claimed.
      const taken = defects.has('forgets-taken-on-failure') ? NO_CLAIM : record;
      steps.push({ label: `${label}, too few`, next: { ...base, taken } });
    }
  }
  return steps;
}

function withRouterPhase(
  state: ClaimsState,
  router: number,
  phase: RouterState['phase'],
): readonly RouterState[] {
  return state.routers.map((other, position) => (position === router ? { phase } : other));
}

function claimOf({ claim, isStarted, end }: VoterState): ClaimRecord {
  return { claim, isStarted, end };
}

/** Replaces a version by its rank, since only the order of the versions matters. */
function withVersionRank(voter: VoterState, voters: readonly VoterState[]): VoterState {
  const older = new Set(voters.map(({ version }) => version).filter((version) => version < voter.version));
  return { ...voter, version: older.size };
}

function voterSteps(state: ClaimsState, bounds: ClaimsBounds): Step<ClaimsState>[] {
  const steps: Step<ClaimsState>[] = [];
  if (state.voterLosses < bounds.voterLosses) {
    for (const [index, voter] of state.voters.entries()) {
      if (!voter.seated) continue;
      const voters = state.voters.map((other, position) =>
        position === index ? { seated: false, ...NO_CLAIM, version: 0 } : other,
      );
      steps.push({
        label: `voter ${String(index)} restarts`,
        next: { ...state, voters, voterLosses: state.voterLosses + 1 },
      });
    }
  }
  const lost = state.voters.some((voter) => !voter.seated);
  if (lost && state.epoch + 1 < bounds.epochs)
    steps.push({ label: 'new voters are named', next: nextEpoch(state) });
  return steps;
}

/** Starts a new epoch; it is incomplete unless a majority of the old voters can be sealed and their records copied. */
function nextEpoch(state: ClaimsState): ClaimsState {
  const seated = state.voters.filter((voter) => voter.seated);
  const sealed = seated.length >= MAJORITY;
  const record = sealed ? newestOf(seated) : { ...NO_CLAIM, version: 0 };
  return {
    ...state,
    epoch: state.epoch + 1,
    led: false,
    taken: NO_CLAIM,
    complete: state.complete && sealed,
    voters: state.voters.map(() => ({ ...record, seated: true })),
  };
}

/** Returns the record of the latest write. */
function newestOf(voters: readonly VoterState[]): VoterState {
  return voters.reduce((newest, voter) => (voter.version > newest.version ? voter : newest));
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
