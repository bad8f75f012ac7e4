/** Retry permits of one request. */
import type { Clock } from '@woodbarrow/runtime';
import type { RetryPermit, RetryWithheldReason } from './retry-allowance.js';
import type { RetryBudget } from './retry-budget.js';
import { RETRY_TRANSIT_MS } from './earned-retries.js';
import type { SendOutcome } from './send-attempt.js';

/** Acquires and holds the permit for the next send of one request, once an earlier send has reached a back end. */
export class RequestRetries {
  private hasArrived = false;
  private permit: RetryPermit | undefined;
  /** Permits of sends that have been made, until it is known when the last of them arrived. */
  private readonly used: RetryPermit[] = [];
  /** Sends of which it is not known whether they have arrived. */
  private openSends = 0;
  private mayArriveUntil = -Infinity;

  constructor(
    private readonly budget: RetryBudget,
    private readonly service: string,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the next send counts as a retry. */
  get isCounted(): boolean {
    return this.hasArrived;
  }

  /** Whether the request may be sent now. A permit may expire while the request waits for a back end. */
  get isValid(): boolean {
    return !this.hasArrived || this.permit?.isValid() === true;
  }

  /** Where the permit for the next send comes from; undefined if there is none. */
  get source(): RetryPermit['source'] | undefined {
    return this.permit?.source;
  }

  /** Acquires a permit unless none is needed or a valid one is held. Returns the reason if it is withheld. */
  async acquire(): Promise<RetryWithheldReason | undefined> {
    if (this.isValid) return undefined;
    this.refund();
    const outcome = await this.budget.acquire(this.service, this.signal);
    if (outcome.kind === 'withheld') return outcome.reason;
    this.permit = outcome.permit;
    return undefined;
  }

  /**
   * Notes a send. Of several sends of a request any but the first to arrive is a retry, so that its retries count until all sends have
   * arrived.
   *
   * @param outcome Head of its answer. Never rejects.
   */
  noteSent(outcome: Promise<SendOutcome>): void {
    this.openSends += 1;
    void outcome.then(({ kind }) => {
      this.openSends -= 1;
      const transitMs = kind === 'broken' ? RETRY_TRANSIT_MS : 0;
      this.mayArriveUntil = Math.max(this.mayArriveUntil, this.clock.elapsed() + transitMs);
      this.settleUsed();
    });
  }

  /** Records that a send reached a back end, which consumes the permit; a further send needs another one. */
  noteArrived(): void {
    this.hasArrived = true;
    if (this.permit !== undefined) this.used.push(this.permit);
    this.permit = undefined;
    this.settleUsed();
  }

  /** Returns an unused permit to the budget. */
  refund(): void {
    this.permit?.refund();
    this.permit = undefined;
  }

  private settleUsed(): void {
    if (this.openSends > 0) return;
    for (const permit of this.used.splice(0)) permit.settle(this.mayArriveUntil);
  }
}
