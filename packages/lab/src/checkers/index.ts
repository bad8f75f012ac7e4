/** The list of all checkers. */
import {
  answeredInWait,
  atMostOnce,
  notRunMeansNotRun,
  plannedStop,
  streamOrder,
  wholeAnswer,
} from './answer-checkers.js';
import type { CheckerContext } from './checker.js';
import {
  configurationInForce,
  configurationMonotone,
  platformReaders,
  type InForceTimes,
} from './configuration-checkers.js';
import { leavingDrained, memoryCommit, replicaLimit } from './placement-checkers.js';
import type { DeploymentObserver } from '../simulation/deployment-observer.js';

export * from './checker.js';
export type { InForceTimes } from './configuration-checkers.js';

/** Creates one instance of every checker. */
export function createCheckers(context: CheckerContext, inForceTimes: InForceTimes): DeploymentObserver[] {
  const factories = [
    replicaLimit,
    memoryCommit,
    leavingDrained,
    answeredInWait,
    wholeAnswer,
    streamOrder,
    notRunMeansNotRun,
    atMostOnce,
    plannedStop,
    configurationMonotone,
    configurationInForce(inForceTimes),
    platformReaders,
  ];
  return factories.map((create) => create(context));
}
