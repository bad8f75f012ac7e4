/**
 * Specification of a lease that is stored as one record of a linearizable store: writes may be applied late or stay
 * unanswered, processes may restart, and the store may be restored to any earlier state. Time passes in ticks.
 * Two machines never act within `PAUSE_TICKS` of each other, and fences only rise.
 */
import type { Step, TransitionSystem } from './transition-system.js';

/** Guards that can be removed; the exploration must find a counterexample without any of them. */
export const LEASE_DEFECTS = [
  'confirm-by-reading',
  'confirm-at-answer',
  'no-wait-for-lifetime',
  'no-pause-before-end',
  'no-pause-after-release',
  'no-compare',
  'unchanged-renewal',
] as const;

/** Guards that matter only if the store can be restored. */
export const RESTORED_LEASE_DEFECTS = [
  'leftover-as-current',
  'fence-from-copy',
  'confirm-in-another-era',
  'go-on-after-lifetime',
] as const;

export type LeaseDefect = (typeof LEASE_DEFECTS | typeof RESTORED_LEASE_DEFECTS)[number];

/** Bounds of one exploration. */
export interface LeaseBounds {
  readonly maximumFence: number;
  readonly revisions: number;
  readonly restarts: number;
  /** Maximum number of restorations of the store to an earlier state. */
  readonly restorations: number;
}

/** Bounds of the exhaustive checks. */
export const LEASE_BOUNDS: readonly LeaseBounds[] = [
  { maximumFence: 2, revisions: 4, restarts: 0, restorations: 0 },
  { maximumFence: 2, revisions: 3, restarts: 1, restorations: 0 },
];

/** Bounds of the exhaustive checks with restorations of the store. */
export const RESTORED_LEASE_BOUNDS: readonly LeaseBounds[] = [
  { maximumFence: 2, revisions: 2, restarts: 0, restorations: 1 },
  { maximumFence: 1, revisions: 2, restarts: 1, restorations: 1 },
];

/** Bounds under which {@link RESTORED_LEASE_DEFECTS} are detected; the last bounds are not explored exhaustively. */
export const RESTORED_LEASE_DEFECT_BOUNDS: readonly LeaseBounds[] = [
  { maximumFence: 1, revisions: 2, restarts: 0, restorations: 1 },
  { maximumFence: 2, revisions: 3, restarts: 0, restorations: 1 },
];

const LIFETIME_TICKS = 3;
const PAUSE_TICKS = 2;
const MAX_WRITES_IN_FLIGHT = 1;
const MACHINES = [0, 1] as const;
const NO_MACHINE = -1;
/** Number of fences in one era; exceeds every `maximumFence`. */
const FENCES_PER_ERA = 10;
/** Cap on ages, which keeps the state space finite; no guard distinguishes larger ages. */
const MAX_AGE_TICKS = LIFETIME_TICKS + 1;

interface LeaseRecordState {
  readonly holder: number;
  readonly fence: number;
  readonly revision: number;
  /** Era observed by the writer when it sent the write. */
  readonly era: number;
}

interface MachineState {
  /** Whether the machine considers itself the holder. */
  readonly holds: boolean;
  readonly fence: number;
  /** Revision of its record, and the era in which it was observed. */
  readonly revision: number;
  readonly era: number;
  /** Ticks since the last confirmed write was sent. */
  readonly confirmedAge: number;
  /** Ticks before it may act. */
  readonly actsIn: number;
  /** Revision and era last observed of another machine's lease, and ticks for which both are unchanged. */
  readonly seenRevision: number;
  readonly seenEra: number;
  readonly seenAge: number;
}

/** A write that is in flight or not yet answered. */
interface WriteState {
  readonly machine: number;
  readonly expected: number;
  readonly holder: number;
  readonly fence: number;
  /** Ticks since it was sent. */
  readonly age: number;
  /** Revision that it created, or 0 until it is applied. */
  readonly made: number;
  /** Era observed by the writer when it was sent, and era in which it was applied. */
  readonly era: number;
  readonly madeInEra: number;
  /** Ticks before the writer may act once it is the holder. */
  readonly actsIn: number;
}

/** A state of the specification. */
export interface LeaseState {
  readonly record: LeaseRecordState;
  /** Earlier records, oldest first; the store may be restored to any of them. */
  readonly past: readonly LeaseRecordState[];
  readonly era: number;
  readonly restorationsLeft: number;
  readonly machines: readonly MachineState[];
  readonly writes: readonly WriteState[];
  readonly lastActor: number;
  /** Ticks since any machine last acted as holder. */
  readonly lastActAge: number;
  readonly highestActedFence: number;
  readonly restartsLeft: number;
  readonly broken: string;
}

const IDLE: MachineState = {
  holds: false,
  fence: 0,
  revision: 0,
  era: 0,
  confirmedAge: MAX_AGE_TICKS,
  actsIn: 0,
  seenRevision: 0,
  seenEra: 0,
  seenAge: 0,
};

/** Creates the specification without the guards listed in `defects`. */
export function leaseModel(
  bounds: LeaseBounds,
  defects: ReadonlySet<LeaseDefect> = new Set(),
): TransitionSystem<LeaseState> {
  return {
    name: 'lease',
    bounds: {
      ...bounds,
      lifetime: LIFETIME_TICKS,
      pause: PAUSE_TICKS,
      writesUnderWay: MAX_WRITES_IN_FLIGHT,
      machines: MACHINES.length,
    },
    initial: {
      record: { holder: NO_MACHINE, fence: 0, revision: 1, era: 0 },
      past: [],
      era: 0,
      restorationsLeft: bounds.restorations,
      machines: [IDLE, IDLE],
      writes: [],
      lastActor: NO_MACHINE,
      lastActAge: MAX_AGE_TICKS,
      highestActedFence: 0,
      restartsLeft: bounds.restarts,
      broken: '',
    },
    steps: (state) => {
      if (state.broken !== '' || state.record.revision > bounds.revisions) return [];
      return [
        tickStep(state),
        ...restorations(state),
        ...MACHINES.flatMap((machine) => machineSteps(state, machine, bounds, defects)),
        ...state.writes.flatMap((_, index) => writeSteps(state, index, defects)),
      ];
    },
    canonical: (state) => JSON.stringify({ ...state, machines: state.machines.map(relevantState) }),
    invariants: [
      { name: 'two machines never act within the pause', holds: (state) => state.broken !== 'pause' },
      { name: 'fences only rise', holds: (state) => state.broken !== 'fence' },
    ],
  };
}

/** Returns the part of a machine state that affects later transitions; the rest is reset. */
function relevantState(machine: MachineState): MachineState {
  if (machine.holds) return { ...machine, seenRevision: 0, seenEra: 0, seenAge: 0 };
  const { seenRevision, seenEra, seenAge } = machine;
  return { ...IDLE, seenRevision, seenEra, seenAge };
}

/** Restores the store to an earlier record. Writes in flight still apply if the restored revision matches. */
function restorations(state: LeaseState): Step<LeaseState>[] {
  if (state.restorationsLeft === 0) return [];
  return [...state.past, state.record].map((record, index) => ({
    label: `the store is restored to revision ${String(record.revision)}`,
    next: {
      ...state,
      record,
      past: state.restorationsLeft > 1 ? state.past.slice(0, index) : [],
      era: state.era + 1,
      restorationsLeft: state.restorationsLeft - 1,
    },
  }));
}

function isStaleRecord({ record, era }: LeaseState, defects: ReadonlySet<LeaseDefect>): boolean {
  return record.era < era && !defects.has('leftover-as-current');
}

function nextFence({ record, era }: LeaseState, defects: ReadonlySet<LeaseDefect>): number {
  if (defects.has('fence-from-copy')) return record.fence + 1;
  return Math.max(record.fence, era * FENCES_PER_ERA) + 1;
}

function tickStep(state: LeaseState): Step<LeaseState> {
  const incrementAge = (age: number): number => Math.min(MAX_AGE_TICKS, age + 1);
  return {
    label: 'time passes',
    next: {
      ...state,
      machines: state.machines.map((machine) => ({
        ...machine,
        confirmedAge: incrementAge(machine.confirmedAge),
        actsIn: Math.max(0, machine.actsIn - 1),
        seenAge: incrementAge(machine.seenAge),
      })),
      writes: state.writes.map((write) => ({ ...write, age: incrementAge(write.age) })),
      lastActAge: incrementAge(state.lastActAge),
    },
  };
}

function machineSteps(
  state: LeaseState,
  index: number,
  bounds: LeaseBounds,
  defects: ReadonlySet<LeaseDefect>,
): Step<LeaseState>[] {
  const machine = state.machines[index] as MachineState;
  const steps: Step<LeaseState>[] = [];
  if (state.restartsLeft > 0) {
    const writes = state.writes.filter((write) => write.machine !== index || write.made === 0);
    const next = { ...withMachine(state, index, IDLE), writes, restartsLeft: state.restartsLeft - 1 };
    steps.push({ label: `${String(index)} is started again`, next });
  }
  const end = LIFETIME_TICKS - (defects.has('no-pause-before-end') ? 0 : PAUSE_TICKS);
  if (machine.holds && machine.actsIn === 0 && machine.confirmedAge < end) steps.push(actStep(state, index));
  if (!machine.holds) steps.push(...candidateSteps(state, index, bounds, defects));
  else steps.push(...holderSteps(state, index, bounds, defects));
  return steps;
}

/** Reads the record and requests the lease if it is free or has expired. */
function candidateSteps(
  state: LeaseState,
  index: number,
  bounds: LeaseBounds,
  defects: ReadonlySet<LeaseDefect>,
): Step<LeaseState>[] {
  const machine = state.machines[index] as MachineState;
  const { record, era } = state;
  const isFree = !isStaleRecord(state, defects) && (record.holder === NO_MACHINE || record.holder === index);
  const unchanged = machine.seenRevision === record.revision && machine.seenEra === era;
  const waited = unchanged && machine.seenAge >= LIFETIME_TICKS;
  if (isFree || waited || defects.has('no-wait-for-lifetime')) {
    const isReleased = record.holder === NO_MACHINE && record.fence > 0 && !isStaleRecord(state, defects);
    const pause = isReleased && !defects.has('no-pause-after-release') ? PAUSE_TICKS + 1 : 0;
    return send(
      state,
      index,
      bounds,
      { holder: index, fence: nextFence(state, defects), actsIn: pause },
      'asks for the lease',
    );
  }
  if (unchanged) return [];
  const seen = { ...machine, seenRevision: record.revision, seenEra: era, seenAge: 0 };
  return [{ label: `${String(index)} sees another's lease`, next: withMachine(state, index, seen) }];
}

/** Renews, releases or reads back the held lease. */
function holderSteps(
  state: LeaseState,
  index: number,
  bounds: LeaseBounds,
  defects: ReadonlySet<LeaseDefect>,
): Step<LeaseState>[] {
  const machine = state.machines[index] as MachineState;
  const { record } = state;
  if (isStaleRecord(state, defects)) return afterRestoration(state, index, bounds, defects);
  const refreshed = { ...machine, revision: record.revision, era: state.era };
  const isOurs = record.holder === index && record.fence === machine.fence;
  const afterReading = !isOurs
    ? { ...machine, holds: false }
    : defects.has('confirm-by-reading')
      ? { ...refreshed, confirmedAge: 0 }
      : refreshed;
  const released = withMachine(state, index, { ...machine, holds: false });
  return [
    { label: `${String(index)} reads its lease back`, next: withMachine(state, index, afterReading) },
    ...send(state, index, bounds, { holder: index, fence: machine.fence, actsIn: machine.actsIn }, 'renews'),
    ...send(
      released,
      index,
      bounds,
      { holder: NO_MACHINE, fence: machine.fence, actsIn: 0 },
      'gives the lease back',
    ),
  ];
}

/** Steps of a holder after a restoration, when the stored record is stale and an earlier renewal may be in flight. */
function afterRestoration(
  state: LeaseState,
  index: number,
  bounds: LeaseBounds,
  defects: ReadonlySet<LeaseDefect>,
): Step<LeaseState>[] {
  const machine = state.machines[index] as MachineState;
  const renewal = { holder: index, fence: machine.fence, actsIn: machine.actsIn };
  const oldEraRenewal = send(state, index, bounds, renewal, 'renews as in the era before');
  if (machine.confirmedAge >= LIFETIME_TICKS - PAUSE_TICKS && !defects.has('go-on-after-lifetime'))
    return [
      ...oldEraRenewal,
      {
        label: `${String(index)} has run out in the era before`,
        next: withMachine(state, index, { ...machine, holds: false }),
      },
    ];
  const updated = { ...machine, revision: state.record.revision, era: state.era };
  return [
    ...oldEraRenewal,
    ...send(withMachine(state, index, updated), index, bounds, renewal, 'writes its lease anew'),
  ];
}

function send(
  state: LeaseState,
  machine: number,
  bounds: LeaseBounds,
  write: Pick<WriteState, 'holder' | 'fence' | 'actsIn'>,
  label: string,
): Step<LeaseState>[] {
  const isBusy = state.writes.filter((other) => other.machine === machine).length >= MAX_WRITES_IN_FLIGHT;
  if (isBusy || write.fence % FENCES_PER_ERA > bounds.maximumFence) return [];
  const writer = state.machines[machine] as MachineState;
  const { revision: expected, era } = writer.holds
    ? writer
    : { revision: state.record.revision, era: state.era };
  const sent: WriteState = { ...write, machine, expected, era, madeInEra: 0, age: 0, made: 0 };
  return [{ label: `${String(machine)} ${label}`, next: { ...state, writes: [...state.writes, sent] } }];
}

/** Applies a write at any time; its response arrives later or is lost. */
function writeSteps(state: LeaseState, index: number, defects: ReadonlySet<LeaseDefect>): Step<LeaseState>[] {
  const write = state.writes[index] as WriteState;
  const name = `the write of ${String(write.machine)}`;
  const withoutWrite = { ...state, writes: state.writes.filter((_, other) => other !== index) };
  if (write.made > 0) {
    const lost = { label: `the answer to ${name} is lost`, next: withoutWrite };
    const confirms = write.madeInEra === write.era || defects.has('confirm-in-another-era');
    return write.holder === NO_MACHINE || !confirms
      ? [lost]
      : [lost, answerStep(withoutWrite, write, defects)];
  }
  const applies = write.expected === state.record.revision || defects.has('no-compare');
  if (!applies) return [{ label: `${name} meets another revision`, next: withoutWrite }];
  // The store assigns no new revision to a write that changes nothing, so a renewal must change the record.
  const isRenewal = write.holder === state.record.holder && write.fence === state.record.fence;
  const isUnchanged = isRenewal && defects.has('unchanged-renewal');
  const made = state.record.revision + (isUnchanged ? 0 : 1);
  const record = { holder: write.holder, fence: write.fence, revision: made, era: write.era };
  const carriedOut = { ...write, made, madeInEra: state.era };
  const writes = state.writes.map((other, at) => (at === index ? carriedOut : other));
  const past = state.restorationsLeft > 0 ? [...state.past, state.record] : [];
  return [{ label: `${name} is carried out`, next: { ...state, record, past, writes } }];
}

function answerStep(
  state: LeaseState,
  write: WriteState,
  defects: ReadonlySet<LeaseDefect>,
): Step<LeaseState> {
  const holder: MachineState = {
    ...(state.machines[write.machine] as MachineState),
    holds: true,
    fence: write.fence,
    revision: write.made,
    era: write.madeInEra,
    confirmedAge: defects.has('confirm-at-answer') ? 0 : write.age,
    actsIn: Math.max(0, write.actsIn - write.age),
  };
  return {
    label: `the write of ${String(write.machine)} is answered`,
    next: withMachine(state, write.machine, holder),
  };
}

function actStep(state: LeaseState, index: number): Step<LeaseState> {
  const machine = state.machines[index] as MachineState;
  const isOther = state.lastActor !== NO_MACHINE && state.lastActor !== index;
  const tooSoon = isOther && state.lastActAge < PAUSE_TICKS;
  const isLower =
    machine.fence < state.highestActedFence || (isOther && machine.fence === state.highestActedFence);
  return {
    label: `${String(index)} acts under fence ${String(machine.fence)}`,
    next: {
      ...state,
      lastActor: index,
      lastActAge: 0,
      highestActedFence: Math.max(state.highestActedFence, machine.fence),
      broken: isLower ? 'fence' : tooSoon ? 'pause' : '',
    },
  };
}

function withMachine(state: LeaseState, index: number, machine: MachineState): LeaseState {
  return { ...state, machines: state.machines.map((other, at) => (at === index ? machine : other)) };
}
