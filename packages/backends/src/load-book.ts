/**
 * Work under way on each back end: this daemon's own, known at once, and that of others, as they last reported
 * it. Also when targets were last used, and what is asked for. Reports hold states and not differences, so one
 * that is lost or comes twice does no harm.
 */
import type { Clock } from '@woodbarrow/runtime';
import { LEAST_REMAINING_MS, remainingMs } from './expected-time.js';
import {
  LEAST_DEMAND,
  LoadSum,
  type LoadReport,
  type ModelDemand,
  type ReportScope,
  type TargetLoad,
} from './load-report.js';
import { targetKey, type ModelTarget } from './model-name.js';

/** Sum of the work under way on a back end. */
export interface BackEndLoad {
  readonly requests: number;
  readonly unreadTokens: number;
  readonly heldTokens: number;
}

/** One request under way; ended exactly once. */
export interface WorkTicket {
  /** Its answer has begun: the prompt has been read. */
  begun(): void;
  ended(): void;
}

/** Size of a request for {@link LoadBook.start}. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Milliseconds that it is expected to take; nothing is known of its end when absent. */
  readonly expectedMs?: number;
}

/** Milliseconds after which a report of work no longer counts. */
const REPORT_LIFETIME_MS = 2000;
/** Milliseconds after which a report of demand no longer counts; until then it decays. */
const DEMAND_LIFETIME_MS = 12_000;
/** A target with no request under way is reported for this long after its last one began, in milliseconds. */
const RECENT_USE_MS = 600;
/** Half-life of the demand for a model, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 4000;

/** Word of a request may be this late, in milliseconds. */
const REPORT_DELAY_MS = 700;
/** Of a model that has not been asked for of late, at most this divided by the milliseconds since is counted. */
const SILENCE_WEIGHT_MS = 12_000;
/** Growth of a reported demand that stands for a request. */
const LEAST_GROWTH = 0.3;

interface MutableLoad {
  requests: number;
  unreadTokens: number;
  heldTokens: number;
  startedAt: number;
  readonly runs: Set<Run>;
}

/** A request under way. */
interface Run {
  readonly beganAt: number;
  readonly expectedMs: number;
}

interface SourceReport {
  readonly scope: ReportScope;
  readonly at: number;
  readonly loads: ReadonlyMap<string, readonly TargetLoad[]>;
  readonly demand: ReadonlyMap<string, number>;
}

/** Recent requests that asked for a model. */
interface Demand {
  /** Decayed number. */
  readonly weight: number;
  readonly at: number;
}

const NO_LOAD: BackEndLoad = { requests: 0, unreadTokens: 0, heldTokens: 0 };

/** Load of all back ends. */
export class LoadBook {
  private readonly own = new Map<string, Map<string, MutableLoad>>();
  private readonly reports = new Map<string, SourceReport>();
  /** When each target was last used on each back end, monotonic. */
  private readonly lastUsed = new Map<string, number>();
  private readonly demand = new Map<string, Demand>();
  /** When each model was last asked for, as far as reports tell, monotonic. */
  private readonly lastAsked = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes a request that is being sent to a back end. */
  start(backEndId: string, target: ModelTarget | undefined, size: WorkSize): WorkTicket {
    const key = target === undefined ? '' : targetKey(target);
    const load = this.ownLoad(backEndId, key);
    const held = size.promptTokens + size.outputTokens;
    load.requests += 1;
    load.unreadTokens += size.promptTokens;
    load.heldTokens += held;
    load.startedAt = this.clock.monotonic();
    const run = { beganAt: load.startedAt, expectedMs: size.expectedMs ?? 0 };
    load.runs.add(run);
    this.noteUse(backEndId, key);
    let unread = size.promptTokens;
    let open = true;
    const begun = (): void => {
      load.unreadTokens -= unread;
      unread = 0;
    };
    return {
      begun,
      ended: () => {
        if (!open) return;
        open = false;
        begun();
        load.runs.delete(run);
        load.requests -= 1;
        load.heldTokens -= held;
      },
    };
  }

  /** Notes a request that asks for a model, whether or not a back end can take it. */
  noteDemand(model: string): void {
    const now = this.clock.monotonic();
    this.demand.set(model, { weight: this.ownDemand(model, now) + 1, at: now });
    this.lastAsked.set(model, now);
  }

  /**
   * Recent requests that asked for a model, over all daemons, older ones counting less. When none has come for much
   * longer than they usually lie apart, demand has moved to other models, and no more is counted than that allows.
   */
  demandFor(model: string): number {
    const now = this.clock.monotonic();
    const weight = this.decayedDemand(model, now);
    const silentMs = now - (this.lastAsked.get(model) ?? now) - REPORT_DELAY_MS;
    return silentMs > 0 ? Math.min(weight, SILENCE_WEIGHT_MS / silentMs) : weight;
  }

  private decayedDemand(model: string, now: number): number {
    let weight = this.ownDemand(model, now);
    for (const report of this.reports.values()) {
      const reported = report.demand.get(model);
      if (reported !== undefined) weight += decayed({ weight: reported, at: report.at }, now);
    }
    return weight;
  }

  /** Work under way on a back end, over all daemons. */
  of(backEndId: string): BackEndLoad {
    let requests = 0;
    let unreadTokens = 0;
    let heldTokens = 0;
    for (const load of this.own.get(backEndId)?.values() ?? []) {
      requests += load.requests;
      unreadTokens += load.unreadTokens;
      heldTokens += load.heldTokens;
    }
    const others = this.peerLoad(backEndId);
    return {
      requests: requests + others.requests,
      unreadTokens: unreadTokens + others.unreadTokens,
      heldTokens: heldTokens + others.heldTokens,
    };
  }

  /** Requests of this daemon under way on a back end; each has a connection of its own. */
  ownRequests(backEndId: string): number {
    let requests = 0;
    for (const load of this.own.get(backEndId)?.values() ?? []) requests += load.requests;
    return requests;
  }

  /** Requests under way for a target, or for a model with all its adapters, on a back end. */
  requestsFor(backEndId: string, model: string): number {
    let requests = 0;
    for (const [key, load] of this.own.get(backEndId) ?? []) {
      if (belongsTo(key, model)) requests += load.requests;
    }
    for (const report of this.freshReports()) {
      for (const load of report.loads.get(backEndId) ?? []) {
        if (belongsTo(load.target, model)) requests += load.requests;
      }
    }
    return requests;
  }

  /**
   * Milliseconds until the last request for a model, its adapters included, is expected to have ended on a back end; 0
   * when there is none.
   */
  endsInMs(backEndId: string, model: string): number {
    const now = this.clock.monotonic();
    let latestMs = 0;
    for (const [key, load] of this.own.get(backEndId) ?? []) {
      if (belongsTo(key, model)) latestMs = Math.max(latestMs, endOf(load, now));
    }
    for (const report of this.freshReports()) {
      for (const load of report.loads.get(backEndId) ?? []) {
        if (load.requests === 0 || !belongsTo(load.target, model)) continue;
        latestMs = Math.max(latestMs, endSeenLater(load, now - report.at));
      }
    }
    return latestMs;
  }

  /** Milliseconds since a target was last used on a back end; Infinity when never. */
  idleMs(backEndId: string, target: string): number {
    const at = this.lastUsed.get(useKey(backEndId, target));
    return at === undefined ? Infinity : this.clock.monotonic() - at;
  }

  /** This daemon's own work and demand. */
  ownReport(): LoadReport {
    return { loads: this.ownLoads(), demand: this.ownDemands() };
  }

  /** This daemon's own work and that of sources of the given scopes, one of which may be left out. */
  combinedReport(scopes: readonly ReportScope[], without?: string): LoadReport {
    const sum = new LoadSum();
    sum.add(this.ownReport());
    const now = this.clock.monotonic();
    for (const [source, report] of this.reports) {
      if (source === without || !scopes.includes(report.scope)) continue;
      for (const [model, weight] of report.demand) {
        sum.addDemand(model, decayed({ weight, at: report.at }, now));
      }
      if (now - report.at > REPORT_LIFETIME_MS) continue;
      const ageMs = now - report.at;
      for (const loads of report.loads.values()) {
        for (const load of loads) sum.addLoad({ ...load, endsInMs: endSeenLater(load, ageMs) });
      }
    }
    return sum.report();
  }

  /** Takes the report of a source; it replaces the one before. */
  accept(source: string, scope: ReportScope, { loads, demand }: LoadReport): void {
    const byBackEnd = new Map<string, TargetLoad[]>();
    for (const load of loads) {
      const known = byBackEnd.get(load.backEndId);
      if (known === undefined) byBackEnd.set(load.backEndId, [load]);
      else known.push(load);
      if (load.target !== '') this.noteUse(load.backEndId, load.target);
    }
    const weights = new Map(demand.map(({ model, weight }) => [model, weight]));
    this.noteAsked(source, weights);
    this.reports.set(source, { scope, at: this.clock.monotonic(), loads: byBackEnd, demand: weights });
    this.forgetOld();
  }

  /** Drops all reports of others, when they are to come another way. */
  dropReports(): void {
    this.reports.clear();
  }

  /** Drops what is known of a back end that is gone. */
  forget(backEndId: string): void {
    for (const key of this.lastUsed.keys()) {
      if (key.startsWith(`${backEndId} `)) this.lastUsed.delete(key);
    }
  }

  private ownLoad(backEndId: string, key: string): MutableLoad {
    let targets = this.own.get(backEndId);
    if (targets === undefined) {
      targets = new Map();
      this.own.set(backEndId, targets);
    }
    let load = targets.get(key);
    if (load === undefined) {
      load = { requests: 0, unreadTokens: 0, heldTokens: 0, startedAt: -Infinity, runs: new Set() };
      targets.set(key, load);
    }
    return load;
  }

  private peerLoad(backEndId: string): BackEndLoad {
    let sum: { -readonly [Field in keyof BackEndLoad]: BackEndLoad[Field] } | undefined;
    for (const report of this.freshReports()) {
      for (const load of report.loads.get(backEndId) ?? []) {
        sum ??= { ...NO_LOAD };
        sum.requests += load.requests;
        sum.unreadTokens += load.unreadTokens;
        sum.heldTokens += load.heldTokens;
      }
    }
    return sum ?? NO_LOAD;
  }

  private *freshReports(): Generator<SourceReport> {
    const oldest = this.clock.monotonic() - REPORT_LIFETIME_MS;
    for (const report of this.reports.values()) {
      if (report.at >= oldest) yield report;
    }
  }

  /** A demand that is larger than what is left of the one before has grown since. */
  private noteAsked(source: string, weights: ReadonlyMap<string, number>): void {
    const now = this.clock.monotonic();
    const before = this.reports.get(source);
    for (const [model, weight] of weights) {
      const left = decayed({ weight: before?.demand.get(model) ?? 0, at: before?.at ?? now }, now);
      if (weight > left + LEAST_GROWTH) this.lastAsked.set(model, now);
    }
  }

  private forgetOld(): void {
    for (const [model, at] of this.lastAsked) {
      if (this.clock.monotonic() - at > DEMAND_LIFETIME_MS) this.lastAsked.delete(model);
    }
    const oldest = this.clock.monotonic() - DEMAND_LIFETIME_MS;
    for (const [source, report] of this.reports) {
      if (report.at < oldest) this.reports.delete(source);
    }
  }

  private ownLoads(): TargetLoad[] {
    const loads: TargetLoad[] = [];
    const now = this.clock.monotonic();
    const oldest = now - RECENT_USE_MS;
    for (const [backEndId, targets] of this.own) {
      for (const [target, load] of targets) {
        const { requests, unreadTokens, heldTokens, startedAt } = load;
        if (requests > 0 || startedAt >= oldest) {
          loads.push({
            backEndId,
            target,
            requests,
            unreadTokens,
            heldTokens,
            endsInMs: Math.round(endOf(load, now)),
          });
        } else targets.delete(target);
      }
      if (targets.size === 0) this.own.delete(backEndId);
    }
    return loads;
  }

  private ownDemands(): ModelDemand[] {
    const now = this.clock.monotonic();
    const demands: ModelDemand[] = [];
    for (const [model, demand] of this.demand) {
      const weight = decayed(demand, now);
      if (weight >= LEAST_DEMAND) demands.push({ model, weight });
      else this.demand.delete(model);
    }
    return demands;
  }

  private ownDemand(model: string, now: number): number {
    const demand = this.demand.get(model);
    return demand === undefined ? 0 : decayed(demand, now);
  }

  private noteUse(backEndId: string, target: string): void {
    this.lastUsed.set(useKey(backEndId, target), this.clock.monotonic());
  }
}

/** Milliseconds until the last run is expected to have ended. */
function endOf({ runs }: MutableLoad, now: number): number {
  let latestMs = 0;
  for (const { beganAt, expectedMs } of runs)
    latestMs = Math.max(latestMs, remainingMs(expectedMs, now - beganAt));
  return latestMs;
}

/** What is left of an expected end that was told some time ago, while the requests are still believed to run. */
function endSeenLater({ requests, endsInMs }: TargetLoad, ageMs: number): number {
  return requests === 0 ? 0 : Math.max(LEAST_REMAINING_MS, endsInMs - ageMs);
}

function useKey(backEndId: string, target: string): string {
  return `${backEndId} ${target}`;
}

function belongsTo(key: string, model: string): boolean {
  return key === model || (key.startsWith(model) && key.charAt(model.length) === '/');
}

function decayed(demand: Demand, now: number): number {
  return demand.weight * 0.5 ** ((now - demand.at) / DEMAND_HALF_LIFE_MS);
}
