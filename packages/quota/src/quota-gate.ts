/**
 * Enforces tenants' limits on one daemon. Requests units from the allocator of its own zone first,
 * then from those of the other zones.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { QuotaOutcome, RequestQuota, TenantQuota } from '@woodbarrow/forwarding';
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { quotaGrantMethod, type GrantAnswer, type GrantRequest } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { callAllocator } from './call-allocator.js';
import { UnitGate, type GateUsage } from './unit-gate.js';
import type { OvershootAllowance } from './unit-share.js';

/** Options of {@link QuotaGate}. */
export interface QuotaGateOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Zone of this daemon, whose allocator is called first. */
  readonly zone: string;
  /** Zones of the deployment. */
  readonly zones: readonly string[];
  readonly allowance: OvershootAllowance;
  readonly coordinators: CoordinatorDirectory;
  readonly peers: Pick<PeerNetwork, 'call'>;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** Acquires units of tenants' limits for the requests of one daemon. */
export class QuotaGate implements RequestQuota {
  private readonly gate: UnitGate;

  constructor(private readonly options: QuotaGateOptions) {
    const { allowance, zones, clock } = options;
    this.gate = new UnitGate({
      allowance,
      allocatorCount: zones.length,
      zonesFor: (tenant) => this.zonesInOrder(tenant),
      requestUnits: (zone, tenant, wish) => this.requestUnits(zone, tenant, wish),
      clock,
    });
  }

  acquire(
    tenant: string,
    quota: TenantQuota,
    units: number,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<QuotaOutcome> {
    return this.gate.acquire(tenant, quota, units, maxWaitMs, signal);
  }

  /** Returns the units used and refused since the start, by tenant. */
  usage(): ReadonlyMap<string, GateUsage> {
    return this.gate.usage();
  }

  private requestUnits(zone: string, tenant: string, wish: GrantRequest): Promise<GrantAnswer | undefined> {
    return callAllocator(this.options, zone, quotaGrantMethod, { zone, tenant, ...wish });
  }

  /**
   * Returns this daemon's zone, then the others in an order that depends on the daemon and the tenant,
   * which spreads the load over the allocators.
   */
  private zonesInOrder(tenant: string): string[] {
    const { zones, zone: own, daemon } = this.options;
    const others = zones.filter((zone) => zone !== own).map((id) => ({ id }));
    const ranked = rankByRendezvous(`${tenant} ${daemon}`, others).map(({ id }) => id);
    return zones.includes(own) ? [own, ...ranked] : ranked;
  }
}
