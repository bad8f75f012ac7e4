/**
 * Work under way on each back end: this daemon's own, known at once, and that of its peers, as they last
 * reported it. Also when targets were last used, and what is asked for.
 */
import type { Clock } from '@woodbarrow/runtime';
import { targetKey, type ModelTarget } from './model-name.js';

/** Work under way for one target on one back end. */
export interface TargetLoad {
  readonly backEndId: string;
  /** Empty for back ends without models. */
  readonly target: string;
  readonly requests: number;
  /** Prompt tokens of requests that have not begun to answer. */
  readonly unreadTokens: number;
  /** Prompt and expected output tokens of all requests under way. */
  readonly heldTokens: number;
  /** Requests begun since the previous report. */
  readonly started: number;
}

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
}

/** Milliseconds after which a peer's report no longer counts. */
const REPORT_LIFETIME_MS = 2000;
/** Stands for requests that ask for a model, wherever they are sent. */
const NO_BACK_END = '';
/** Half-life of the demand for a model, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 4000;

interface MutableLoad {
  requests: number;
  unreadTokens: number;
  heldTokens: number;
  started: number;
}

interface PeerReport {
  readonly at: number;
  readonly loads: readonly TargetLoad[];
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
  private readonly reports = new Map<string, PeerReport>();
  /** When each target was last used on each back end, monotonic. */
  private readonly lastUsed = new Map<string, number>();
  private readonly demand = new Map<string, Demand>();

  constructor(private readonly clock: Clock) {}

  /** Notes a request that is being sent to a back end. */
  start(backEndId: string, target: ModelTarget | undefined, size: WorkSize): WorkTicket {
    const key = target === undefined ? '' : targetKey(target);
    const load = this.ownLoad(backEndId, key);
    const held = size.promptTokens + size.outputTokens;
    load.requests += 1;
    load.unreadTokens += size.promptTokens;
    load.heldTokens += held;
    load.started += 1;
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
        load.requests -= 1;
        load.heldTokens -= held;
      },
    };
  }

  /** Notes a request that asks for a model, whether or not a back end can take it. */
  noteDemand(model: string): void {
    this.ownLoad(NO_BACK_END, model).started += 1;
    this.addDemand(model, 1);
  }

  /** Recent requests that asked for a model, over all daemons, older ones counting less. */
  demandFor(model: string): number {
    const demand = this.demand.get(model);
    return demand === undefined ? 0 : decayed(demand, this.clock.monotonic());
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
      for (const load of report.loads) {
        if (load.backEndId === backEndId && belongsTo(load.target, model)) requests += load.requests;
      }
    }
    return requests;
  }

  /** Milliseconds since a target was last used on a back end; Infinity when never. */
  idleMs(backEndId: string, target: string): number {
    const at = this.lastUsed.get(useKey(backEndId, target));
    return at === undefined ? Infinity : this.clock.monotonic() - at;
  }

  /** This daemon's own work, for its peers; begins a new count of started requests. */
  takeReport(): TargetLoad[] {
    const loads: TargetLoad[] = [];
    for (const [backEndId, targets] of this.own) {
      for (const [target, load] of targets) {
        if (load.requests > 0 || load.started > 0) loads.push({ backEndId, target, ...load });
        load.started = 0;
        if (load.requests === 0) targets.delete(target);
      }
      if (targets.size === 0) this.own.delete(backEndId);
    }
    return loads;
  }

  /** Takes a peer's report; it replaces the one before. */
  acceptReport(peer: string, loads: readonly TargetLoad[]): void {
    this.reports.set(peer, { at: this.clock.monotonic(), loads });
    for (const load of loads) {
      if (load.started === 0) continue;
      if (load.backEndId === NO_BACK_END) this.addDemand(load.target, load.started);
      else this.noteUse(load.backEndId, load.target);
    }
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
      load = { requests: 0, unreadTokens: 0, heldTokens: 0, started: 0 };
      targets.set(key, load);
    }
    return load;
  }

  private peerLoad(backEndId: string): BackEndLoad {
    let sum: { -readonly [Field in keyof BackEndLoad]: BackEndLoad[Field] } | undefined;
    for (const report of this.freshReports()) {
      for (const load of report.loads) {
        if (load.backEndId !== backEndId) continue;
        sum ??= { ...NO_LOAD };
        sum.requests += load.requests;
        sum.unreadTokens += load.unreadTokens;
        sum.heldTokens += load.heldTokens;
      }
    }
    return sum ?? NO_LOAD;
  }

  private *freshReports(): Generator<PeerReport> {
    const oldest = this.clock.monotonic() - REPORT_LIFETIME_MS;
    for (const report of this.reports.values()) {
      if (report.at >= oldest) yield report;
    }
  }

  private noteUse(backEndId: string, target: string): void {
    this.lastUsed.set(useKey(backEndId, target), this.clock.monotonic());
  }

  private addDemand(model: string, count: number): void {
    const now = this.clock.monotonic();
    const demand = this.demand.get(model);
    const before = demand === undefined ? 0 : decayed(demand, now);
    this.demand.set(model, { weight: before + count, at: now });
  }
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
