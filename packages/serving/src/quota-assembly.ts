/** Assembles the parts of a daemon that limit tenants and retries over all daemons. */
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { ConfigurationHolder } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  QuotaGate,
  QuotaService,
  RetryAllowanceGate,
  RetryAllowanceService,
  type ZoneAuthority,
} from '@woodbarrow/quota';
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

/** Allocators that run on this daemon for the zones that it coordinates. */
export interface GrantServices {
  /** Allocators of the units of tenants' limits. */
  readonly quota: QuotaService;
  /** Allocators of the fixed allowance of retries. */
  readonly retries: RetryAllowanceService;
  /** Registers the call handlers, and works until `signal` aborts. The peer network must be listening. */
  run(signal: AbortSignal): Promise<void>;
  /** Must be called after each change of the zones that this daemon coordinates. */
  refreshZones(): void;
}

/** Creates the allocators for the zones that this daemon coordinates. */
export function createGrantServices({
  settings,
  ports,
  peers,
  configuration,
  log,
  residency,
}: QuotaParts & { readonly residency: ResidencyService }): GrantServices {
  const { zones } = settings;
  const { clock } = ports;
  const authorityOf = (zone: string): ZoneAuthority | undefined => residency.leaseHeld(zone);
  const quota = new QuotaService({
    zones,
    allowance: settings.quotaAllowance,
    quotaOf: (tenant) => configuration.current?.tenants?.named(tenant)?.quota,
    authorityOf,
    hasPriorities: settings.hasContendedCapacity,
    peers,
    clock,
    log,
  });
  const retries = new RetryAllowanceService({
    limit: settings.repeats,
    zones,
    authorityOf,
    peers,
    clock,
    log,
  });
  const services = [quota, retries];
  return {
    quota,
    retries,
    run: (signal) => {
      for (const service of services) service.start();
      return retries.run(signal);
    },
    refreshZones: () => {
      for (const service of services) service.refreshZones();
    },
  };
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

/** Creates the gate through which failed requests obtain retries of the fixed allowance. */
export function createRetryAllowanceGate({
  settings,
  ports,
  peers,
  failures,
  coordinators,
  isFirstMember,
}: Omit<QuotaParts, 'configuration' | 'log'> & {
  readonly coordinators: CoordinatorDirectory;
  readonly isFirstMember: () => boolean;
}): RetryAllowanceGate {
  return new RetryAllowanceGate({
    daemon: settings.name,
    zone: settings.zone,
    zones: settings.zones,
    limit: settings.repeats,
    isFirstMember,
    coordinators,
    peers,
    failures,
    clock: ports.clock,
  });
}
