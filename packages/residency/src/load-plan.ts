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

/** Groups that a plan looks at, the most urgent first: a bound on the work of planning. */
const LARGEST_PLAN = 48;
/** Targets count as at least this long, in milliseconds. */
const LEAST_TARGET_MS = 200;

/** Loads in the order of urgency. Groups for which no worker can make room are left out. */
export function planLoads(inputs: LoadPlanInputs): PlannedLoad[] {
  let candidates = inputs.candidates;
  const planned: PlannedLoad[] = [];
  for (const group of byUrgency(inputs.groups, inputs.now).slice(0, LARGEST_PLAN)) {
    const choice = inputs.choose(group, candidates);
    if (choice === undefined) continue;
    const { id } = choice.candidate.backEnd;
    planned.push({ group, choice, startsNow: choice.candidate.busyMs <= 0 });
    candidates = candidates.map((candidate) =>
      candidate.backEnd.id === id ? { ...candidate, busyMs: choice.readyMs } : candidate,
    );
  }
  return planned;
}

/** Groups by urgency: many demands, and demands that have waited long, first. */
export function byUrgency(groups: readonly DemandGroup[], now: number): DemandGroup[] {
  const urgency = new Map(groups.map((group) => [group.key, urgencyOf(group, now)]));
  return [...groups].sort((left, right) => (urgency.get(right.key) ?? 0) - (urgency.get(left.key) ?? 0));
}

/** Sum over the demands: one for each, and the part of its time to the target that it has waited. */
function urgencyOf(group: DemandGroup, now: number): number {
  let urgency = 0;
  for (const { arrivedAt, targetAt } of group.demands) {
    urgency += 1 + (now - arrivedAt) / Math.max(LEAST_TARGET_MS, targetAt - arrivedAt);
  }
  return urgency;
}
