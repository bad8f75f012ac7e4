/** Sends demands for models to the coordinators of the zones, the most suitable zone first. */
import { targetKey, type BackendDirectory } from '@woodbarrow/backends';
import type { ResidencyClient, ResidencyDemand, ResidencyOutcome } from '@woodbarrow/forwarding';
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { CoordinatorDirectory } from '@woodbarrow/exchange';
import type { EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  residencyDemandMethod,
  type ResidencyDemandAnswer,
  type ResidencyDemandMessage,
} from '@woodbarrow/protocol';
import { settleWithin, sleep, type Clock } from '@woodbarrow/runtime';
import { LOADING_REASON } from './zone-residency.js';

/** Options of {@link DemandRouter}. */
export interface DemandRouterOptions {
  readonly directory: BackendDirectory;
  readonly coordinators: CoordinatorDirectory;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

const NO_COORDINATOR_PAUSE_MS = 100;
const RETRY_AFTER_MS = 300;
/** Pause between two looks at whether a coordinator still answers for its zone, in milliseconds. */
const COORDINATOR_CHECK_MS = 300;
/** Pause between two wishes for another replica of a model, in milliseconds. */
const REPLICA_PAUSE_MS = 1200;
/** Time in which another replica is of use, in milliseconds. */
const REPLICA_WITHIN_MS = 6000;
/** A demand under way that ends sooner than this is not joined by another request, in milliseconds. */
const LEAST_SHARED_MS = 50;

interface SharedDemand {
  readonly outcome: Promise<ResidencyOutcome>;
  readonly expiresAt: number;
}

/** One daemon's demands. Requests for the same target share one demand. */
export class DemandRouter implements ResidencyClient {
  private readonly shared = new Map<string, SharedDemand>();
  private readonly replicaWishes = new Map<string, number>();

  constructor(private readonly options: DemandRouterOptions) {}

  async request(demand: ResidencyDemand, signal: AbortSignal): Promise<ResidencyOutcome> {
    const shared = this.share(demand);
    return Promise.race([shared, whenAborted(signal)]);
  }

  requestReplica(service: string, model: string, priority: number): void {
    const { clock, directory } = this.options;
    const now = clock.monotonic();
    const key = `${service} ${model}`;
    if (now - (this.replicaWishes.get(key) ?? -Infinity) < REPLICA_PAUSE_MS) return;
    this.replicaWishes.set(key, now);
    const replicas = new Map<string, number>();
    for (const holder of directory.holdersOf(service, { model })) {
      replicas.set(holder.zone, (replicas.get(holder.zone) ?? 0) + 1);
    }
    const [zone] = this.zonesFor(service, model).sort(
      (left, right) => (replicas.get(left) ?? 0) - (replicas.get(right) ?? 0),
    );
    if (zone === undefined) return;
    const message = {
      zone,
      service,
      model,
      priority,
      without: [],
      withinMs: REPLICA_WITHIN_MS,
      another: true,
    };
    void this.ask(zone, message);
  }

  private share(demand: ResidencyDemand): Promise<ResidencyOutcome> {
    const key = [demand.service, targetKey(demand.target), demand.backEndId ?? '', ...demand.without].join(
      ' ',
    );
    const now = this.options.clock.monotonic();
    const known = this.shared.get(key);
    if (known !== undefined && known.expiresAt >= now + Math.min(demand.withinMs, LEAST_SHARED_MS))
      return known.outcome;
    const outcome = this.pursue(demand).finally(() => {
      if (this.shared.get(key)?.outcome === outcome) this.shared.delete(key);
    });
    this.shared.set(key, { outcome, expiresAt: now + demand.withinMs });
    return outcome;
  }

  private async pursue(demand: ResidencyDemand): Promise<ResidencyOutcome> {
    const { clock } = this.options;
    const deadline = clock.monotonic() + demand.withinMs;
    let reason = 'no_coordinator';
    let retryAfterMs = RETRY_AFTER_MS;
    while (clock.monotonic() < deadline) {
      const zones = this.zonesToAsk(demand);
      for (const zone of zones) {
        const answer = await this.ask(zone, messageOf(zone, demand, deadline - clock.monotonic()));
        if (answer === undefined) continue;
        if (answer.held) return { held: true, backEndId: answer.backEndId };
        reason = answer.reason;
        retryAfterMs = answer.retryAfterMs;
        if (reason === LOADING_REASON) return { held: false, retryAfterMs, reason };
      }
      if (zones.length > 0) break;
      await sleep(clock, NO_COORDINATOR_PAUSE_MS);
    }
    return { held: false, retryAfterMs, reason };
  }

  private zonesToAsk(demand: ResidencyDemand): string[] {
    if (demand.backEndId === undefined) return this.zonesFor(demand.service, demand.target.model);
    const zone = this.options.directory.get(demand.backEndId)?.zone;
    return zone !== undefined && this.options.coordinators.of(zone) !== undefined ? [zone] : [];
  }

  /** Zones with a coordinator: those with a copy of the weights at hand first, then always in the same order. */
  private zonesFor(service: string, model: string): string[] {
    const { directory, coordinators } = this.options;
    const nearby = new Map<string, number>();
    for (const backEnd of directory.ofService(service)) {
      if (backEnd.draining) continue;
      const isNear = backEnd.nearby.inMemory.includes(model) || backEnd.nearby.onDisk.includes(model);
      nearby.set(backEnd.zone, (nearby.get(backEnd.zone) ?? 0) + (isNear ? 1 : 0));
    }
    const zones = [...nearby.keys()]
      .filter((zone) => coordinators.of(zone) !== undefined)
      .map((id) => ({ id }));
    const ranked = rankByRendezvous(model, zones).map(({ id }) => id);
    const hasCopies = (zone: string): number => Math.sign(nearby.get(zone) ?? 0);
    return ranked.sort((left, right) => hasCopies(right) - hasCopies(left));
  }

  /** Undefined when the coordinator does not answer. */
  private async ask(
    zone: string,
    message: ResidencyDemandMessage,
  ): Promise<ResidencyDemandAnswer | undefined> {
    const { coordinators, peers, clock } = this.options;
    const coordinator = coordinators.of(zone);
    if (coordinator === undefined || message.withinMs <= 0) return undefined;
    const askedAt = clock.monotonic();
    const answered = peers
      .call(coordinator.address, residencyDemandMethod, message, { timeoutMs: message.withinMs })
      .catch(() => undefined);
    for (;;) {
      const settled = await settleWithin(clock, COORDINATOR_CHECK_MS, answered);
      const isStillThere = coordinators.of(zone)?.memberId === coordinator.memberId;
      if (!settled.timedOut || !isStillThere) {
        const answer = settled.timedOut ? undefined : settled.value;
        this.logAnswer(coordinator.memberId, message, clock.monotonic() - askedAt, answer);
        return answer;
      }
    }
  }

  private logAnswer(
    coordinator: string,
    { zone, model, adapter, withinMs }: ResidencyDemandMessage,
    tookMs: number,
    answer: ResidencyDemandAnswer | undefined,
  ): void {
    this.options.log.changed('demand_answered', {
      zone,
      coordinator,
      model,
      adapter,
      held: answer?.held ?? false,
      reason: answer?.reason ?? 'no answer',
      backEnd: answer?.held === true ? answer.backEndId : undefined,
      tookMs: Math.round(tookMs),
      withinMs,
    });
  }
}

function messageOf(zone: string, demand: ResidencyDemand, withinMs: number): ResidencyDemandMessage {
  return {
    zone,
    service: demand.service,
    ...demand.target,
    ...(demand.backEndId === undefined ? {} : { backEndId: demand.backEndId }),
    priority: demand.priority,
    without: demand.without,
    withinMs: Math.floor(withinMs),
  };
}

function whenAborted(signal: AbortSignal): Promise<ResidencyOutcome> {
  const outcome: ResidencyOutcome = { held: false, retryAfterMs: 0, reason: 'given_up' };
  if (signal.aborted) return Promise.resolve(outcome);
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => {
      resolve(outcome);
    });
  });
}
