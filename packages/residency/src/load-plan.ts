/**
 * Plans the loads of a zone: which of the models that are waited for is loaded next, where, and what makes way. A
 * list schedule: the most urgent group takes the worker that has it ready first, also where that worker must become
 * free before, and the next group plans with what is left.
 */
import type { PlacementCandidate, PlacementChoice } from './placement-choice.js';
import type { DemandGroup } from './pending-demand.js';

/** Chooses a worker for a group among candidates; undefined when none can make room. */
export type ChooseForGroup = (
  group: DemandGroup,
  candidates: readonly PlacementCandidate[],
) => PlacementChoice | undefined;

/** Inputs of {@link planLoads}. */
export interface LoadPlanInputs {
  readonly groups: readonly DemandGroup[];
  /** Workers that may load, with the time until each is free. */
  readonly candidates: readonly PlacementCandidate[];
  readonly choose: ChooseForGroup;
  /** Monotonic time. */
  readonly now: number;
}

/** One load of the plan. */
export interface PlannedLoad {
  readonly group: DemandGroup;
  readonly choice: PlacementChoice;
  /** The worker is free: the load begins now. */
  readonly startsNow: boolean;
}

/** A group of the plan, and the workers as the groups before it leave them. */
interface PlanStep {
  readonly urgency: number;
  readonly candidates: readonly PlacementCandidate[];
}

/**
 * Loads that a plan works out one by one, the most urgent first: a bound on the work of planning. Further groups are taken to
 * occupy the workers evenly, for the mean time of these.
 */
const MAX_PLANNED_LOADS = 48;
/** Time that a load from a disk usually takes, what makes way included, in milliseconds. */
const TYPICAL_LOAD_MS = 1000;
/** Targets that lie further ahead than this hardly count yet, in milliseconds. */
const URGENCY_DECAY_MS = 1500;
/** What an answer is worth that comes too late for its target, as a part of one in time. */
const LATE_DEMAND_WEIGHT = 0.2;

/** Loads of a zone in the order of urgency, and where one more group would come in. */
export class LoadPlan {
  /**
   * @param loads Groups for which no worker can make room are left out and take nothing of the bound.
   * @param steps By falling urgency.
   * @param unplannedUrgencies Urgencies of the groups beyond the bound, falling.
   */
  constructor(
    readonly loads: readonly PlannedLoad[],
    private readonly steps: readonly PlanStep[],
    private readonly finalCandidates: readonly PlacementCandidate[],
    private readonly unplannedUrgencies: readonly number[],
  ) {}

  /** Workers as a group of some urgency finds them: occupied by the loads of the groups before it. */
  candidatesFor(urgency: number): readonly PlacementCandidate[] {
    const step = this.steps.find((candidate) => candidate.urgency < urgency);
    if (step !== undefined) return step.candidates;
    const before = this.unplannedUrgencies.filter((passed) => passed >= urgency).length;
    return before === 0 ? this.finalCandidates : occupyEvenly(before, this.loads, this.finalCandidates);
  }
}

/** Plans the loads of groups that wait. */
export function planLoads({ groups, candidates: initialCandidates, choose, now }: LoadPlanInputs): LoadPlan {
  let candidates = initialCandidates;
  const loads: PlannedLoad[] = [];
  const steps: PlanStep[] = [];
  const unplannedUrgencies: number[] = [];
  for (const { group, urgency } of rankByUrgency(groups, now)) {
    if (loads.length >= MAX_PLANNED_LOADS) {
      unplannedUrgencies.push(urgency);
      continue;
    }
    steps.push({ urgency, candidates });
    const choice = choose(group, candidates);
    if (choice === undefined) continue;
    loads.push({ group, choice, startsNow: choice.candidate.busyMs <= 0 && choice.notBeforeMs <= 0 });
    // A load that waits for the weight store leaves its worker to others meanwhile.
    if (choice.storeWaitMs > 0) continue;
    const { id } = choice.candidate.backEnd;
    candidates = candidates.map((candidate) =>
      candidate.backEnd.id === id ? { ...candidate, busyMs: choice.readyMs } : candidate,
    );
  }
  return new LoadPlan(loads, steps, candidates, unplannedUrgencies);
}

/** Candidates as they are once they have taken a number of loads more, each of the mean time of those planned. */
function occupyEvenly(
  count: number,
  planned: readonly PlannedLoad[],
  candidates: readonly PlacementCandidate[],
): readonly PlacementCandidate[] {
  const totalMs = planned.reduce((sum, { choice }) => sum + choice.unloadMs + choice.loadMs, 0);
  const addedMs = (count * totalMs) / planned.length / Math.max(1, candidates.length);
  return candidates.map((candidate) => ({ ...candidate, busyMs: candidate.busyMs + addedMs }));
}

/** Time that word of a model which makes way takes to all daemons, in milliseconds: two reports of relays. */
const RETIREMENT_PROPAGATION_MS = 500;

/**
 * Models that make way for the load that is planned next on each occupied worker, by worker. Left out are workers that
 * are not free by the time at which the runs of these models should have ended, and models that are still needed when
 * the worker is free.
 */
export function victimsToRetire(plan: readonly PlannedLoad[]): ReadonlyMap<string, readonly string[]> {
  const victims = new Map<string, readonly string[]>();
  for (const { choice, startsNow } of plan) {
    const { backEnd, busyMs } = choice.candidate;
    if (victims.has(backEnd.id)) continue;
    const isSoon = !startsNow && busyMs > 0 && busyMs <= choice.unloadMs + RETIREMENT_PROPAGATION_MS;
    victims.set(backEnd.id, isSoon && choice.notBeforeMs <= busyMs ? choice.victims : []);
  }
  return victims;
}

/** Groups by urgency, the most urgent first. */
export function sortByUrgency(groups: readonly DemandGroup[], now: number): DemandGroup[] {
  return rankByUrgency(groups, now).map(({ group }) => group);
}

function rankByUrgency(
  groups: readonly DemandGroup[],
  now: number,
): { readonly group: DemandGroup; readonly urgency: number }[] {
  return groups
    .map((group) => ({ group, urgency: urgencyOf(group, now) }))
    .sort((left, right) => right.urgency - left.urgency);
}

/**
 * What is lost when a group waits for one more load, summed over its demands: the rule of apparent tardiness cost. A
 * demand counts the more the less time it has to its target; one that has missed it counts little, until its time
 * runs out.
 */
export function urgencyOf({ demands }: Pick<DemandGroup, 'demands'>, now: number): number {
  let urgency = 0;
  for (const { targetAt, deadline } of demands) {
    const slackMs = targetAt - now - TYPICAL_LOAD_MS;
    urgency +=
      slackMs >= 0
        ? proximity(slackMs)
        : LATE_DEMAND_WEIGHT * (1 + proximity(deadline - now - TYPICAL_LOAD_MS));
  }
  return urgency;
}

/** From 0 for a moment far away to 1 for one that has come. */
function proximity(remainingMs: number): number {
  return Math.exp(-Math.max(0, remainingMs) / URGENCY_DECAY_MS);
}
