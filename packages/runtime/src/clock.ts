/** Time as the daemons see it. Nothing outside this package reads a clock or sets a timer directly. */
import { SuspensionMeter } from './suspension-meter.js';

/** Cancels a scheduled callback; calling it again does nothing. */
export type CancelTimer = () => void;

/** Source of time. All durations are in milliseconds. */
export interface Clock {
  /**
   * Milliseconds since an arbitrary start; never goes back; may drift against other machines. Stands still while the machine is
   * suspended, so it may count too little: right for waiting until something of another daemon has certainly lapsed,
   * and for how long work has run here.
   */
  monotonic(): number;
  /**
   * As {@link monotonic}, but with the time for which the machine was suspended; may count too much, after a step of the time of day.
   * Right for what this daemon itself may use until it lapses: a lease, an answer, a word of another daemon.
   * Ask at the act, not in a timer: after a suspension timers and messages come in any order.
   */
  elapsed(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  wall(): number;
  /** Runs `callback` once after `delayMs`. */
  schedule(delayMs: number, callback: () => void): CancelTimer;
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  private readonly meter = new SuspensionMeter(
    () => this.monotonic(),
    () => this.wall(),
  );

  monotonic(): number {
    return performance.now();
  }

  elapsed(): number {
    return this.meter.elapsed();
  }

  wall(): number {
    return Date.now();
  }

  schedule(delayMs: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return () => {
      clearTimeout(timer);
    };
  }
}

/** Resolves after `delayMs`, or at once when `signal` aborts. Never rejects. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const cancel = clock.schedule(delayMs, finish);
    signal?.addEventListener('abort', finish);
  });
}

/** Result of {@link settleWithin}: the value, or word that time ran out. */
export type TimedResult<T> = { readonly timedOut: false; readonly value: T } | { readonly timedOut: true };

/** Waits for `promise` for at most `limitMs`. The promise goes on after a time-out; its failure is then ignored. */
export function settleWithin<T>(clock: Clock, limitMs: number, promise: Promise<T>): Promise<TimedResult<T>> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(limitMs, () => {
      resolve({ timedOut: true });
    });
    promise.then(
      (value) => {
        cancel();
        resolve({ timedOut: false, value });
      },
      (error: unknown) => {
        cancel();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}
