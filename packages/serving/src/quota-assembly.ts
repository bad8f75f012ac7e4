/** Assembles the parts of a daemon that limit tenants over all daemons. */
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { ConfigurationHolder } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { QuotaGate, QuotaService } from '@woodbarrow/quota';
import type { ResidencyService } from '@woodbarrow/residency';
import type { ServingPorts } from './ports.js';
import type { ServingSettings } from './serving-settings.js';

/** Parts of the daemon that quotas need. */
export interface QuotaParts {
  readonly settings: ServingSettings;
  readonly ports: ServingPorts;
  readonly peers: PeerNetwork;
  readonly configuration: ConfigurationHolder;
  readonly failures: CallFailures;
  readonly log: EventLog;
}

/** Creates the allocator of units for the zones that this daemon coordinates. */
export function createQuotaService({
  settings,
  ports,
  peers,
  configuration,
  log,
  residency,
}: QuotaParts & { readonly residency: ResidencyService }): QuotaService {
  return new QuotaService({
    zones: settings.zones,
    allowance: settings.quotaAllowance,
    quotaOf: (tenant) => configuration.current?.tenants?.named(tenant)?.quota,
    authorityOf: (zone) => residency.leaseHeld(zone),
    hasPriorities: settings.hasContendedCapacity,
    peers,
    clock: ports.clock,
    log,
  });
}

/** Creates the gate through which requests of limited tenants obtain units. */
export function createQuotaGate({
  settings,
  ports,
  peers,
  failures,
  coordinators,
}: QuotaParts & { readonly coordinators: CoordinatorDirectory }): QuotaGate {
  return new QuotaGate({
    daemon: settings.name,
    zone: settings.zone,
    zones: settings.zones,
    allowance: settings.quotaAllowance,
    coordinators,
    peers,
    failures,
    clock: ports.clock,
    ...(settings.hasContendedCapacity ? { prioritiesWith: ports.random.fork() } : {}),
  });
}
