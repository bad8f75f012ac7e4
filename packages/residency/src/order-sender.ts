/**
 * Sends orders to one worker, one at a time. Every order names the number of orders the worker has taken, so that
 * one whose answer was lost becomes void as soon as another has been taken in its place.
 */
import { targetKey, type BackEnd, type BackendDirectory, type ModelTarget } from '@woodbarrow/backends';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { LoadQuarantine } from '@woodbarrow/quarantine';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { OrderClient, OrderOutcome, WorkerReport } from './order-client.js';

/** Right to give orders at this moment. */
export interface OrderAuthority {
  readonly holder: string;
  /** The fence to order under. @throws WoodbarrowError `lease_lost` when no order may be given now. */
  currentFence(): number;
}

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  readonly backEndId: string;
  readonly directory: BackendDirectory;
  readonly orders: OrderClient;
  readonly authority: OrderAuthority;
  /** Told of loads, so that a process that ends under one is noticed. */
  readonly quarantine: LoadQuarantine;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/**
 * What came of an order in the end.
 * - `surprised`: the worker has taken an order that this coordinator knows nothing of; what it holds must be
 *   learnt anew before anything else is ordered.
 */
export type FinalOutcome = 'accepted' | 'done' | 'refused' | 'unknown' | 'surprised';

/** Reports show a worker as it was up to this long before, in milliseconds. */
export const REPORT_LAG_MS = 350;
const MAX_SEND_ATTEMPTS = 10;
const CONFLICT_PAUSE_MS = 120;
const UNKNOWN_PAUSE_MS = 30;
/** Shortest pause after a conflict with an order that the worker is expected to be carrying out still, in milliseconds. */
const MIN_BUSY_PAUSE_MS = 25;
/** Further pauses, as a part of the time for which it has been busy: what is noticed late is late by this part at most. */
const BUSY_PAUSE_SHARE = 0.25;
/** Calls without an answer in a row after which nothing new is asked of a worker for a while. */
const MAX_UNANSWERED_CALLS = 2;
const UNRESPONSIVE_PAUSE_MS = 2000;
/** Conflicts after which a lower number of orders in a report is believed. */
const CONFLICTS_BEFORE_SEQUENCE_RESET = 3;

/** Sender for one incarnation of a worker. */
export class OrderSender {
  private sequence: number | undefined;
  private lastSentAt = -Infinity;
  private sending: Promise<unknown> = Promise.resolve();
  private queued = 0;
  /** Calls without an answer in a row, and when the last was given up. */
  private unansweredCalls = 0;
  private lastCallAt = -Infinity;
  /** Largest sequence under which an order was sent whose fate is unknown. */
  private uncertainSequence = -1;

  constructor(private readonly options: OrderSenderOptions) {}

  /** Orders that the worker is believed to have taken; undefined until the first report. */
  get expectedSequence(): number | undefined {
    return this.sequence;
  }

  /** Whether it has answered of late; one that has not is asked again after a while. */
  get isResponsive(): boolean {
    if (this.unansweredCalls < MAX_UNANSWERED_CALLS) return true;
    return this.options.clock.monotonic() - this.lastCallAt > UNRESPONSIVE_PAUSE_MS;
  }

  /** The worker's record. @throws WoodbarrowError when it is gone. */
  backEnd(): BackEnd {
    const backEnd = this.options.directory.get(this.options.backEndId);
    if (backEnd === undefined) throw new WoodbarrowError('engine_refused', 'the worker is gone');
    return backEnd;
  }

  /** A report, or undefined when none came. */
  async report(): Promise<WorkerReport | undefined> {
    const report = await this.options.orders.report(this.backEnd());
    if (report === 'ended') {
      this.options.directory.remove(this.options.backEndId);
      return undefined;
    }
    this.recordAnswer(report !== undefined);
    if (report === undefined) this.options.quarantine.unanswered(this.options.backEndId);
    else this.sequence ??= report.sequence;
    return report;
  }

  /** Whether a report shows all that came of the orders sent so far. */
  isSettled(report: WorkerReport): boolean {
    const mayLag = this.options.clock.monotonic() - this.lastSentAt <= REPORT_LAG_MS;
    const isIdle = !report.busy && report.incoming.length === 0 && this.queued === 0;
    return isIdle && !mayLag && report.sequence > this.uncertainSequence;
  }

  /** Tells what came of a load that was sent. */
  recordLoadResult(target: ModelTarget, isLoaded: boolean): void {
    const { directory, backEndId, quarantine } = this.options;
    const backEnd = directory.get(backEndId);
    // Of one that is gone the quarantine has been told.
    if (backEnd === undefined) return;
    if (isLoaded) quarantine.finished(backEnd, target);
    else quarantine.failed(backEnd, target);
  }

  /** Believes a report about the number of orders taken. */
  adoptSequence(report: WorkerReport): void {
    this.sequence = report.sequence;
  }

  /**
   * Sends an order after all before it have been answered.
   *
   * @param busyMs Time for which the worker may still be carrying out the order before: conflicts are expected.
   */
  send(operation: 'load' | 'unload', target: ModelTarget, busyMs = 0): Promise<FinalOutcome> {
    this.queued += 1;
    const result = this.sending.then(() => this.sendUntilSettled(operation, target, busyMs));
    this.sending = result
      .catch(() => undefined)
      .finally(() => {
        this.queued -= 1;
      });
    return result;
  }

  /**
   * Waits for the end of a load that the worker has taken, by ordering it again: it answers that it is carrying the order out
   * until the model is there, and then that it is there already, while its reports lag. None of these counts as an order taken.
   * One that is never answered, or carried out late, changes nothing: the model is there, or a newer order has been taken.
   *
   * @param withinMs Time after which it is given up.
   */
  awaitLoaded(target: ModelTarget, withinMs: number): Promise<FinalOutcome> {
    this.queued += 1;
    const result = this.sending.then(() => this.repeatUntilDone(target, withinMs));
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
      if (outcome !== 'accepted' && outcome !== 'conflict' && outcome !== 'unknown')
        return this.handleRefusal(outcome);
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
      // A load of what is there already is no order taken.
      if (outcome === 'accepted' || (outcome === 'done' && operation === 'unload'))
        this.sequence = (this.sequence ?? 0) + 1;
      if (outcome === 'accepted' || outcome === 'done') return outcome;
      if (outcome === 'unknown') {
        isUncertain = true;
        this.uncertainSequence = Math.max(this.uncertainSequence, this.sequence ?? 0);
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
    const outcome = await orders.send(backEnd, {
      operation,
      target,
      holder: authority.holder,
      fence,
      expectedSequence,
    });
    this.lastSentAt = clock.monotonic();
    const isAnswered = outcome !== 'unknown' && outcome !== 'unreachable';
    this.recordAnswer(isAnswered);
    if (operation === 'load' && (outcome === 'accepted' || outcome === 'unknown'))
      this.options.quarantine.ordered(backEnd, target, sentAt);
    if (!isAnswered) this.options.quarantine.unanswered(backEndId);
    log.changed('order_answered', {
      backEnd: backEndId,
      operation,
      target: targetKey(target),
      fence,
      sequence: expectedSequence,
      outcome,
    });
    // It may come back, so this is asked again like a lost answer.
    return isAnswered ? outcome : 'unknown';
  }

  private recordAnswer(isAnswered: boolean): void {
    this.unansweredCalls = isAnswered ? 0 : this.unansweredCalls + 1;
    this.lastCallAt = this.options.clock.monotonic();
  }

  /** Whether the worker has taken an order that was not sent from here. */
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
