/** The right of one request to run, under the limit of its tenant; a request without a limited tenant needs none. */
import type { QuotaOutcome, QuotaTicket, RequestQuota } from './request-quota.js';
import { unitsOf } from './request-quota.js';
import type { Tenant } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** Why a request may not run now. */
export type AllowanceRefusal = Exclude<QuotaOutcome, { readonly kind: 'granted' }>;

/** Allowance of one request. */
export class RequestAllowance {
  private ticket: QuotaTicket | undefined;

  constructor(
    private readonly quota: RequestQuota,
    private readonly tenant: Tenant | undefined,
    private readonly facts: RequestFacts,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether it may run at this moment. What was obtained lapses while a request waits for its model. */
  get isValid(): boolean {
    return this.tenant?.quota === undefined || this.ticket?.isValid() === true;
  }

  /** Obtains the right to run once, unless it is there. @param withinMs Milliseconds for which it is of use to wait. */
  async acquire(withinMs: number): Promise<AllowanceRefusal | undefined> {
    const { tenant } = this;
    if (tenant?.quota === undefined || this.isValid) return undefined;
    const units = unitsOf(tenant.quota, this.facts);
    const outcome = await this.quota.acquire(tenant.name, tenant.quota, units, withinMs, this.signal);
    if (outcome.kind !== 'granted') return outcome;
    this.ticket = outcome.ticket;
    return undefined;
  }

  /** The request has run, or may have: another run needs another right. */
  consume(): void {
    this.ticket = undefined;
  }

  /** The request does not run any more: what it has not used is for others. */
  refund(): void {
    this.ticket?.giveBack();
    this.ticket = undefined;
  }
}
