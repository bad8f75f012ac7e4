/** Plans the faults of one run: those with fixed times and those drawn at random rates. */
import type { Random } from '@woodbarrow/runtime';
import { draw } from '../scenario/expand-scenario.js';
import type { FaultType, Scenario } from '../scenario/scenario-schema.js';

/** A fault with its start time, duration and target. */
export interface PlannedFault {
  readonly type: FaultType;
  /** Milliseconds after the start of traffic. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Name of the affected component; drawn at the start of the fault when undefined. */
  readonly target: string | undefined;
  /** Seed of the fault's own random choices, so that removing one fault does not change the others. */
  readonly seed: number;
}

const SECONDS_PER_HOUR = 3600;
const SEED_BOUND = 0x7fff_ffff;

/** Returns all faults of a run, sorted by start time. */
export function planFaults(scenario: Scenario, random: Random): PlannedFault[] {
  const faults: PlannedFault[] = scenario.faults.map((fault) => ({
    type: fault.type,
    atMs: fault.at * 1000,
    durationMs: fault.durationSeconds * 1000,
    target: fault.target,
    seed: random.integer(SEED_BOUND),
  }));
  for (const kind of scenario.randomFaults) {
    const mean = SECONDS_PER_HOUR / kind.perHour;
    for (
      let second = random.exponential(mean);
      second < scenario.durationSeconds;
      second += random.exponential(mean)
    ) {
      faults.push({
        type: kind.type,
        atMs: second * 1000,
        durationMs: draw(kind.durationSeconds, random) * 1000,
        target: undefined,
        seed: random.integer(SEED_BOUND),
      });
    }
  }
  return faults.sort((left, right) => left.atMs - right.atMs);
}
