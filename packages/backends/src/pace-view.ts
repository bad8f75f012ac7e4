/** Pace of workers: how long work takes on a worker compared to the usual. */

/** Read access to the pace of workers. */
export interface PaceView {
  /** Returns the duration of work on a worker relative to the usual; 1 if unknown, 2 if it takes twice as long. */
  paceOf(backEndId: string): number;
}

/** Treats all workers as equally fast. */
export const UNIFORM_PACE: PaceView = { paceOf: () => 1 };
