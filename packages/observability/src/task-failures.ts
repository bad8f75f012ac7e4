/** Logging of failed background tasks. */
import { errorMessage } from '@woodbarrow/errors';
import type { TaskFailureHandler } from '@woodbarrow/runtime';
import type { EventLog } from './event-log.js';

/** Returns a handler that logs each failed task as `task_failed`. */
export function logTaskFailures(log: EventLog): TaskFailureHandler {
  return (task, error) => {
    log.warned('task_failed', { task, cause: errorMessage(error) });
  };
}
