/** Demand that queue owners report for a model, and the time of its last use. */
import type { ModelDemand } from '@woodbarrow/protocol';
import { GapHistogram } from './gap-histogram.js';

/** Age at which a report expires; owners repeat their reports while requests wait. */
const REPORT_TTL_MS = 3000;

/** Tracks the demand reports and the arrival gaps of one model. */
export class ModelActivity {
  readonly gaps = new GapHistogram();
  /** Last report of each queue owner; after a change of owner there may be two for a while. */
  private readonly reports = new Map<string, { readonly demand: ModelDemand; readonly at: number }>();
  /** Monotonic time of the last report with arrivals, waiting or running requests. */
  lastUsedAt: number;

  constructor(now: number) {
    this.lastUsedAt = now;
  }

  /** Stores an owner's report, replacing its previous one. */
  recordReport(owner: string, demand: ModelDemand, now: number): void {
    this.reports.set(owner, { demand, at: now });
    if (demand.arrivals > 0) this.gaps.recordArrival(now);
    const busy = demand.arrivals > 0 || demand.running > 0 || demand.waiting.some((entry) => entry.count > 0);
    if (busy) this.lastUsedAt = now;
  }

  /** Returns the reports that have not expired, and removes the others. */
  currentDemands(now: number): ModelDemand[] {
    const demands: ModelDemand[] = [];
    for (const [owner, { demand, at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.reports.delete(owner);
      else demands.push(demand);
    }
    return demands;
  }
}

/** Demand for one model, summed over all queue owners. */
export interface TotalDemand {
  readonly waiting: number;
  readonly running: number;
  readonly topPriority: number;
  readonly firstDeadlineMs: number;
  readonly deferrable: boolean;
  /** Adapters with waiting requests. */
  readonly adapters: readonly string[];
}

/** Sums the reports of one model. Without waiting requests, priority and deadline are Infinity. */
export function totalDemand(demands: readonly ModelDemand[]): TotalDemand {
  const adapters = new Set<string>();
  let waiting = 0;
  for (const demand of demands) {
    for (const entry of demand.waiting) {
      waiting += entry.count;
      if (entry.adapter !== '' && entry.count > 0) adapters.add(entry.adapter);
    }
  }
  const active = demands.filter((demand) => demand.waiting.some((entry) => entry.count > 0));
  return {
    waiting,
    running: demands.reduce((total, demand) => total + demand.running, 0),
    topPriority: Math.min(Infinity, ...active.map((demand) => demand.topPriority)),
    firstDeadlineMs: Math.min(Infinity, ...active.map((demand) => demand.firstDeadlineMs)),
    deferrable: active.length > 0 && active.every((demand) => demand.deferrable),
    adapters: [...adapters],
  };
}
