/** A daemon's granters of tenants' limits: one for each zone whose lease it holds. */
import type { TenantQuota } from '@woodbarrow/forwarding';
import { WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { quotaGrantMethod, type GrantAnswer, type QuotaGrantMessage } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { UnitAllocator, type GranterUse } from './unit-allocator.js';
import type { UnitAllowance } from './unit-share.js';
import { ZoneAllocators, type ZoneAuthority } from './zone-allocators.js';

/** Options of {@link QuotaService}. */
export interface QuotaServiceOptions {
  /** Zones of the deployment: each has a granter. */
  readonly zones: readonly string[];
  readonly allowance: UnitAllowance;
  /** The limit of a tenant now; undefined when it has none, or is not known. */
  readonly quotaOf: (tenant: string) => TenantQuota | undefined;
  /** The lease of a zone, while it is held here. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Granting side of one daemon. */
export class QuotaService {
  private readonly allocators: ZoneAllocators<UnitAllocator>;

  constructor(private readonly options: QuotaServiceOptions) {
    const { zones, allowance, quotaOf, authorityOf, clock, log } = options;
    this.allocators = new ZoneAllocators({
      authorityOf: (zone) => (zones.includes(zone) ? authorityOf(zone) : undefined),
      create: (startsAt) =>
        new UnitAllocator({ allowance, allocatorCount: zones.length, limitOf: quotaOf, startsAt, clock }),
      onCreated: (zone, fence, startsInMs) => {
        log.changed('quota_granter_started', { zone, fence, startsInMs: Math.round(startsInMs) });
      },
      clock,
    });
  }

  /** Starts answering. The peer network must be listening. */
  start(): void {
    this.options.peers.handle(quotaGrantMethod, (message) => this.grant(message));
  }

  /** Zones have been gained or given back: a granter begins to fill its buckets as soon as it may. */
  noteZones(): void {
    for (const zone of this.options.zones) this.allocators.of(zone);
  }

  /** Units handed out and turned down here, by tenant, over all zones held now. */
  use(): ReadonlyMap<string, GranterUse> {
    const sums = new Map<string, GranterUse>();
    for (const granter of this.allocators.all()) {
      for (const [tenant, { granted, turnedDown }] of granter.use()) {
        const sum = sums.get(tenant) ?? { granted: 0, turnedDown: 0 };
        sums.set(tenant, { granted: sum.granted + granted, turnedDown: sum.turnedDown + turnedDown });
      }
    }
    return sums;
  }

  private grant({ zone, tenant, ...wish }: QuotaGrantMessage): GrantAnswer {
    const allocator = this.allocators.activeOf(zone);
    if (allocator === undefined) throw new WoodbarrowError('not_leader', `no granter for ${zone} here`);
    return allocator.grant(tenant, wish);
  }
}
