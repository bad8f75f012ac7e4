/**
 * Work in progress on each back end: this daemon's own, updated immediately, and that of other daemons, as last
 * reported. Also tracks the last use of targets and the demand for models. Reports contain complete states rather
 * than differences, so that lost or repeated ones are harmless.
 */
import type { Clock } from '@woodbarrow/runtime';
import { MIN_REMAINING_MS, remainingMs } from './expected-time.js';
import {
  MIN_REPORTED_DEMAND,
  LoadSum,
  type LoadReport,
  type ModelDemand,
  type ReportScope,
  type TargetLoad,
} from './load-report.js';
import { targetKey, type ModelTarget } from './model-name.js';

/** Sum of the work in progress on a back end. */
export interface BackEndLoad {
  readonly requests: number;
  readonly unreadTokens: number;
  readonly heldTokens: number;
}

/** Handle of one request in progress. */
export interface WorkTicket {
  /** Records that the response has begun, so that the prompt no longer counts as unread. */
  begun(): void;
  ended(): void;
}

/** Size of a request, in tokens. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Expected duration in milliseconds; absent if unknown. */
  readonly expectedMs?: number;
}

/** Milliseconds after which the work in a report expires. */
const REPORT_LIFETIME_MS = 2000;
/** Milliseconds after which the demand in a report expires; until then it decays. */
const DEMAND_LIFETIME_MS = 12_000;
/** Milliseconds after the start of its last request for which an idle target is still reported. */
const RECENT_USE_REPORT_MS = 600;
/** Half-life of the demand for a model, in milliseconds. */
export const DEMAND_HALF_LIFE_MS = 4000;

/** Milliseconds by which a report of a request may be delayed. */
const MAX_REPORT_DELAY_MS = 700;
/** Upper bound of the demand for a model, multiplied by the milliseconds since its last request. */
const IDLE_DEMAND_BOUND_MS = 12_000;
/** Minimum increase of a reported demand that counts as a new request. */
const MIN_DEMAND_INCREASE = 0.3;

interface MutableLoad {
  requests: number;
  unreadTokens: number;
  heldTokens: number;
  lastStartedAt: number;
  readonly runs: Set<Run>;
}

/** A request in progress. */
interface Run {
  readonly startedAt: number;
  readonly expectedMs: number;
}

interface SourceReport {
  readonly scope: ReportScope;
  readonly receivedAt: number;
  readonly loads: ReadonlyMap<string, readonly TargetLoad[]>;
  readonly demand: ReadonlyMap<string, number>;
}

/** Demand for a model. */
interface Demand {
  /** Decayed number of requests as of `updatedAt`. */
  readonly weight: number;
  readonly updatedAt: number;
}

/** Start of the ids under which waiting requests are reported. */
const WAITING_ID_PREFIX = 'waiting/';
/** Size of a request that no back end has received. */
const NO_SIZE: WorkSize = { promptTokens: 0, outputTokens: 0 };
const NO_LOAD: BackEndLoad = { requests: 0, unreadTokens: 0, heldTokens: 0 };

/** Tracks the load on all back ends and the demand for models. */
export class LoadTracker {
  private readonly ownLoadByBackEnd = new Map<string, Map<string, MutableLoad>>();
  private readonly reports = new Map<string, SourceReport>();
  /** Monotonic time of the last use of each target on each back end. */
  private readonly lastUsedAt = new Map<string, number>();
  private readonly ownDemandByModel = new Map<string, Demand>();
  /** Monotonic time of the last observed request for each model, over all daemons. */
  private readonly lastRequestedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a request that is sent to a back end. */
  start(backEndId: string, target: ModelTarget | undefined, size: WorkSize): WorkTicket {
    const key = target === undefined ? '' : targetKey(target);
    const load = this.ownLoad(backEndId, key);
    load.lastStartedAt = this.clock.monotonic();
    this.recordUse(backEndId, key);
    return this.addRequest(load, size);
  }

  /**
   * Records a request that waits at this daemon for room on a worker. It is reported like work in progress, under an id
   * that is not that of a back end. It is no use of the target: use times are removed only with their back end.
   */
  startWaiting(target: ModelTarget, priority: number): WorkTicket {
    return this.addRequest(this.ownLoad(waitingId(target.model, priority), targetKey(target)), NO_SIZE);
  }

  /** Returns the requests of one priority that wait for room on a worker with the model, over all daemons. */
  waitingFor(model: string, priority: number): number {
    return this.loadOf(waitingId(model, priority)).requests;
  }

  /** Returns the requests of one priority that wait at this daemon for room on a worker with the model. */
  ownWaitingFor(model: string, priority: number): number {
    return this.ownRequests(waitingId(model, priority));
  }

  /** Returns the requests of all priorities that wait for room on a worker, by model, over all daemons. */
  waitingByModel(): ReadonlyMap<string, number> {
    const waiting = new Map<string, number>();
    const add = (id: string, requests: number): void => {
      const model = modelOfWaitingId(id);
      if (model !== undefined && requests > 0) waiting.set(model, (waiting.get(model) ?? 0) + requests);
    };
    for (const id of this.ownLoadByBackEnd.keys()) add(id, this.ownRequests(id));
    for (const report of this.freshReports()) {
      for (const loads of report.loads.values()) for (const load of loads) add(load.backEndId, load.requests);
    }
    return waiting;
  }

  /** Records a request for a model, whether or not a back end can accept it. */
  recordDemand(model: string): void {
    const now = this.clock.monotonic();
    this.ownDemandByModel.set(model, { weight: this.ownDemand(model, now) + 1, updatedAt: now });
    this.lastRequestedAt.set(model, now);
  }

  /**
   * Returns the decayed number of recent requests for a model, over all daemons. The time since the last request
   * bounds it, so that a high demand that has stopped does not keep counting.
   */
  demandFor(model: string): number {
    const now = this.clock.monotonic();
    const weight = this.decayedDemand(model, now);
    const msWithoutRequests = now - (this.lastRequestedAt.get(model) ?? now) - MAX_REPORT_DELAY_MS;
    return msWithoutRequests > 0 ? Math.min(weight, IDLE_DEMAND_BOUND_MS / msWithoutRequests) : weight;
  }

  private decayedDemand(model: string, now: number): number {
    let weight = this.ownDemand(model, now);
    for (const report of this.reports.values()) {
      const reported = report.demand.get(model);
      if (reported !== undefined)
        weight += decayedWeight({ weight: reported, updatedAt: report.receivedAt }, now);
    }
    return weight;
  }

  /** Returns the work in progress on a back end, over all daemons. */
  loadOf(backEndId: string): BackEndLoad {
    let requests = 0;
    let unreadTokens = 0;
    let heldTokens = 0;
    for (const load of this.ownLoadByBackEnd.get(backEndId)?.values() ?? []) {
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

  /** Returns the number of this daemon's requests in progress on a back end; each uses one connection. */
  ownRequests(backEndId: string): number {
    let requests = 0;
    for (const load of this.ownLoadByBackEnd.get(backEndId)?.values() ?? []) requests += load.requests;
    return requests;
  }

  /** Returns the number of requests in progress for a target, or a model with all its adapters, on a back end. */
  requestsFor(backEndId: string, model: string): number {
    let requests = 0;
    for (const [key, load] of this.ownLoadByBackEnd.get(backEndId) ?? []) {
      if (isTargetOfModel(key, model)) requests += load.requests;
    }
    for (const report of this.freshReports()) {
      for (const load of report.loads.get(backEndId) ?? []) {
        if (isTargetOfModel(load.target, model)) requests += load.requests;
      }
    }
    return requests;
  }

  /**
   * Returns the requests in progress by back end and target, over all daemons. Reads each report once, where
   * {@link loadOf} and {@link requestsFor} look up one back end in all reports.
   */
  requestsByTarget(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const sums = new Map<string, Map<string, number>>();
    const add = (backEndId: string, target: string, requests: number): void => {
      if (requests === 0) return;
      const targets = sums.get(backEndId) ?? new Map<string, number>();
      if (targets.size === 0) sums.set(backEndId, targets);
      targets.set(target, (targets.get(target) ?? 0) + requests);
    };
    for (const [id, targets] of this.ownLoadByBackEnd)
      for (const [target, { requests }] of targets) add(id, target, requests);
    for (const report of this.freshReports()) {
      for (const loads of report.loads.values())
        for (const { backEndId, target, requests } of loads) add(backEndId, target, requests);
    }
    return sums;
  }

  /**
   * Returns the expected milliseconds until the last request for a model or its adapters ends on a back end; 0 when
   * there is none.
   */
  endsInMs(backEndId: string, model: string): number {
    const now = this.clock.monotonic();
    let latestMs = 0;
    for (const [key, load] of this.ownLoadByBackEnd.get(backEndId) ?? []) {
      if (isTargetOfModel(key, model)) latestMs = Math.max(latestMs, remainingRunMs(load, now));
    }
    for (const report of this.freshReports()) {
      for (const load of report.loads.get(backEndId) ?? []) {
        if (load.requests === 0 || !isTargetOfModel(load.target, model)) continue;
        latestMs = Math.max(latestMs, agedRemainingMs(load, now - report.receivedAt));
      }
    }
    return latestMs;
  }

  /** Returns the milliseconds since a target was last used on a back end; Infinity if no use was observed. */
  idleMs(backEndId: string, target: string): number {
    const at = this.lastUsedAt.get(lastUsedKey(backEndId, target));
    return at === undefined ? Infinity : this.clock.monotonic() - at;
  }

  /** Returns this daemon's own work and demand. */
  ownReport(): LoadReport {
    return { loads: this.ownLoads(), demand: this.ownDemands() };
  }

  /** Returns the sum of this daemon's own report and those of sources with the given scopes, except one source. */
  combinedReport(scopes: readonly ReportScope[], excludedSource?: string): LoadReport {
    const sum = new LoadSum();
    sum.add(this.ownReport());
    const now = this.clock.monotonic();
    for (const [source, report] of this.reports) {
      if (source === excludedSource || !scopes.includes(report.scope)) continue;
      for (const [model, weight] of report.demand) {
        sum.addDemand(model, decayedWeight({ weight, updatedAt: report.receivedAt }, now));
      }
      if (now - report.receivedAt > REPORT_LIFETIME_MS) continue;
      const ageMs = now - report.receivedAt;
      for (const loads of report.loads.values()) {
        for (const load of loads) sum.addLoad({ ...load, endsInMs: agedRemainingMs(load, ageMs) });
      }
    }
    return sum.report();
  }

  /** Stores the report of a source, replacing its previous one. */
  acceptReport(source: string, scope: ReportScope, { loads, demand }: LoadReport): void {
    const byBackEnd = new Map<string, TargetLoad[]>();
    for (const load of loads) {
      const backEndLoads = byBackEnd.get(load.backEndId);
      if (backEndLoads === undefined) byBackEnd.set(load.backEndId, [load]);
      else backEndLoads.push(load);
      if (load.target !== '' && !load.backEndId.startsWith(WAITING_ID_PREFIX))
        this.recordUse(load.backEndId, load.target);
    }
    const weights = new Map(demand.map(({ model, weight }) => [model, weight]));
    this.recordDemandIncreases(source, weights);
    this.reports.set(source, {
      scope,
      receivedAt: this.clock.monotonic(),
      loads: byBackEnd,
      demand: weights,
    });
    this.removeExpired();
  }

  /** Removes all reports of other daemons, for use when the sources of reports change. */
  dropReports(): void {
    this.reports.clear();
  }

  /** Removes the last use times of a back end that is gone. */
  forgetBackEnd(backEndId: string): void {
    for (const key of this.lastUsedAt.keys()) {
      if (key.startsWith(`${backEndId} `)) this.lastUsedAt.delete(key);
    }
  }

  private addRequest(load: MutableLoad, size: WorkSize): WorkTicket {
    const heldTokens = size.promptTokens + size.outputTokens;
    load.requests += 1;
    load.unreadTokens += size.promptTokens;
    load.heldTokens += heldTokens;
    const run = { startedAt: this.clock.monotonic(), expectedMs: size.expectedMs ?? 0 };
    load.runs.add(run);
    let unreadTokens = size.promptTokens;
    let isOpen = true;
    const begun = (): void => {
      load.unreadTokens -= unreadTokens;
      unreadTokens = 0;
    };
    return {
      begun,
      ended: () => {
        if (!isOpen) return;
        isOpen = false;
        begun();
        load.runs.delete(run);
        load.requests -= 1;
        load.heldTokens -= heldTokens;
      },
    };
  }

  private ownLoad(backEndId: string, key: string): MutableLoad {
    let targets = this.ownLoadByBackEnd.get(backEndId);
    if (targets === undefined) {
      targets = new Map();
      this.ownLoadByBackEnd.set(backEndId, targets);
    }
    let load = targets.get(key);
    if (load === undefined) {
      load = { requests: 0, unreadTokens: 0, heldTokens: 0, lastStartedAt: -Infinity, runs: new Set() };
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
      if (report.receivedAt >= oldest) yield report;
    }
  }

  /** Treats a demand that exceeds the decayed previous one as a new request. */
  private recordDemandIncreases(source: string, weights: ReadonlyMap<string, number>): void {
    const now = this.clock.monotonic();
    const previous = this.reports.get(source);
    for (const [model, weight] of weights) {
      const remaining = decayedWeight(
        { weight: previous?.demand.get(model) ?? 0, updatedAt: previous?.receivedAt ?? now },
        now,
      );
      if (weight > remaining + MIN_DEMAND_INCREASE) this.lastRequestedAt.set(model, now);
    }
  }

  private removeExpired(): void {
    for (const [model, at] of this.lastRequestedAt) {
      if (this.clock.monotonic() - at > DEMAND_LIFETIME_MS) this.lastRequestedAt.delete(model);
    }
    const oldest = this.clock.monotonic() - DEMAND_LIFETIME_MS;
    for (const [source, report] of this.reports) {
      if (report.receivedAt < oldest) this.reports.delete(source);
    }
  }

  private ownLoads(): TargetLoad[] {
    const loads: TargetLoad[] = [];
    const now = this.clock.monotonic();
    const oldest = now - RECENT_USE_REPORT_MS;
    for (const [backEndId, targets] of this.ownLoadByBackEnd) {
      for (const [target, load] of targets) {
        const { requests, unreadTokens, heldTokens, lastStartedAt } = load;
        if (requests > 0 || lastStartedAt >= oldest) {
          loads.push({
            backEndId,
            target,
            requests,
            unreadTokens,
            heldTokens,
            endsInMs: Math.round(remainingRunMs(load, now)),
          });
        } else targets.delete(target);
      }
      if (targets.size === 0) this.ownLoadByBackEnd.delete(backEndId);
    }
    return loads;
  }

  private ownDemands(): ModelDemand[] {
    const now = this.clock.monotonic();
    const demands: ModelDemand[] = [];
    for (const [model, demand] of this.ownDemandByModel) {
      const weight = decayedWeight(demand, now);
      if (weight >= MIN_REPORTED_DEMAND) demands.push({ model, weight });
      else this.ownDemandByModel.delete(model);
    }
    return demands;
  }

  private ownDemand(model: string, now: number): number {
    const demand = this.ownDemandByModel.get(model);
    return demand === undefined ? 0 : decayedWeight(demand, now);
  }

  private recordUse(backEndId: string, target: string): void {
    this.lastUsedAt.set(lastUsedKey(backEndId, target), this.clock.monotonic());
  }
}

/** Returns the expected milliseconds until the last run of a load ends. */
function remainingRunMs({ runs }: MutableLoad, now: number): number {
  let latestMs = 0;
  for (const { startedAt, expectedMs } of runs)
    latestMs = Math.max(latestMs, remainingMs(expectedMs, now - startedAt));
  return latestMs;
}

/** Returns the expected milliseconds until the last request of a reported load ends, given the age of the report. */
function agedRemainingMs({ requests, endsInMs }: TargetLoad, ageMs: number): number {
  return requests === 0 ? 0 : Math.max(MIN_REMAINING_MS, endsInMs - ageMs);
}

/** Id under which the requests that wait for a model are reported. */
function waitingId(model: string, priority: number): string {
  return `${WAITING_ID_PREFIX}${String(priority)}/${model}`;
}

/** Returns the model of a {@link waitingId}; undefined for the id of a back end. */
function modelOfWaitingId(id: string): string | undefined {
  return id.startsWith(WAITING_ID_PREFIX)
    ? id.slice(id.indexOf('/', WAITING_ID_PREFIX.length) + 1)
    : undefined;
}

function lastUsedKey(backEndId: string, target: string): string {
  return `${backEndId} ${target}`;
}

/** Whether the key of a target is that of a model or of one of its adapters. */
export function isTargetOfModel(key: string, model: string): boolean {
  return key === model || (key.startsWith(model) && key.charAt(model.length) === '/');
}

function decayedWeight(demand: Demand, now: number): number {
  return demand.weight * 0.5 ** ((now - demand.updatedAt) / DEMAND_HALF_LIFE_MS);
}
