/** Retry permits of one request. */
import type { RetryPermit, RetryWithheldReason } from './retry-allowance.js';
import type { RetryBudget } from './retry-budget.js';

/** Acquires and holds the permit for the next send of one request, once an earlier send has reached a back end. */
export class RequestRetries {
  private hasArrived = false;
  private permit: RetryPermit | undefined;

  constructor(
    private readonly budget: RetryBudget,
    private readonly service: string,
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
    const outcome = await this.budget.acquire(this.service, this.signal);
    if (outcome.kind === 'withheld') return outcome.reason;
    this.permit = outcome.permit;
    return undefined;
  }

  /** Records that a send reached a back end, which consumes the permit; a further send needs another one. */
  noteArrived(): void {
    this.hasArrived = true;
    this.permit = undefined;
  }

  /** Returns an unused permit to the budget. */
  refund(): void {
    this.permit?.refund();
    this.permit = undefined;
  }
}
