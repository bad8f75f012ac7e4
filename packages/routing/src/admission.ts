/** Admission control of one daemon: a request limit for each tenant and fair shares between partners. */
import { WoodbarrowError } from '@woodbarrow/errors';

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  /** Maximum number of concurrent requests on this daemon, over all tenants. @default 4096 */
  readonly maximumRequests?: number;
}

const DEFAULT_MAXIMUM_REQUESTS = 4096;
/** Share of the daemon's limit in use above which a partner may no longer exceed its fair share. */
const BORROWING_THRESHOLD = 0.75;

/** Releases an admitted request; repeated calls have no effect. */
export type ReleaseAdmission = () => void;

/** Counts requests in progress and rejects those beyond the limits. */
export class Admission {
  private readonly byTenant = new Map<string, number>();
  private readonly byPartner = new Map<string, number>();
  private readonly maximumRequests: number;
  private total = 0;

  constructor(options: AdmissionOptions = {}) {
    this.maximumRequests = options.maximumRequests ?? DEFAULT_MAXIMUM_REQUESTS;
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.total;
  }

  /**
   * Admits one request. A partner may use the unused share of others until the daemon nears its limit.
   *
   * @param tenantLimit Maximum number of concurrent requests of the tenant on one daemon.
   * @param partners Number of partners that share the deployment.
   * @throws WoodbarrowError `tenant_over_limit`, or `shed` when the daemon or the partner's share is full.
   */
  admit(tenant: string, partner: string, tenantLimit: number, partners: number): ReleaseAdmission {
    const tenantRequests = this.byTenant.get(tenant) ?? 0;
    if (tenantRequests >= tenantLimit) {
      throw new WoodbarrowError(
        'tenant_over_limit',
        `tenant ${tenant} already has ${String(tenantRequests)} requests in progress on this daemon`,
      );
    }
    const partnerRequests = this.byPartner.get(partner) ?? 0;
    const fairShare = this.maximumRequests / Math.max(1, partners);
    const isNearCapacity = this.total >= this.maximumRequests * BORROWING_THRESHOLD;
    if (this.total >= this.maximumRequests || (isNearCapacity && partnerRequests >= fairShare)) {
      throw new WoodbarrowError(
        'shed',
        'this daemon is at its request limit, or near it with the partner above its fair share',
      );
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
