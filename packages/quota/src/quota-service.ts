/** Runs the allocators of tenants' limits: one for each zone whose lease this daemon holds. */
import type { TenantQuota } from '@woodbarrow/forwarding';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { quotaGrantMethod, type GrantAnswer, type QuotaGrantMessage } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { UnitAllocator, type AllocatorUsage } from './unit-allocator.js';
import type { OvershootAllowance } from './unit-share.js';
import { ZoneAllocators, type ZoneAuthority } from './zone-allocators.js';

/** Options of {@link QuotaService}. */
export interface QuotaServiceOptions {
  /** Zones of the deployment. Each has one allocator. */
  readonly zones: readonly string[];
  readonly allowance: OvershootAllowance;
  /** Returns the current limit of a tenant; undefined if it has none or is unknown. */
  readonly quotaOf: (tenant: string) => TenantQuota | undefined;
  /** Returns the lease of a zone while this daemon holds it. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  /** Whether units are divided among the priorities of the requests. @default false */
  readonly hasPriorities?: boolean;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Serves the quota allocation calls of other daemons. */
export class QuotaService {
  private readonly allocators: ZoneAllocators<UnitAllocator>;

  constructor(private readonly options: QuotaServiceOptions) {
    const { zones, allowance, quotaOf, authorityOf, hasPriorities = false, clock, log } = options;
    this.allocators = new ZoneAllocators({
      authorityOf: (zone) => (zones.includes(zone) ? authorityOf(zone) : undefined),
      create: (startsAt) =>
        new UnitAllocator({
          allowance,
          allocatorCount: zones.length,
          limitOf: quotaOf,
          startsAt,
          hasPriorities,
          clock,
        }),
      onCreated: (zone, fence, startsInMs) => {
        log.changed('quota_granter_started', { zone, fence, startsInMs: Math.round(startsInMs) });
      },
      clock,
    });
  }

  /** Registers the call handler. The peer network must be listening. */
  start(): void {
    this.options.peers.handle(quotaGrantMethod, (message) => this.grant(message));
  }

  /**
   * Creates and drops allocators after a change of the held zones, so that their buckets begin to fill
   * at once.
   */
  refreshZones(): void {
    for (const zone of this.options.zones) this.allocators.of(zone);
  }

  /** Returns the units granted and refused by this daemon, by tenant, summed over the zones held now. */
  usage(): ReadonlyMap<string, AllocatorUsage> {
    const sums = new Map<string, AllocatorUsage>();
    for (const allocator of this.allocators.all()) {
      for (const [tenant, { granted, turnedDown }] of allocator.usage()) {
        const sum = sums.get(tenant) ?? { granted: 0, turnedDown: 0 };
        sums.set(tenant, { granted: sum.granted + granted, turnedDown: sum.turnedDown + turnedDown });
      }
    }
    return sums;
  }

  private grant({ zone, tenant, ...wish }: QuotaGrantMessage): GrantAnswer {
    const allocator = this.allocators.activeOf(zone);
    if (allocator === undefined)
      throw new WoodbarrowError('not_leader', `this daemon has no active allocator for zone ${zone}`);
    return allocator.grant(tenant, wish);
  }
}
