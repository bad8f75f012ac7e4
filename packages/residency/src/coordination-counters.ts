/** Counters of the coordination of zones by one daemon, for metrics. */
import type { HandoverPauseReason } from '@woodbarrow/coordination';
import { UncertainOrderTotals } from './uncertain-orders.js';

/** Counters since the start of the process. */
export class CoordinationCounters {
  readonly uncertainOrders = new UncertainOrderTotals();
  private readonly pauses = new Map<HandoverPauseReason, number>();

  /** Counts a zone that was acquired. @param reason Evidence that determined the pause before the first order. */
  countAcquisition(reason: HandoverPauseReason): void {
    this.pauses.set(reason, (this.pauses.get(reason) ?? 0) + 1);
  }

  /** Zones acquired, by the evidence that determined the pause before the first order. */
  get handoverPauses(): ReadonlyMap<HandoverPauseReason, number> {
    return this.pauses;
  }
}
