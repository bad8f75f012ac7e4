/** Generates the requests of a scenario's traffic with their send times. */
import type { Random } from '@woodbarrow/runtime';
import { draw, type DeploymentPlan, type TenantPlan } from '../scenario/expand-scenario.js';
import type { Scenario, ScenarioTraffic } from '../scenario/scenario-schema.js';
import type { CallerRequest } from './caller.js';

/** A request with its send time and the zone of its caller. */
export interface PlannedRequest {
  /** Milliseconds after the start of traffic. */
  readonly atMs: number;
  readonly request: CallerRequest;
  readonly retries: number;
  /** Zone of the caller. */
  readonly zone: string;
}

const SECONDS_PER_DAY = 86_400;
const SECONDS_PER_HOUR = 3600;

/** Returns all requests of a scenario, sorted by send time. */
export function planWorkload(scenario: Scenario, plan: DeploymentPlan, random: Random): PlannedRequest[] {
  const requests: PlannedRequest[] = [];
  for (const [index, traffic] of scenario.traffic.entries()) {
    const tenant = plan.tenants.find((candidate) => candidate.name === traffic.tenant);
    if (tenant === undefined)
      throw new Error(`traffic entry ${String(index)}: tenant ${traffic.tenant} does not exist`);
    const generator = new RequestGenerator(scenario, traffic, tenant, random.fork(), `t${String(index)}`);
    requests.push(...generator.generateAll());
  }
  return requests.sort((left, right) => left.atMs - right.atMs);
}

/** Generates the requests of one traffic entry. */
class RequestGenerator {
  private readonly models: readonly string[];
  private readonly weights: readonly number[];
  private count = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly traffic: ScenarioTraffic,
    private readonly tenant: TenantPlan,
    private readonly random: Random,
    private readonly label: string,
  ) {
    const models = tenant.groups.get(traffic.models);
    if (models === undefined)
      throw new Error(`model group ${traffic.models} does not exist for tenant ${tenant.name}`);
    this.models = random.shuffle(models);
    this.weights = this.models.map((_, rank) => 1 / (rank + 1) ** traffic.popularity);
  }

  generateAll(): PlannedRequest[] {
    const { arrivals } = this.traffic;
    switch (arrivals.type) {
      case 'poisson':
        return this.poisson(() => arrivals.perSecond, arrivals.perSecond);
      case 'daily':
        return this.poisson(
          (second) => dailyRate(arrivals.lowPerSecond, arrivals.highPerSecond, arrivals.peakHour, second),
          arrivals.highPerSecond,
        );
      case 'bursts':
        return this.bursts(arrivals.everySeconds, arrivals.size, arrivals.withinMs);
    }
  }

  /** Generates Poisson arrivals by thinning; `rateAt` must never exceed `highest`. */
  private poisson(rateAt: (second: number) => number, highest: number): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    for (let second = this.random.exponential(1 / highest); second < this.scenario.durationSeconds;) {
      if (this.random.next() * highest < rateAt(second))
        requests.push(this.generateOne(second * 1000, this.pickModel()));
      second += this.random.exponential(1 / highest);
    }
    return requests;
  }

  private bursts(everySeconds: number, size: number, withinMs: number): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    for (let second = this.random.exponential(everySeconds); second < this.scenario.durationSeconds;) {
      const model = this.pickModel();
      for (let index = 0; index < size; index += 1) {
        requests.push(this.generateOne(second * 1000 + this.random.next() * withinMs, model));
      }
      second += this.random.exponential(everySeconds);
    }
    return requests;
  }

  private pickModel(): string {
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.random.next() * total;
    for (const [index, weight] of this.weights.entries()) {
      left -= weight;
      if (left <= 0) return this.models[index] ?? '';
    }
    return this.models[0] ?? '';
  }

  private generateOne(atMs: number, model: string): PlannedRequest {
    const { traffic, random, tenant } = this;
    this.count += 1;
    const marker = `${this.label}-${String(this.count)}`;
    const adapters = tenant.adapters.get(model) ?? [];
    const adapter = random.next() < traffic.adapterShare ? random.pick(adapters) : undefined;
    const keyed = random.next() < traffic.keyedShare;
    const request: CallerRequest = {
      marker,
      tenant: tenant.name,
      token: tenant.callerToken,
      model: adapter ?? model,
      priorityClass: traffic.priorityClass,
      waitMs: traffic.waitMs === undefined ? undefined : Math.round(draw(traffic.waitMs, random)),
      tokens: Math.round(draw(traffic.tokens, random)),
      streaming: random.next() < traffic.streamingShare,
      idempotencyKey: keyed ? `key-${marker}` : undefined,
      notRepeatable: random.next() < traffic.notRepeatableShare,
    };
    const zone = random.pick(this.scenario.zones)?.name ?? '';
    return { atMs, request, retries: traffic.retries, zone };
  }
}

function dailyRate(low: number, high: number, peakHour: number, second: number): number {
  const peak = peakHour * SECONDS_PER_HOUR;
  const phase = (2 * Math.PI * (second - peak)) / SECONDS_PER_DAY;
  return low + ((high - low) * (1 + Math.cos(phase))) / 2;
}
