/** Places for requests on workers: what the daemons report, and what this daemon has given to requests not yet sent. */
import type {
  BackEnd,
  BackEndLoad,
  BackendDirectory,
  EngineDefinition,
  LoadTracker,
  ModelTarget,
} from '@woodbarrow/backends';
import type { Clock, Random } from '@woodbarrow/runtime';
import {
  LOAD_REPORT_INTERVAL_MS,
  WorkerCapacity,
  freeSlots,
  type Competition,
  type WorkerUse,
} from './worker-capacity.js';

/** Least urgent priority. */
const LAST_PRIORITY = 9;

/** A place on a worker that was given to a request. */
export interface DispatchPlace {
  /** Ends the reservation: the request is in progress there, or will not be sent. Further calls have no effect. */
  release(outcome: 'sent' | 'unused'): void;
}

/** Size and urgency of a request that needs a place. */
export interface PlaceRequest {
  readonly target: ModelTarget;
  readonly engine: EngineDefinition;
  readonly priority: number;
  /** Prompt and expected output tokens. */
  readonly tokens: number;
  /** Continues a stream whose answer has begun; may take any free slot. */
  readonly isResumption: boolean;
}

interface Reserved {
  requests: number;
  tokens: number;
}

/** Places on the workers as known to one daemon. */
export class WorkerPlaces {
  private readonly capacity: WorkerCapacity;
  private readonly reservedByBackEnd = new Map<string, Reserved>();
  /** Loads read in the current pass over the queue; undefined outside of a pass. */
  private loadsInPass: Map<string, BackEndLoad> | undefined;
  /** Returns the mean duration of the runs of a service in milliseconds; undefined before any run has ended. */
  meanRunMs: (service: string) => number | undefined = () => undefined;
  /** Called when a place was returned without being used. */
  onReturned: () => void = () => undefined;

  constructor(
    private readonly directory: BackendDirectory,
    private readonly loads: LoadTracker,
    private readonly daemonCount: () => number,
    random: Random,
    clock: Clock,
  ) {
    this.capacity = new WorkerCapacity(random, clock);
  }

  /**
   * Runs a synchronous pass over the queue. Within it the load of a worker is added up over the reports once rather than
   * for each waiting request, and again after a place on the worker is taken or returned.
   */
  duringPass(pass: () => void): void {
    if (this.loadsInPass !== undefined) {
      pass();
      return;
    }
    this.loadsInPass = new Map();
    try {
      pass();
    } finally {
      this.loadsInPass = undefined;
    }
  }

  /** Whether this daemon may send a request to a worker now. */
  hasRoom(backEnd: BackEnd, request: PlaceRequest): boolean {
    if (request.isResumption) return this.isFree(backEnd, request);
    const use = this.useOf(backEnd.id, request.engine);
    return this.capacity.allows(backEnd.id, use, request.tokens, request.priority, () =>
      this.competition(backEnd, request),
    );
  }

  /** Whether a worker has a free slot and cache for a request, whatever the share of this daemon. */
  isFree(backEnd: BackEnd, { engine, tokens }: PlaceRequest): boolean {
    return freeSlots(this.useOf(backEnd.id, engine), tokens) > 0;
  }

  /** Reserves a place until the request is in progress. */
  take(backEnd: BackEnd, { priority, tokens }: PlaceRequest): DispatchPlace {
    const reserved = this.reservedByBackEnd.get(backEnd.id) ?? { requests: 0, tokens: 0 };
    this.reservedByBackEnd.set(backEnd.id, reserved);
    reserved.requests += 1;
    reserved.tokens += tokens;
    this.capacity.noteTaken(backEnd.id, priority);
    this.loadsInPass?.delete(backEnd.id);
    let isOpen = true;
    return {
      release: (outcome) => {
        if (!isOpen) return;
        isOpen = false;
        this.loadsInPass?.delete(backEnd.id);
        reserved.requests -= 1;
        reserved.tokens -= tokens;
        if (reserved.requests === 0) this.reservedByBackEnd.delete(backEnd.id);
        if (outcome === 'sent') return;
        this.capacity.noteReturned(backEnd.id, priority);
        this.onReturned();
      },
    };
  }

  /** Returns the requests in progress on a worker, with the places given to requests not yet sent. */
  useOf(backEndId: string, { slots, cacheTokens }: EngineDefinition): WorkerUse {
    const load = this.loadOf(backEndId);
    const reserved = this.reservedByBackEnd.get(backEndId);
    return {
      requests: load.requests + (reserved?.requests ?? 0),
      heldTokens: load.heldTokens + (reserved?.tokens ?? 0),
      slots,
      cacheTokens,
    };
  }

  /** Returns the requests of other daemons that wait for a model and are at least as urgent. */
  waitingElsewhere(model: string, priority: number): number {
    let waiting = 0;
    for (let level = 0; level <= priority; level += 1) waiting += this.elsewhere(model, level);
    return waiting;
  }

  private loadOf(backEndId: string): BackEndLoad {
    let load = this.loadsInPass?.get(backEndId);
    if (load === undefined) {
      load = this.loads.loadOf(backEndId);
      this.loadsInPass?.set(backEndId, load);
    }
    return load;
  }

  /** Expected competition for a worker, over all models that it holds. */
  private competition(backEnd: BackEnd, { target, priority }: PlaceRequest): Competition {
    const daemons = Math.max(1, this.daemonCount());
    if (daemons === 1)
      return { daemons: 1, own: 1, equal: 0, moreUrgent: 0, lessUrgent: 0, arrivals: 0, ending: 0 };
    let [own, equal, moreUrgent, lessUrgent] = [0, 0, 0, 0];
    for (const { name } of backEnd.models) {
      const holders = Math.max(1, this.directory.holdersOf(backEnd.service, { model: name }).length);
      own += this.loads.ownWaitingFor(name, priority) / holders;
      equal += this.elsewhere(name, priority) / holders;
      for (let level = 0; level < priority; level += 1) moreUrgent += this.elsewhere(name, level) / holders;
      for (let level = priority + 1; level <= LAST_PRIORITY; level += 1)
        lessUrgent += this.elsewhere(name, level) / holders;
    }
    const ending = this.endingOn(backEnd);
    const elsewhere = (daemons - 1) / daemons;
    equal += ending * elsewhere;
    const holders = this.directory.holdersOf(backEnd.service, target);
    const arrivals = holders.reduce((sum, holder) => sum + this.endingOn(holder), 0) * elsewhere;
    // Without a reported waiting request of its own, the daemon asks for a single one.
    return { daemons, own: own > 0 ? own : 1, equal, moreUrgent, lessUrgent, arrivals, ending };
  }

  private elsewhere(model: string, priority: number): number {
    return this.loads.waitingFor(model, priority) - this.loads.ownWaitingFor(model, priority);
  }

  /**
   * Expected number of runs that end on a worker within a report interval. As many are expected to be sent there, since
   * the work in progress changes little within an interval.
   */
  private endingOn({ id, service }: BackEnd): number {
    const meanMs = this.meanRunMs(service);
    return meanMs === undefined ? 0 : (this.loadOf(id).requests * LOAD_REPORT_INTERVAL_MS) / meanMs;
  }
}
