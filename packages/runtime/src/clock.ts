/** Clock abstraction. Code outside this package reads time and sets timers only through it, so that simulations control time. */
import { SuspensionMeter } from './suspension-meter.js';

/** Cancels a scheduled callback; calling it again does nothing. */
export type CancelTimer = () => void;

/** Source of time. All durations are in milliseconds. */
export interface Clock {
  /**
   * Milliseconds since an arbitrary start; never decreases; may drift against other machines. Does not advance while the
   * machine is suspended, so it may report too little time. Use it to wait until a lease of another daemon has certainly
   * expired, and to measure the duration of local work.
   */
  monotonic(): number;
  /**
   * Like {@link monotonic}, but includes time for which the machine was suspended; may report too much time after the wall
   * clock is set forward. Use it for the validity of what this daemon holds: a lease, a cached response, a report of another
   * daemon. Read it when the value is used, not in a timer: after a suspension, timers and messages run in any order.
   */
  elapsed(): number;
  /** Milliseconds since the Unix epoch; may jump in either direction. */
  wall(): number;
  /** Runs `callback` once after `delayMs`. */
  schedule(delayMs: number, callback: () => void): CancelTimer;
  /**
   * Runs `callback` once the input that has arrived by now has been read. After a long turn of the event loop, timers run before
   * the input that arrived during it, so a timeout must not be judged in its own timer.
   */
  afterInput(callback: () => void): void;
}

/** Clock of the operating system. */
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

  afterInput(callback: () => void): void {
    setImmediate(callback);
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

/** Result of {@link settleWithin}: the value of the promise, or a time-out. */
export type TimedResult<T> = { readonly timedOut: false; readonly value: T } | { readonly timedOut: true };

/** Waits for `promise` for at most `limitMs`. The operation is not cancelled on a time-out; a later rejection is ignored. */
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
