/** Chooses the least loaded healthy back end of a service without models. */
import type {
  BackEnd,
  BackendDirectory,
  LoadTracker,
  PaceView,
  ServiceDefinition,
} from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';
import {
  connectionsExhausted,
  refusal,
  runsVersion,
  VERSION_GONE_RETRY_MS,
  type BackendChoice,
} from './backend-choice.js';
import type { BackendHealth } from './backend-health.js';
import type { ConnectionShare } from './connection-share.js';
import type { SendPermits } from './send-permits.js';

/** Suggested retry delay when no back end accepts requests, in milliseconds. */
const NO_BACKEND_RETRY_MS = 100;
/** Cost of a back end in another zone, in requests in flight. */
const OTHER_ZONE_COST = 0.25;
/** Cost of a back end in backoff, in requests in flight; it is used only if there is no other. */
const AVOIDED_COST = 1000;
/** Cost of a failure outlier, in requests in flight. */
const OUTLIER_COST = 100;

/** Back-end selection for services without models. */
export class PlainSelector {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly loads: LoadTracker,
    private readonly connections: ConnectionShare,
    private readonly permits: SendPermits,
    private readonly zone: string,
    private readonly paces: PaceView,
  ) {}

  /**
   * Selects a back end.
   *
   * @param excluded Back ends that have declined or failed this request.
   * @param softwareVersion Version that the back end must run; any if undefined.
   */
  select(
    service: ServiceDefinition,
    health: BackendHealth,
    excluded: ReadonlySet<string>,
    softwareVersion?: string,
  ): BackendChoice {
    const available = this.directory
      .ofService(service.name)
      .filter((backEnd) => !backEnd.draining && runsVersion(backEnd, softwareVersion));
    const eligible = available.filter((backEnd) => !excluded.has(backEnd.id));
    if (softwareVersion !== undefined && eligible.length === 0)
      return refusal('software_version_gone', VERSION_GONE_RETRY_MS);
    const hasConnection = this.connections.limiterFor(service);
    const usable = eligible.filter(({ id }) => hasConnection(id) && this.permits.waitMs(id) === 0);
    const ids = available.map((backEnd) => backEnd.id);
    const best = leastBy(usable, (backEnd) => this.costOf(backEnd, health, ids));
    if (best === undefined) return this.refuse(available, eligible);
    return { kind: 'send', backEnd: best, reason: 'least_loaded' };
  }

  /**
   * @param available Back ends that are not draining; none of them can be sent to now.
   * @param eligible Available back ends that have not declined or failed the request.
   */
  private refuse(available: readonly BackEnd[], eligible: readonly BackEnd[]): BackendChoice {
    if (available.length === 0) return refusal('no_backend', NO_BACKEND_RETRY_MS);
    const candidates = eligible.length === 0 ? available : eligible;
    const waits = candidates.map(({ id }) => this.permits.waitMs(id));
    if (waits.every((waitMs) => waitMs > 0)) return refusal('not_accepting', Math.min(...waits));
    if (eligible.length === 0) return refusal('all_excluded', NO_BACKEND_RETRY_MS);
    const accepting = eligible.filter(({ id }) => this.permits.waitMs(id) === 0);
    return connectionsExhausted(accepting, NO_BACKEND_RETRY_MS);
  }

  private costOf(backEnd: BackEnd, health: BackendHealth, ids: readonly string[]): number {
    const { requests } = this.loads.loadOf(backEnd.id);
    let cost = (requests + 1) * health.slowness(backEnd.id) * this.paces.paceOf(backEnd.id);
    if (requests >= backEnd.slots) cost += requests;
    if (backEnd.zone !== this.zone) cost += OTHER_ZONE_COST;
    if (health.isAvoided(backEnd.id)) cost += AVOIDED_COST;
    if (health.isOutlier(backEnd.id, ids)) cost += OUTLIER_COST;
    return cost;
  }
}
