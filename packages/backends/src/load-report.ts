/** What daemons report of their work and of the demand for models, and how such reports are added up. */

/** Work under way for one target on one back end. */
export interface TargetLoad {
  readonly backEndId: string;
  /** Empty for back ends without models, and where targets are not told apart. */
  readonly target: string;
  readonly requests: number;
  /** Prompt tokens of requests that have not begun to answer. */
  readonly unreadTokens: number;
  /** Prompt and expected output tokens of all requests under way. */
  readonly heldTokens: number;
  /** Milliseconds until the last of them is expected to have ended; 0 without requests. */
  readonly endsInMs: number;
}

/** Recent requests that asked for a model, older ones counting less. */
export interface ModelDemand {
  readonly model: string;
  readonly weight: number;
}

/** Work and demand of one daemon, or of several together. */
export interface LoadReport {
  readonly loads: readonly TargetLoad[];
  readonly demand: readonly ModelDemand[];
}

/** For whom a source of reports speaks. */
export type ReportScope =
  /** One daemon that is attached to this one. */
  | 'attached'
  /** A relay, for itself and the daemons attached to it. */
  | 'relay'
  /** The relay that this daemon is attached to, for all others. */
  | 'all';

/** Demand below this is not reported. */
export const MIN_REPORTED_DEMAND = 0.02;

/** Adds reports up, by back end and target. */
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

/** The same work by back end alone, without the demand: enough to choose among back ends. */
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
