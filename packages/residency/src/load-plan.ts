/**
 * Plans the loads of a zone by list scheduling: which model is loaded next, on which worker, and which models
 * are evicted. The most urgent group takes the worker that has its model ready first, even if that worker is
 * still occupied; the next group plans with the remaining capacity.
 */
import type { PlacementCandidate, PlacementChoice } from './placement-choice.js';
import type { DemandGroup } from './pending-demand.js';

/** Chooses a worker for a group among candidates; undefined when none has capacity. */
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
  /** Monotonic time, in milliseconds. */
  readonly now: number;
}

/** A planned load. */
export interface PlannedLoad {
  readonly group: DemandGroup;
  readonly choice: PlacementChoice;
  /** Whether the load can start now. */
  readonly startsNow: boolean;
}

/** The urgency of a group and the state of the workers before it is placed. */
interface PlanStep {
  readonly urgency: number;
  readonly candidates: readonly PlacementCandidate[];
}

/**
 * Maximum number of loads that a plan places one by one, which bounds the cost of planning. Further groups
 * are assumed to occupy all workers evenly, for the mean time of the planned loads.
 */
const MAX_PLANNED_LOADS = 48;
/** Typical time of a load from disk, including evictions, in milliseconds. */
const TYPICAL_LOAD_MS = 1000;
/** Time constant with which urgency decays with the distance of the target, in milliseconds. */
const URGENCY_DECAY_MS = 1500;
/** Weight of a demand that has missed its target, relative to one that can still meet it. */
const LATE_DEMAND_WEIGHT = 0.2;

/** The planned loads of a zone in order of urgency, and the state of the workers for one more group. */
export class LoadPlan {
  /**
   * @param loads Planned loads; groups for which no worker has capacity are omitted and do not count towards
   * the maximum.
   * @param steps Steps by descending urgency.
   * @param finalCandidates Workers after all planned loads.
   * @param unplannedUrgencies Urgencies of the groups beyond the maximum, descending.
   */
  constructor(
    readonly loads: readonly PlannedLoad[],
    private readonly steps: readonly PlanStep[],
    private readonly finalCandidates: readonly PlacementCandidate[],
    private readonly unplannedUrgencies: readonly number[],
  ) {}

  /**
   * Returns the workers as a group of the given urgency finds them: occupied by the loads of more urgent
   * groups.
   */
  candidatesFor(urgency: number): readonly PlacementCandidate[] {
    const step = this.steps.find((candidate) => candidate.urgency < urgency);
    if (step !== undefined) return step.candidates;
    const before = this.unplannedUrgencies.filter((passed) => passed >= urgency).length;
    return before === 0 ? this.finalCandidates : occupyEvenly(before, this.loads, this.finalCandidates);
  }
}

/** Plans the loads of the waiting groups. */
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
    // A load that waits for the weight store does not occupy its worker meanwhile.
    if (choice.storeWaitMs > 0) continue;
    const { id } = choice.candidate.backEnd;
    candidates = candidates.map((candidate) =>
      candidate.backEnd.id === id ? { ...candidate, busyMs: choice.readyMs } : candidate,
    );
  }
  return new LoadPlan(loads, steps, candidates, unplannedUrgencies);
}

/** Returns the candidates after a number of further loads, each of the mean time of the planned ones. */
function occupyEvenly(
  count: number,
  planned: readonly PlannedLoad[],
  candidates: readonly PlacementCandidate[],
): readonly PlacementCandidate[] {
  const totalMs = planned.reduce((sum, { choice }) => sum + choice.unloadMs + choice.loadMs, 0);
  const addedMs = (count * totalMs) / planned.length / Math.max(1, candidates.length);
  return candidates.map((candidate) => ({ ...candidate, busyMs: candidate.busyMs + addedMs }));
}

/** Time until all daemons know that a model is retired, in milliseconds: two reports through relays. */
const RETIREMENT_PROPAGATION_MS = 500;

/**
 * Returns, by worker, the models to evict for the next planned load on each occupied worker. Omits workers
 * that become free only after the runs of these models should have ended, and models still needed when the
 * worker is free.
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

/** Sorts groups by descending urgency. */
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
 * Returns the loss when a group waits for one more load, summed over its demands (apparent tardiness cost). A
 * demand weighs more the closer its target is; one that has missed its target weighs little until its
 * deadline approaches.
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

/** Returns a value from 0 (far away) to 1 (due now). */
function proximity(remainingMs: number): number {
  return Math.exp(-Math.max(0, remainingMs) / URGENCY_DECAY_MS);
}
