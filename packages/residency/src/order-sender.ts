/**
 * Sends orders to one worker, one at a time. Every order carries the number of orders that the worker has
 * accepted, so that an order whose answer was lost becomes void once another has been accepted in its place.
 */
import {
  hasAdapter,
  servesTarget,
  targetKey,
  type BackEnd,
  type BackendDirectory,
  type ModelTarget,
} from '@woodbarrow/backends';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadQuarantine } from '@woodbarrow/quarantine';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { OrderClient, OrderOutcome, WorkerReport } from './order-client.js';
import { UncertainOrders, type UncertainOrderTotals } from './uncertain-orders.js';

/** Authority to give orders, derived from a lease. */
export interface OrderAuthority {
  readonly holder: string;
  /** Returns the fence for an order. @throws WoodbarrowError `lease_lost` when no order may be given now. */
  currentFence(): number;
  /** Whether no order may ever be given again under this authority. */
  isRevoked(): boolean;
}

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly orders: OrderClient;
  readonly authority: OrderAuthority;
  /** Notified of loads, so that a crash under a load is detected. */
  readonly quarantine: LoadQuarantine;
  readonly uncertainTotals: UncertainOrderTotals;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/**
 * Final outcome of an order.
 * - `surprised`: the worker has accepted an order that this coordinator did not send; its state must be read
 *   again before any further order.
 */
export type FinalOutcome = 'accepted' | 'done' | 'refused' | 'unknown' | 'surprised';

/** Maximum age of the state in a report, in milliseconds. */
export const REPORT_LAG_MS = 350;
const MAX_SEND_ATTEMPTS = 10;
const CONFLICT_PAUSE_MS = 120;
const UNKNOWN_PAUSE_MS = 30;
/** Minimum pause after a conflict while the worker should still be executing an order, in milliseconds. */
const MIN_BUSY_PAUSE_MS = 25;
/**
 * Pause between retries as a share of the time that the worker has been busy; bounds the relative detection
 * delay.
 */
const BUSY_PAUSE_SHARE = 0.25;
/** Number of consecutive unanswered calls after which a worker counts as unresponsive for a while. */
const MAX_UNANSWERED_CALLS = 2;
const UNRESPONSIVE_PAUSE_MS = 2000;
/** Number of conflicts after which a lower sequence in a report is accepted. */
const CONFLICTS_BEFORE_SEQUENCE_RESET = 3;

/**
 * Milliseconds for which an order that got no answer may still reach the worker: a sound worker may read nothing for
 * about a second.
 */
const MAX_ORDER_DELAY_MS = 1500;

/** Sends orders to one incarnation of a worker. */
export class OrderSender {
  private sequence: number | undefined;
  private lastSentAt = -Infinity;
  /** Call in progress, if there is one; and the monotonic start of the last call that got no answer. */
  private calling: Promise<unknown> = Promise.resolve();
  private lastUnansweredSentAt = -Infinity;
  private sending: Promise<unknown> = Promise.resolve();
  private queued = 0;
  /** Number of consecutive unanswered calls, and the monotonic time at which the last call ended. */
  private unansweredCalls = 0;
  private lastCallAt = -Infinity;
  private readonly uncertain: UncertainOrders;
  /** Loads that were sent again to settle their outcome, and whose result is not known yet. */
  private repeatedLoads: ModelTarget[] = [];

  constructor(private readonly options: OrderSenderOptions) {
    this.uncertain = new UncertainOrders({ ...options, totals: options.uncertainTotals });
  }

  /** Expected number of orders accepted by the worker; undefined until the first report. */
  get expectedSequence(): number | undefined {
    return this.sequence;
  }

  /** Whether the worker has answered recently. An unresponsive one is tried again after a pause. */
  get isResponsive(): boolean {
    if (this.unansweredCalls < MAX_UNANSWERED_CALLS) return true;
    return this.options.clock.monotonic() - this.lastCallAt > UNRESPONSIVE_PAUSE_MS;
  }

  /** Returns the worker's record. @throws WoodbarrowError when the worker is no longer in the directory. */
  backEnd(): BackEnd {
    const backEnd = this.options.directory.get(this.options.backEndId);
    if (backEnd === undefined)
      throw new WoodbarrowError('engine_refused', 'the worker is no longer in the directory');
    return backEnd;
  }

  /** Requests a report; undefined when none arrives. */
  async report(): Promise<WorkerReport | undefined> {
    const report = await this.options.orders.report(this.backEnd());
    if (report === 'ended') {
      this.options.directory.remove(this.options.backEndId);
      return undefined;
    }
    this.recordAnswer(report !== undefined);
    if (report === undefined) this.options.quarantine.noteUnanswered(this.options.backEndId);
    else this.sequence ??= report.sequence;
    return report;
  }

  /** Whether a report reflects the outcome of all orders sent so far. */
  isSettled(report: WorkerReport): boolean {
    this.uncertain.settleBelow(report.sequence);
    return this.isIdle(report) && this.uncertain.isEmpty;
  }

  /**
   * Sends the orders whose outcome is unknown once more, if the worker has nothing else to do. An order that never arrived
   * is executed now; one that may still arrive is either this one or void after it. Without this, a worker that no attempt
   * reached would never show that it has nothing to settle.
   *
   * @param report Latest report of the worker.
   * @throws WoodbarrowError `lease_lost` when no order may be given now.
   */
  async repeatUncertain(report: WorkerReport): Promise<void> {
    if (this.uncertain.isEmpty || !this.isIdle(report)) return;
    await this.enqueue(() => this.repeatUncertainAt(report.sequence));
  }

  /** Whether the worker has nothing to do, as far as a report of all calls so far tells. */
  private isIdle(report: WorkerReport): boolean {
    const mayLag = this.options.clock.monotonic() - this.lastSentAt <= REPORT_LAG_MS;
    return !report.busy && report.incoming.length === 0 && this.queued === 0 && !mayLag;
  }

  private async repeatUncertainAt(sequence: number): Promise<void> {
    for (const { operation, target } of this.uncertain.all) {
      const outcome = await this.sendOnce(operation, target, sequence);
      // The worker is busy with another order, or cannot be reached: its next report tells.
      if (outcome === 'conflict' || outcome === 'unknown' || outcome === 'unreachable') return;
      this.uncertain.settle(operation, target);
      if (outcome === 'gone') {
        this.handleRefusal(outcome);
        return;
      }
      if (operation === 'load') this.repeatedLoads.push(target);
      if (outcome === 'accepted') return;
    }
  }

  /** Reports the result of a load to the quarantine. */
  recordLoadResult(target: ModelTarget, isLoaded: boolean): void {
    const { directory, backEndId, quarantine } = this.options;
    const backEnd = directory.get(backEndId);
    // The quarantine was notified when the worker was removed.
    if (backEnd === undefined) return;
    if (isLoaded) quarantine.noteLoaded(backEnd, target);
    else quarantine.noteFailed(backEnd, target);
  }

  /** Adopts the sequence of a report that reflects all orders, and the results of loads that were sent again. */
  adopt(report: WorkerReport): void {
    this.sequence = report.sequence;
    const repeated = this.repeatedLoads;
    this.repeatedLoads = [];
    for (const target of repeated) this.recordLoadResult(target, isListed(report, target));
  }

  /**
   * Sends an order once all earlier ones have been answered.
   *
   * @param busyMs Milliseconds for which the worker may still execute the previous order, so that conflicts
   * are expected.
   */
  send(operation: 'load' | 'unload', target: ModelTarget, busyMs = 0): Promise<FinalOutcome> {
    return this.enqueue(() => this.sendUntilSettled(operation, target, busyMs));
  }

  /**
   * Waits for the end of an accepted load by ordering it again: the worker answers `accepted` while it loads
   * and `done` once the model is resident, without the delay of reports. Repeated orders do not count as
   * accepted. One that is lost or executed late has no effect: the model is already resident, or a newer
   * order has been accepted.
   *
   * @param withinMs Timeout in milliseconds.
   */
  awaitLoaded(target: ModelTarget, withinMs: number): Promise<FinalOutcome> {
    return this.enqueue(() => this.repeatUntilDone(target, withinMs));
  }

  /** Runs a task once all earlier ones have ended. */
  private enqueue<T>(task: () => Promise<T>): Promise<T> {
    this.queued += 1;
    const result = this.sending.then(task);
    this.sending = result
      .catch(() => undefined)
      .finally(() => {
        this.queued -= 1;
      });
    return result;
  }

  private async repeatUntilDone(target: ModelTarget, withinMs: number): Promise<FinalOutcome> {
    const { clock, signal } = this.options;
    const startedAt = clock.monotonic();
    let reportedAt = startedAt;
    while (!signal.aborted && clock.monotonic() - startedAt < withinMs) {
      const outcome = await this.sendOnce('load', target, this.sequence ?? 0);
      if (outcome === 'done') return 'done';
      const isPending = outcome === 'accepted' || outcome === 'conflict';
      const isUnanswered = outcome === 'unknown' || outcome === 'unreachable';
      if (!isPending && !isUnanswered) return this.handleRefusal(outcome);
      await sleep(clock, busyPauseMs(clock.monotonic() - startedAt), signal);
      if (clock.monotonic() - reportedAt <= REPORT_LAG_MS) continue;
      reportedAt = clock.monotonic();
      if (await this.hasForeignOrder(0)) return 'surprised';
    }
    return 'unknown';
  }

  private handleRefusal(outcome: OrderOutcome): FinalOutcome {
    if (outcome === 'gone') this.options.directory.remove(this.options.backEndId);
    return 'refused';
  }

  private async sendUntilSettled(
    operation: 'load' | 'unload',
    target: ModelTarget,
    busyMs: number,
  ): Promise<FinalOutcome> {
    const { clock, signal } = this.options;
    const startedAt = clock.monotonic();
    let isUncertain = false;
    let conflicts = 0;
    let reportedAt = startedAt;
    for (let attempt = 0; attempt < MAX_SEND_ATTEMPTS && !signal.aborted; attempt += 1) {
      if (this.sequence === undefined && (await this.report()) === undefined) {
        await sleep(clock, CONFLICT_PAUSE_MS, signal);
        continue;
      }
      const outcome = await this.sendOnce(operation, target, this.sequence ?? 0);
      // A load of a resident target does not advance the sequence.
      if (outcome === 'accepted' || (outcome === 'done' && operation === 'unload'))
        this.sequence = (this.sequence ?? 0) + 1;
      if (outcome === 'accepted' || outcome === 'done') {
        this.uncertain.settle(operation, target);
        return outcome;
      }
      if (outcome === 'unknown') {
        isUncertain = true;
        this.uncertain.add(operation, target, this.sequence ?? 0);
        await sleep(clock, UNKNOWN_PAUSE_MS, signal);
      } else if (outcome === 'unreachable') {
        // The process may come back. This attempt has not reached it and leaves nothing to settle.
        await sleep(clock, UNKNOWN_PAUSE_MS, signal);
      } else if (outcome === 'conflict' && !isUncertain && clock.monotonic() - startedAt < busyMs) {
        attempt -= 1;
        await sleep(clock, busyPauseMs(clock.monotonic() - startedAt), signal);
        if (clock.monotonic() - reportedAt <= REPORT_LAG_MS) continue;
        reportedAt = clock.monotonic();
        if (await this.hasForeignOrder(0)) return 'surprised';
      } else if (outcome === 'conflict') {
        conflicts += 1;
        await sleep(clock, CONFLICT_PAUSE_MS, signal);
        if (await this.hasForeignOrder(conflicts)) return isUncertain ? 'unknown' : 'surprised';
      } else {
        this.uncertain.settle(operation, target);
        return this.handleRefusal(outcome);
      }
    }
    return isUncertain ? 'unknown' : 'refused';
  }

  private async sendOnce(
    operation: 'load' | 'unload',
    target: ModelTarget,
    expectedSequence: number,
  ): Promise<OrderOutcome> {
    const { authority, clock, orders, log, backEndId } = this.options;
    const fence = authority.currentFence();
    const sentAt = clock.monotonic();
    this.lastSentAt = sentAt;
    const backEnd = this.backEnd();
    const call = orders.send(backEnd, {
      operation,
      target,
      holder: authority.holder,
      fence,
      expectedSequence,
    });
    this.calling = call;
    const outcome = await call;
    this.lastSentAt = clock.monotonic();
    const isAnswered = outcome !== 'unknown' && outcome !== 'unreachable';
    if (outcome === 'unknown') this.lastUnansweredSentAt = sentAt;
    this.recordAnswer(isAnswered);
    if (operation === 'load' && (outcome === 'accepted' || outcome === 'unknown'))
      this.options.quarantine.noteOrdered(backEnd, target, sentAt);
    if (!isAnswered) this.options.quarantine.noteUnanswered(backEndId);
    log.changed('order_answered', {
      backEnd: backEndId,
      operation,
      target: targetKey(target),
      fence,
      sequence: expectedSequence,
      outcome,
    });
    return outcome;
  }

  /**
   * Waits for the call in progress. Resolves with the milliseconds for which an order that got no answer may still
   * reach the worker.
   */
  async settleCalls(): Promise<number> {
    await this.calling;
    const ageMs = this.options.clock.monotonic() - this.lastUnansweredSentAt;
    return Math.max(0, MAX_ORDER_DELAY_MS - ageMs);
  }

  private recordAnswer(isAnswered: boolean): void {
    this.unansweredCalls = isAnswered ? 0 : this.unansweredCalls + 1;
    this.lastCallAt = this.options.clock.monotonic();
  }

  /** Whether the worker has accepted an order that was not sent from here. */
  private async hasForeignOrder(conflicts: number): Promise<boolean> {
    const report = await this.report();
    const sequence = this.sequence ?? 0;
    if (report === undefined || report.sequence === sequence) return false;
    if (report.sequence > sequence) return true;
    return conflicts >= CONFLICTS_BEFORE_SEQUENCE_RESET;
  }
}

function busyPauseMs(busyForMs: number): number {
  return Math.max(MIN_BUSY_PAUSE_MS, busyForMs * BUSY_PAUSE_SHARE);
}

function isListed(report: WorkerReport, target: ModelTarget): boolean {
  const held = report.models.find(({ name }) => name === target.model);
  if (held === undefined || !hasAdapter(target)) return held !== undefined;
  return held.adapters.some((copy) => servesTarget(copy, target));
}
