/** Runs one scenario under one seed, from start to verdict. */
import type { TraceEntry } from '@woodbarrow/runtime';
import { createCheckers, type Violation } from '../checkers/index.js';
import type { Scenario } from '../scenario/scenario-schema.js';
import { planWorkload } from '../traffic/workload.js';
import { AcceleratorMeter } from './accelerator-meter.js';
import { FaultInjector } from './fault-injector.js';
import { planFaults, type PlannedFault } from './fault-plan.js';
import { SimulatedDeployment } from './simulated-deployment.js';
import { summarize, type SimulationSummary } from './simulation-summary.js';
import { TrafficDriver } from './traffic-driver.js';

/** Options of {@link runSimulation}. */
export interface SimulationOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly keepTrace?: boolean;
  /** Faults in place of those that the scenario and seed give, for shrinking. */
  readonly faults?: readonly PlannedFault[];
  /** Called once everything is set up, before the start. */
  readonly onReady?: (deployment: SimulatedDeployment) => void;
}

/** What one run gave. */
export interface SimulationResult {
  readonly summary: SimulationSummary;
  readonly faults: readonly PlannedFault[];
  readonly trace: readonly TraceEntry[];
}

const SECOND_MS = 1000;
/** Violations kept; a broken run repeats itself. */
const MAX_RETAINED_VIOLATIONS = 50;

/** Runs a simulation to its end. */
export async function runSimulation(options: SimulationOptions): Promise<SimulationResult> {
  const { scenario, seed } = options;
  const deployment = new SimulatedDeployment({ scenario, seed, keepTrace: options.keepTrace ?? false });
  const { world, random } = deployment;
  const workload = planWorkload(scenario, deployment.plan, random.fork());
  const planned = planFaults(scenario, random.fork());
  const faults = options.faults ?? planned;
  const traffic = new TrafficDriver(deployment, random.fork());
  const injector = new FaultInjector(deployment);
  const violations: Violation[] = [];
  const inForceTimes = { milliseconds: [] as number[] };
  const report = (checker: Violation['checker'], detail: string): void => {
    world.record(`VIOLATION ${checker}: ${detail}`);
    if (violations.length < MAX_RETAINED_VIOLATIONS) violations.push({ checker, atMs: world.now, detail });
  };
  const meter = new AcceleratorMeter(deployment);
  deployment.observers.push(
    ...createCheckers({ deployment, traffic, faults: injector, report }, inForceTimes),
    meter,
  );
  options.onReady?.(deployment);
  deployment.start();
  const warmUpMs = scenario.warmUpSeconds * SECOND_MS;
  traffic.schedule(workload, warmUpMs);
  injector.schedule(faults, warmUpMs);
  const endMs = warmUpMs + (scenario.durationSeconds + scenario.settleSeconds) * SECOND_MS;
  scheduleSecondTicks(deployment, endMs);
  await world.run(endMs);
  // Requests that may wait long are followed to their end.
  await world.run(endMs + longestRequestMs(deployment), () => traffic.unfinished === 0);
  for (const observer of deployment.observers) observer.onEnd?.();
  const summary = summarize({ deployment, traffic, violations, meter, inForceTimes, seed });
  return { summary, faults, trace: world.trace };
}

/** Longest time from the sending of a request to the end of its answer. */
function longestRequestMs(deployment: SimulatedDeployment): number {
  const longest = deployment.plan.tenants.map(({ parameters }) => {
    const waits = parameters.priorityClasses.map((priorityClass) => priorityClass.defaultWaitSeconds);
    return Math.max(...waits) + parameters.limits.runSeconds;
  });
  return Math.max(...longest) * SECOND_MS;
}

function scheduleSecondTicks(deployment: SimulatedDeployment, endMs: number): void {
  const tick = (): void => {
    for (const observer of deployment.observers) observer.onSecond?.();
    if (deployment.world.now + SECOND_MS <= endMs) deployment.world.schedule(SECOND_MS, tick);
  };
  deployment.world.schedule(SECOND_MS, tick);
}
