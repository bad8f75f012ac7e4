/** Types shared by all checkers; each observes one guarantee from outside the daemons and reports violations. */
import type { DeploymentObserver } from '../simulation/deployment-observer.js';
import type { FaultInjector } from '../simulation/fault-injector.js';
import type { SimulatedDeployment } from '../simulation/simulated-deployment.js';
import type { TrafficDriver } from '../simulation/traffic-driver.js';

/** Names of the checkers, one per guarantee. */
export const CHECKER_NAMES = [
  'replica-limit',
  'memory-commit',
  'answered-in-wait',
  'whole-answer',
  'stream-order',
  'not-run-means-not-run',
  'at-most-once',
  'leaving-drained',
  'planned-stop',
  'configuration-monotone',
  'configuration-in-force',
  'platform-readers',
] as const;

export type CheckerName = (typeof CHECKER_NAMES)[number];

/** One violation of a guarantee. */
export interface Violation {
  readonly checker: CheckerName;
  readonly atMs: number;
  readonly detail: string;
}

/** Parts of a simulation that a checker can observe. */
export interface CheckerContext {
  readonly deployment: SimulatedDeployment;
  readonly traffic: TrafficDriver;
  readonly faults: FaultInjector;
  /** Reports a violation. */
  readonly report: (checker: CheckerName, detail: string) => void;
}

/** Creates a checker. */
export type CheckerFactory = (context: CheckerContext) => DeploymentObserver;
