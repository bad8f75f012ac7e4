/** Group of background tasks that are stopped together and whose failures are reported. */
import { setMaxListeners } from 'node:events';
import { sleep, type Clock } from './clock.js';

/** Called with the name of a failed task and the error that it threw. */
export type TaskFailureHandler = (name: string, error: unknown) => void;

/** Runs tasks until stopped. A task is an async function that returns when its signal aborts. */
export class TaskGroup {
  private readonly controller = new AbortController();
  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly clock: Clock,
    private readonly onFailure: TaskFailureHandler,
  ) {
    // Each sleeping task adds a listener, which would exceed the default limit.
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when the group is stopped. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Starts a task; its failure is reported unless the group was stopped. */
  spawn(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    const promise = task(this.signal)
      .catch((error: unknown) => {
        if (!this.signal.aborted) this.onFailure(name, error);
      })
      .finally(() => this.running.delete(promise));
    this.running.add(promise);
  }

  /** Runs `step` repeatedly, with a pause of `pauseMs()` after each run. A failed run is reported and the loop continues. */
  loop(name: string, pauseMs: () => number, step: (signal: AbortSignal) => Promise<void>): void {
    this.spawn(name, async (signal) => {
      while (!signal.aborted) {
        try {
          await step(signal);
        } catch (error) {
          if (!signal.aborted) this.onFailure(name, error);
        }
        await sleep(this.clock, pauseMs(), signal);
      }
    });
  }

  /** Signals all tasks to stop without waiting for them. */
  abort(): void {
    this.controller.abort();
  }

  /** Signals all tasks to stop and waits until they have finished. */
  async stop(): Promise<void> {
    this.controller.abort();
    await Promise.all(this.running);
  }
}
