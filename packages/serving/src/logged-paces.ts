/** Tracking of the workers' pace that logs when the pace of a worker is first known. */
import { WorkerPaces } from '@woodbarrow/backends';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';

/** Creates the paces of one daemon. */
export function createLoggedPaces(clock: Clock, log: EventLog): WorkerPaces {
  const paces = new WorkerPaces(clock);
  paces.onLearnt = (backEnd, pace, figure) => {
    log.changed('worker_pace_learnt', { backEnd, pace: Number(pace.toFixed(2)), figure });
  };
  return paces;
}
