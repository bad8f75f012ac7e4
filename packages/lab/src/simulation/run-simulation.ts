/** Runs one scenario under one seed and checks its invariants. */
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
  /** Faults to inject instead of the planned ones; used to shrink a failing run. */
  readonly faults?: readonly PlannedFault[];
  /** Called after the setup and before the deployment starts. */
  readonly onReady?: (deployment: SimulatedDeployment) => void;
}

/** Summary, planned faults and trace of one run. */
export interface SimulationResult {
  readonly summary: SimulationSummary;
  readonly faults: readonly PlannedFault[];
  readonly trace: readonly TraceEntry[];
}

const SECOND_MS = 1000;
/** Maximum number of violations to report; a failing run tends to repeat one violation. */
const MAX_RETAINED_VIOLATIONS = 50;

/** Runs a simulation until the end of its settle time and until all requests have ended. */
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
  // Requests with a long allowed wait may still be open at the end of the settle time.
  await world.run(endMs + longestRequestMs(deployment), () => traffic.unfinished === 0);
  for (const observer of deployment.observers) observer.onEnd?.();
  const summary = summarize({ deployment, traffic, violations, meter, inForceTimes, seed });
  return { summary, faults, trace: world.trace };
}

/** Returns the maximum time in milliseconds from sending a request to the end of its response. */
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
