/** Quota ticket of one request; requests without a limited tenant need none. */
import type { QuotaOutcome, QuotaTicket, QuotaUrgency, RequestQuota } from './request-quota.js';
import { unitsOf } from './request-quota.js';
import type { Tenant } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** Why a request may not run now. */
export type AllowanceRefusal = Exclude<QuotaOutcome, { readonly kind: 'granted' }>;

/** Acquires and holds the quota ticket of one request. */
export class RequestAllowance {
  private ticket: QuotaTicket | undefined;

  constructor(
    private readonly quota: RequestQuota,
    private readonly tenant: Tenant | undefined,
    private readonly facts: RequestFacts,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the request may run now. A ticket may expire while the request waits for its model. */
  get isValid(): boolean {
    return this.tenant?.quota === undefined || this.ticket?.isValid() === true;
  }

  /** Acquires a ticket unless a valid one is held. @param withinMs Maximum useful wait, in milliseconds. */
  async acquire(withinMs: number, urgency: QuotaUrgency): Promise<AllowanceRefusal | undefined> {
    const { tenant } = this;
    if (tenant?.quota === undefined || this.isValid) return undefined;
    const units = unitsOf(tenant.quota, this.facts);
    const outcome = await this.quota.acquire(
      tenant.name,
      tenant.quota,
      units,
      withinMs,
      this.signal,
      urgency,
    );
    if (outcome.kind !== 'granted') return outcome;
    this.ticket = outcome.ticket;
    return undefined;
  }

  /** Consumes the ticket of a request that may have run; another run needs another ticket. */
  consume(): void {
    this.ticket = undefined;
  }

  /** Returns an unused ticket to the quota. */
  refund(): void {
    this.ticket?.refund();
    this.ticket = undefined;
  }
}
