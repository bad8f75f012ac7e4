/** Tenants that requests run as. A tenant is identified by its keys, of which only digests are stored. */

/** Quota of a tenant over all daemons. */
export interface TenantQuota {
  /** Whether requests or tokens are counted. */
  readonly unit: 'requests' | 'tokens';
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Burst size in units. */
  readonly burst: number;
  /** Units of a request that states no token counts. */
  readonly plainTokens: number;
}

/** One tenant. */
export interface Tenant {
  readonly name: string;
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent if the tenant is not limited. */
  readonly quota?: TenantQuota;
}

/** A tenant with the digests of its keys. */
export interface KeyedTenant {
  readonly tenant: Tenant;
  readonly keyDigests: readonly string[];
}

/** All tenants of one configuration. */
export class TenantTable {
  private readonly byKey = new Map<string, Tenant>();
  private readonly byName: ReadonlyMap<string, Tenant>;

  /** @param entries In the order of the configuration. */
  constructor(readonly entries: readonly KeyedTenant[]) {
    this.byName = new Map(entries.map(({ tenant }) => [tenant.name, tenant]));
    for (const { tenant, keyDigests } of entries) {
      for (const digest of keyDigests) this.byKey.set(digest, tenant);
    }
  }

  named(name: string): Tenant | undefined {
    return this.byName.get(name);
  }

  /** Returns the tenant that a key belongs to. */
  holderOf(keyDigest: string): Tenant | undefined {
    return this.byKey.get(keyDigest);
  }
}
