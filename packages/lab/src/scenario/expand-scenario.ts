/** Expands a scenario into a deployment plan: machines, templates, tenants, caches and tokens. */
import type { TemplateParameters } from '@woodbarrow/configuration';
import { templateParametersSchema } from '@woodbarrow/configuration';
import { hashToken } from '@woodbarrow/gateway';
import type { Random } from '@woodbarrow/runtime';
import type { LoadTimes } from '@woodbarrow/standins';
import type { NumberOrRange, Scenario, ScenarioTenant } from './scenario-schema.js';

/** One daemon to start. */
export interface DaemonPlan {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
}

/** One worker to start. */
export interface WorkerPlan {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly accelerators: number;
  readonly memoryGib: number;
  readonly diskCache: readonly string[];
  readonly hostCache: readonly string[];
}

/** One tenant with its template parameters, models and adapters. */
export interface TenantPlan {
  readonly name: string;
  readonly partner: string;
  readonly parameters: TemplateParameters;
  readonly callerToken: string;
  /** Model names by group prefix. */
  readonly groups: ReadonlyMap<string, readonly string[]>;
  /** Adapter names by model name. */
  readonly adapters: ReadonlyMap<string, readonly string[]>;
}

/** Daemons, workers, tenants and tokens of a deployment. */
export interface DeploymentPlan {
  readonly daemons: readonly DaemonPlan[];
  readonly workers: readonly WorkerPlan[];
  readonly tenants: readonly TenantPlan[];
  /** Operator tokens by partner. */
  readonly operatorTokens: ReadonlyMap<string, string>;
  readonly administratorToken: string;
  /** Load times by checkpoint, `<model>@<version>`. */
  readonly loadTimes: ReadonlyMap<string, LoadTimes>;
}

/** Returns a number as it is, or draws one from a range. */
export function draw(value: NumberOrRange, random: Random): number {
  return typeof value === 'number' ? value : random.between(value[0], value[1]);
}

/** Expands a scenario. The result depends only on the scenario and the random source. */
export function expandScenario(scenario: Scenario, random: Random): DeploymentPlan {
  const tenants = scenario.tenants.map((tenant) => planTenant(tenant, random));
  const loadTimes = new Map<string, LoadTimes>();
  for (const tenant of tenants) {
    for (const model of tenant.parameters.models)
      loadTimes.set(`${model.name}@${model.version}`, model.loadSeconds);
  }
  const partners = new Set(tenants.map((tenant) => tenant.partner));
  return {
    daemons: scenario.zones.flatMap((zone) =>
      oneToN(zone.daemons).map((index) => ({
        id: `${zone.name}-d${String(index)}`,
        zone: zone.name,
        region: zone.region,
      })),
    ),
    workers: planWorkers(scenario, [...loadTimes.keys()], random),
    tenants,
    operatorTokens: new Map([...partners].map((partner) => [partner, `${partner}-operator-token`])),
    administratorToken: 'administrator-token',
    loadTimes,
  };
}

/** Returns the initial objects of the platform by key. */
export function initialObjects(
  scenario: Scenario,
  plan: DeploymentPlan,
): Map<string, Record<string, unknown>> {
  const objects = new Map<string, Record<string, unknown>>();
  objects.set('deployment/deployment', {
    zones: scenario.zones.map(({ name, region }) => ({ name, region })),
    weightStore: scenario.weightStore,
  });
  for (const [partner, token] of plan.operatorTokens) {
    objects.set(`partners/${partner}`, { tokens: [{ sha256: hashToken(token), role: 'operator' }] });
  }
  for (const tenant of plan.tenants) {
    objects.set(`templates/${tenant.name}`, {
      partner: tenant.partner,
      parameters: { ...tenant.parameters },
    });
    objects.set(`tenants/${tenant.name}`, {
      partner: tenant.partner,
      template: tenant.name,
      tokens: [{ sha256: hashToken(tenant.callerToken), role: 'caller' }],
    });
  }
  return objects;
}

function planTenant(tenant: ScenarioTenant, random: Random): TenantPlan {
  const groups = new Map<string, string[]>();
  const adapters = new Map<string, string[]>();
  const models: object[] = [];
  for (const group of tenant.modelGroups) {
    const names = oneToN(group.count).map((index) => `${group.prefix}-${String(index)}`);
    groups.set(group.prefix, names);
    for (const modelName of names) adapters.set(modelName, []);
    for (const index of oneToN(group.adapters)) {
      const base = names[index % names.length] ?? '';
      adapters.get(base)?.push(`${base}-adapter-${String(index)}`);
    }
    for (const modelName of names) {
      models.push({
        name: modelName,
        memoryGib: Math.round(draw(group.memoryGib, random)),
        concurrency: group.concurrency,
        loadSeconds: {
          host: draw(group.loadSeconds.host, random),
          disk: draw(group.loadSeconds.disk, random),
          remote: draw(group.loadSeconds.remote, random),
        },
        replicas: group.replicas,
        keepAlive: group.keepAlive,
        adapters: (adapters.get(modelName) ?? []).map((adapter) => ({ name: adapter })),
      });
    }
  }
  return {
    name: tenant.name,
    partner: tenant.partner,
    parameters: templateParametersSchema.parse({ ...tenant.parameters, models }),
    callerToken: `${tenant.name}-caller-token`,
    groups,
    adapters,
  };
}

function planWorkers(scenario: Scenario, checkpoints: readonly string[], random: Random): WorkerPlan[] {
  const regionOf = new Map(scenario.zones.map((zone) => [zone.name, zone.region]));
  let next = 0;
  return scenario.workers.flatMap((group) =>
    oneToN(group.count).map(() => {
      next += 1;
      return {
        id: `${group.zone}-w${String(next)}`,
        zone: group.zone,
        region: regionOf.get(group.zone) ?? 'default',
        accelerators: group.accelerators,
        memoryGib: group.memoryGib,
        diskCache: checkpoints.filter(() => random.next() < group.diskCacheShare),
        hostCache: random.shuffle(checkpoints).slice(0, group.hostCacheCount),
      };
    }),
  );
}

function oneToN(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
