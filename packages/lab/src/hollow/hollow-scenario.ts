/** Scenario of a hollow run: many daemons and simulated workers in one process, to measure coordination at scale. */
import { scenarioSchema, type Scenario } from '../scenario/scenario-schema.js';

/** Size of a hollow deployment. */
export interface HollowSize {
  readonly daemons: number;
  readonly zones: number;
  readonly regions: number;
  readonly workers: number;
  readonly models: number;
  readonly adapters: number;
  /** Requests per second over all tenants; the load stays low because only control traffic is measured. */
  readonly requestsPerSecond: number;
}

const MODELS_PER_TENANT = 100;

/** Creates the scenario for a deployment of the given size. */
export function hollowScenario(size: HollowSize): Scenario {
  const zones = Array.from({ length: size.zones }, (_, index) => ({
    name: `zone-${String(index + 1)}`,
    region: `region-${String((index % size.regions) + 1)}`,
    daemons: share(size.daemons, size.zones, index),
  }));
  const tenantCount = Math.max(2, Math.ceil(size.models / MODELS_PER_TENANT));
  const tenants = Array.from({ length: tenantCount }, (_, index) => ({
    name: `tenant-${String(index + 1)}`,
    partner: index % 2 === 0 ? 'first' : 'second',
    modelGroups: [
      {
        prefix: `m${String(index + 1)}`,
        count: share(size.models, tenantCount, index),
        adapters: share(size.adapters, tenantCount, index),
        memoryGib: [20, 60] as [number, number],
        replicas: { maximum: 2, maximumPerZone: 1 },
      },
    ],
  }));
  return scenarioSchema.parse({
    name: 'hollow',
    durationSeconds: 100_000,
    zones,
    latency: { sameZoneMs: 0.3, crossZoneMs: 1.2, crossRegionMs: 25, clientMs: 1 },
    workers: zones.map((zone, index) => ({
      zone: zone.name,
      count: share(size.workers, size.zones, index),
      memoryGib: 160,
      diskCacheShare: 0.02,
    })),
    weightStore: { concurrentLoads: 100, loadsPerSecond: 50 },
    tokensPerChunk: 64,
    tenants,
    traffic: tenants.map((tenant, index) => ({
      tenant: tenant.name,
      models: `m${String(index + 1)}`,
      arrivals: { type: 'poisson', perSecond: size.requestsPerSecond / tenantCount },
      popularity: 1,
    })),
  });
}

/** Returns part `index` of `total` split into `parts` nearly equal integers. */
function share(total: number, parts: number, index: number): number {
  return Math.floor(total / parts) + (index < total % parts ? 1 : 0);
}
