/** Load of a worker as it states it in the head of an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Duration of work on the worker at present, in percent of the usual; absent if the worker does not report it. */
  readonly pacePercent?: number;
}
