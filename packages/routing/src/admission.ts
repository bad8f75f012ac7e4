/** Admission of requests at one daemon: limits for each tenant, and fair shares between partners. */
import { WoodbarrowError } from '@woodbarrow/errors';

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  /** Requests that this daemon holds at once over all tenants. @default 4096 */
  readonly maximumRequests?: number;
}

const DEFAULT_MAXIMUM_REQUESTS = 4096;
/** Above this share of the daemon's limit, no partner may use more than its fair share. */
const BORROWING_THRESHOLD = 0.75;

/** Ends an admission. */
export type ReleaseAdmission = () => void;

/** Counts requests in progress and refuses those beyond the limits. */
export class Admission {
  private readonly byTenant = new Map<string, number>();
  private readonly byPartner = new Map<string, number>();
  private readonly maximumRequests: number;
  private total = 0;

  constructor(options: AdmissionOptions = {}) {
    this.maximumRequests = options.maximumRequests ?? DEFAULT_MAXIMUM_REQUESTS;
  }

  /** Requests in progress. */
  get active(): number {
    return this.total;
  }

  /**
   * Admits one request. A partner may borrow what others leave idle, until the daemon fills up.
   *
   * @param tenantLimit Requests of the tenant at once at one daemon.
   * @param partners Number of partners that share the deployment.
   * @throws WoodbarrowError `tenant_over_limit`, or `shed` when the daemon is full.
   */
  admit(tenant: string, partner: string, tenantLimit: number, partners: number): ReleaseAdmission {
    const tenantRequests = this.byTenant.get(tenant) ?? 0;
    if (tenantRequests >= tenantLimit) {
      throw new WoodbarrowError(
        'tenant_over_limit',
        `${tenant} has ${String(tenantRequests)} requests in progress here`,
      );
    }
    const partnerRequests = this.byPartner.get(partner) ?? 0;
    const fairShare = this.maximumRequests / Math.max(1, partners);
    const isNearCapacity = this.total >= this.maximumRequests * BORROWING_THRESHOLD;
    if (this.total >= this.maximumRequests || (isNearCapacity && partnerRequests >= fairShare)) {
      throw new WoodbarrowError('shed', 'this daemon holds as many requests as it can');
    }
    this.adjustCounts(tenant, partner, 1);
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.adjustCounts(tenant, partner, -1);
    };
  }

  private adjustCounts(tenant: string, partner: string, change: number): void {
    this.total += change;
    addToCount(this.byTenant, tenant, change);
    addToCount(this.byPartner, partner, change);
  }
}

function addToCount(counts: Map<string, number>, key: string, change: number): void {
  const next = (counts.get(key) ?? 0) + change;
  if (next === 0) counts.delete(key);
  else counts.set(key, next);
}
