/** Shared shutdown behaviour of components that run background tasks. */
import type { Clock } from './clock.js';
import { TaskGroup, type TaskFailureHandler } from './task-group.js';

/** Base class of components that own background tasks. */
export abstract class BackgroundService {
  protected readonly tasks: TaskGroup;

  /** @param onTaskFailure Called with the error of a failed task; when absent, failures are ignored. */
  protected constructor(clock: Clock, onTaskFailure: TaskFailureHandler | undefined) {
    this.tasks = new TaskGroup(clock, onTaskFailure ?? (() => undefined));
  }

  /** Stops all tasks and waits until they have finished. */
  async stop(): Promise<void> {
    await this.tasks.stop();
  }

  /** Signals all tasks to stop without waiting for them; simulates a crash. */
  abort(): void {
    this.tasks.abort();
  }
}
