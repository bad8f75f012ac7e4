/** Reports of daemons on their work in progress and the demand for models, and sums of such reports. */

/** Work in progress for one target on one back end. */
export interface TargetLoad {
  readonly backEndId: string;
  /** Key of the target; empty for back ends without models and in reports that do not distinguish targets. */
  readonly target: string;
  readonly requests: number;
  /** Prompt tokens of the requests whose response has not begun. */
  readonly unreadTokens: number;
  /** Prompt and expected output tokens of all requests in progress. */
  readonly heldTokens: number;
  /** Expected milliseconds until the last of the requests ends; 0 without requests. */
  readonly endsInMs: number;
}

/** Number of recent requests for a model, weighted by an exponential decay with age. */
export interface ModelDemand {
  readonly model: string;
  readonly weight: number;
}

/** Work and demand of one daemon, or the sum of several. */
export interface LoadReport {
  readonly loads: readonly TargetLoad[];
  readonly demand: readonly ModelDemand[];
}

/** Set of daemons that the reports of a source cover. */
export type ReportScope =
  /** One daemon attached to this one. */
  | 'attached'
  /** A relay and the daemons attached to it. */
  | 'relay'
  /** All other daemons, reported by the relay that this daemon is attached to. */
  | 'all';

/** Minimum demand weight that is reported. */
export const MIN_REPORTED_DEMAND = 0.02;

/** Sums reports by back end and target, and demand by model. */
export class LoadSum {
  private readonly loads = new Map<string, TargetLoad>();
  private readonly demand = new Map<string, number>();

  add({ loads, demand }: LoadReport): void {
    for (const load of loads) this.addLoad(load);
    for (const { model, weight } of demand) this.addDemand(model, weight);
  }

  addLoad(load: TargetLoad): void {
    const key = `${load.backEndId} ${load.target}`;
    const existing = this.loads.get(key);
    this.loads.set(key, existing === undefined ? load : sumLoads(existing, load));
  }

  addDemand(model: string, weight: number): void {
    this.demand.set(model, (this.demand.get(model) ?? 0) + weight);
  }

  report(): LoadReport {
    const demand = [...this.demand].map(([model, weight]) => ({ model, weight }));
    return {
      loads: [...this.loads.values()],
      demand: demand.filter(({ weight }) => weight >= MIN_REPORTED_DEMAND),
    };
  }
}

/** Returns the work of a report summed by back end, without targets, expected ends and demand. */
export function summarizedReport(report: LoadReport): LoadReport {
  const sum = new LoadSum();
  for (const load of report.loads) {
    if (load.requests > 0) sum.addLoad({ ...load, target: '', endsInMs: 0 });
  }
  return sum.report();
}

function sumLoads(left: TargetLoad, right: TargetLoad): TargetLoad {
  return {
    ...left,
    requests: left.requests + right.requests,
    unreadTokens: left.unreadTokens + right.unreadTokens,
    heldTokens: left.heldTokens + right.heldTokens,
    endsInMs: Math.max(left.endsInMs, right.endsInMs),
  };
}
