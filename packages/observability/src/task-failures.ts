/** What is logged when a background task fails. */
import { messageOf } from '@woodbarrow/errors';
import type { TaskFailureHandler } from '@woodbarrow/runtime';
import type { EventLog } from './event-log.js';

/** Writes a line for each failed task. */
export function logTaskFailures(log: EventLog): TaskFailureHandler {
  return (task, error) => {
    log.warned('task_failed', { task, cause: messageOf(error) });
  };
}
