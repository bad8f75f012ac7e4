/** What queue owners have reported of each model, and when it was last used. */
import type { ModelDemand } from '@woodbarrow/protocol';
import { GapHistogram } from './gap-histogram.js';

/** Reports older than this count as nothing waiting: the owner reports again while something does. */
const REPORT_TTL_MS = 3000;

/** Demand for one model. */
export class ModelActivity {
  readonly gaps = new GapHistogram();
  /** Last report by owner, with its time: for a while after a change of owner there may be two. */
  private readonly reports = new Map<string, { readonly demand: ModelDemand; readonly at: number }>();
  /** Monotonic time of the last sign of use. */
  lastUsedAt: number;

  constructor(now: number) {
    this.lastUsedAt = now;
  }

  /** Takes in an owner's report. */
  recordReport(owner: string, demand: ModelDemand, now: number): void {
    this.reports.set(owner, { demand, at: now });
    if (demand.arrivals > 0) this.gaps.recordArrival(now);
    const busy = demand.arrivals > 0 || demand.running > 0 || demand.waiting.some((entry) => entry.count > 0);
    if (busy) this.lastUsedAt = now;
  }

  /** Reports that still count. */
  currentDemands(now: number): ModelDemand[] {
    const demands: ModelDemand[] = [];
    for (const [owner, { demand, at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.reports.delete(owner);
      else demands.push(demand);
    }
    return demands;
  }
}

/** Demand over all owners for one model. */
export interface TotalDemand {
  readonly waiting: number;
  readonly running: number;
  readonly topPriority: number;
  readonly firstDeadlineMs: number;
  readonly deferrable: boolean;
  /** Adapters that something waits for. */
  readonly adapters: readonly string[];
}

/** Sums up the reports on one model. */
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
