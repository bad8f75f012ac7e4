/** Requests that wait at this daemon until a worker that holds their target has room. */
import type { BackEnd, BackendDirectory, LoadTracker, WorkTicket } from '@woodbarrow/backends';
import { leastBy, type CancelTimer, type Clock, type Random } from '@woodbarrow/runtime';
import { LessUrgentTurns, compareWaiting, longestWaitingBelow, type WaitingOrder } from './dispatch-order.js';
import {
  DISPATCH_POLL_MS,
  decideWithoutRoom,
  expectedWaitMs,
  expectedWaitOnWorkerMs,
  isPreemptionExpected,
  spreadRetryMs,
} from './dispatch-wait.js';
import type { RequestJournal } from './request-journal.js';
import { RunMix } from './run-mix.js';
import { WorkerPlaces, type DispatchPlace, type PlaceRequest } from './worker-places.js';

/**
 * Maximum number of waiting requests of one daemon. At its share of the demand a daemon has a few at a time; the limit
 * bounds the work of one pass over the queue and the bodies held in memory.
 */
export const MAX_WAITING_REQUESTS = 256;

/** A request that needs a place. Times are monotonic, in milliseconds. */
export interface DispatchRequest extends PlaceRequest, Omit<WaitingOrder, 'queuedAt'> {
  readonly id: string;
  readonly service: string;
  readonly signal: AbortSignal;
  /** Returns the workers that it could be sent to now, full or not. */
  holders(): readonly BackEnd[];
  /** Returns the best of the given workers. */
  cheapest(holders: readonly BackEnd[]): BackEnd | undefined;
  /** Called with the best holder when the request has to wait. */
  onQueued(backEnd: BackEnd): void;
}

/** How a wait ended. */
export type DispatchOutcome =
  | {
      readonly kind: 'placed';
      readonly backEnd: BackEnd;
      readonly place: DispatchPlace;
      readonly queuedMs: number;
      /** Sent to a full worker since its time is nearly up. */
      readonly isLastResort: boolean;
    }
  /** No worker holds the target any more. */
  | { readonly kind: 'no_holder' }
  | { readonly kind: 'full'; readonly retryAfterMs: number }
  | { readonly kind: 'aborted' };

/** Number of waiting requests, and counts since the start. */
export interface DispatchTotals {
  readonly waiting: number;
  /** Requests that had to wait. */
  readonly waited: number;
  /** Requests refused since all workers were full. */
  readonly refused: number;
  /** Requests sent to a full worker when their time was nearly up. */
  readonly lastResort: number;
}

interface Waiter extends WaitingOrder {
  readonly request: DispatchRequest;
  readonly settle: (outcome: DispatchOutcome) => void;
}

/** Queue of one daemon. */
export class DispatchQueue {
  private readonly waiting = new Set<Waiter>();
  private readonly turns = new LessUrgentTurns();
  private readonly runsByService = new Map<string, RunMix>();
  private readonly counts = { waited: 0, refused: 0, lastResort: 0 };
  private cancelPoll: CancelTimer | undefined;
  private isPassing = false;

  /** Places on the workers that requests of this queue get. */
  readonly places: WorkerPlaces;

  constructor(
    directory: BackendDirectory,
    private readonly loads: LoadTracker,
    private readonly journal: RequestJournal,
    daemonCount: () => number,
    private readonly random: Random,
    private readonly clock: Clock,
  ) {
    this.places = new WorkerPlaces(directory, loads, daemonCount, random.fork(), clock);
    this.places.meanRunMs = (service) => this.runsOf(service).meanMs;
    this.places.onReturned = () => {
      this.giveFreePlaces();
    };
  }

  get totals(): DispatchTotals {
    return { waiting: this.waiting.size, ...this.counts };
  }

  /** Resolves when the request has a place, or when it will not get one in time. The caller releases the place. */
  wait(request: DispatchRequest): Promise<DispatchOutcome> {
    if (request.signal.aborted) return Promise.resolve({ kind: 'aborted' });
    return new Promise((resolve) => {
      const waiter = this.enqueue(request, resolve);
      this.giveFreePlaces();
      if (!this.waiting.has(waiter)) return;
      const ahead = this.aheadOf(waiter);
      const waitMs = this.expectedWaitMs(waiter, ahead);
      const isTooLate = waitMs > request.startBy - this.clock.monotonic();
      if (!request.isResumption && (isTooLate || this.waiting.size > MAX_WAITING_REQUESTS)) {
        this.refuse(waiter);
        return;
      }
      this.counts.waited += 1;
      this.journal.decided('request_queued', request.id, {
        model: request.target.model,
        ahead,
        expectedMs: Math.round(waitMs),
      });
      const best = request.cheapest(request.holders());
      if (best !== undefined) request.onQueued(best);
      this.schedulePoll();
    });
  }

  /**
   * Gives the place of a request that has ended to a waiting one.
   *
   * @param ranMs Duration in milliseconds; undefined if the request did not run, which says nothing about others.
   */
  noteEnded(service: string, priority: number, ranMs: number | undefined): void {
    if (ranMs !== undefined) this.runsOf(service).record(priority, ranMs);
    this.giveFreePlaces();
  }

  private enqueue(request: DispatchRequest, resolve: (outcome: DispatchOutcome) => void): Waiter {
    const { priority, targetBy, startBy, isResumption, signal } = request;
    const ticket: WorkTicket = this.loads.startWaiting(request.target, priority);
    const onAbort = (): void => {
      waiter.settle({ kind: 'aborted' });
    };
    const waiter: Waiter = {
      priority,
      targetBy,
      startBy,
      isResumption,
      queuedAt: this.clock.monotonic(),
      request,
      settle: (outcome) => {
        this.waiting.delete(waiter);
        ticket.ended();
        signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      },
    };
    this.waiting.add(waiter);
    signal.addEventListener('abort', onAbort);
    return waiter;
  }

  private schedulePoll(): void {
    this.cancelPoll ??= this.clock.schedule(DISPATCH_POLL_MS, () => {
      this.cancelPoll = undefined;
      this.places.duringPass(() => {
        this.giveFreePlaces();
        for (const waiter of this.inOrder()) this.settleWithoutRoom(waiter);
      });
      if (this.waiting.size > 0) this.schedulePoll();
    });
  }

  /** Gives the free places to the waiting requests in their order. */
  private giveFreePlaces(): void {
    if (this.isPassing || this.waiting.size === 0) return;
    this.isPassing = true;
    try {
      this.places.duringPass(() => {
        for (const waiter of this.inOrder()) this.tryPlace(waiter);
      });
    } finally {
      this.isPassing = false;
    }
  }

  /** Tries to place one request; a less urgent one whose turn it is takes the place first, except from a resumed stream. */
  private tryPlace(waiter: Waiter): void {
    while (this.waiting.has(waiter)) {
      const { request } = waiter;
      const holders = request.holders();
      if (holders.length === 0) {
        waiter.settle({ kind: 'no_holder' });
        return;
      }
      const backEnd = request.cheapest(holders.filter((holder) => this.places.hasRoom(holder, request)));
      if (backEnd === undefined) return;
      const lessUrgent = this.lessUrgentFor(backEnd, waiter);
      const isTurn = lessUrgent !== undefined && this.turns.isDue(backEnd.id);
      if (!waiter.isResumption) this.turns.noteGiven(backEnd.id, lessUrgent !== undefined && !isTurn);
      this.place(isTurn ? lessUrgent : waiter, backEnd, false);
    }
  }

  private lessUrgentFor(backEnd: BackEnd, waiter: Waiter): Waiter | undefined {
    if (waiter.isResumption) return undefined;
    const candidates = [...this.waiting].filter(
      ({ priority, request }) =>
        priority > waiter.priority &&
        this.places.isFree(backEnd, request) &&
        request.holders().some(({ id }) => id === backEnd.id),
    );
    return longestWaitingBelow(waiter, candidates);
  }

  private place(waiter: Waiter, backEnd: BackEnd, isLastResort: boolean): void {
    const place = this.places.take(backEnd, waiter.request);
    const queuedMs = this.clock.monotonic() - waiter.queuedAt;
    waiter.settle({ kind: 'placed', backEnd, place, queuedMs, isLastResort });
  }

  /** Sends a request whose time is nearly up to a full worker, or refuses it. */
  private settleWithoutRoom(waiter: Waiter): void {
    if (!this.waiting.has(waiter)) return;
    const { request, startBy } = waiter;
    const requestsOn = ({ id }: BackEnd): number => this.places.useOf(id, request.engine).requests;
    const leastLoaded = leastBy(request.holders(), requestsOn);
    if (leastLoaded === undefined) return;
    const { slots } = request.engine;
    const requests = requestsOn(leastLoaded);
    const runs = this.runsOf(request.service);
    const now = this.clock.monotonic();
    const waitOnWorkerMs = expectedWaitOnWorkerMs(requests, slots, runs.meanMs);
    const decision = decideWithoutRoom({
      targetLeftMs: waiter.targetBy - now,
      startLeftMs: startBy - now,
      preempts: isPreemptionExpected(requests, slots, runs.lessUrgentShare(waiter.priority)),
      waitOnWorkerMs,
      // The wait on the worker contains the place that the request itself needs.
      waitBehindQueueMs: () => waitOnWorkerMs + this.expectedWaitMs(waiter, this.aheadOf(waiter) - 1),
    });
    if (decision === 'wait') return;
    if (decision === 'refuse' && !request.isResumption) {
      this.refuse(waiter);
      return;
    }
    this.counts.lastResort += 1;
    this.place(waiter, leastLoaded, true);
  }

  private refuse(waiter: Waiter): void {
    this.counts.refused += 1;
    const retryAfterMs = spreadRetryMs(this.expectedWaitMs(waiter, this.aheadOf(waiter)), this.random.next());
    waiter.settle({ kind: 'full', retryAfterMs });
  }

  private expectedWaitMs({ request }: Waiter, ahead: number): number {
    const { engine } = request;
    let running = 0;
    for (const { id } of request.holders())
      running += Math.min(engine.slots, this.places.useOf(id, engine).requests);
    return expectedWaitMs({
      ahead,
      running,
      meanRunMs: this.runsOf(request.service).meanMs,
    });
  }

  /** Number of requests that go before one for the same model, over all daemons. */
  private aheadOf(waiter: Waiter): number {
    const now = this.clock.monotonic();
    const { model } = waiter.request.target;
    let ahead = this.places.waitingElsewhere(model, waiter.priority);
    for (const other of this.waiting) {
      if (other === waiter || other.request.target.model !== model) continue;
      if (compareWaiting(other, waiter, now) <= 0) ahead += 1;
    }
    return ahead;
  }

  private runsOf(service: string): RunMix {
    let runs = this.runsByService.get(service);
    if (runs === undefined) {
      runs = new RunMix();
      this.runsByService.set(service, runs);
    }
    return runs;
  }

  private inOrder(): Waiter[] {
    const now = this.clock.monotonic();
    return [...this.waiting].sort((left, right) => compareWaiting(left, right, now));
  }
}
