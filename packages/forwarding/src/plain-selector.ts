/** Chooses among the back ends of a service without models: the least loaded sound one. */
import type { BackEnd, BackendDirectory, LoadBook, ServiceDefinition } from '@woodbarrow/backends';
import { leastBy } from '@woodbarrow/runtime';
import { refusal, type BackendChoice } from './backend-choice.js';
import type { BackendHealth } from './backend-health.js';
import type { ConnectionShare } from './connection-share.js';
import type { SendPermits } from './send-permits.js';

/** Time after which to come back when no back end takes requests, in milliseconds. */
const NO_BACKEND_RETRY_MS = 100;
/** Cost of a back end in another zone, as a share of one request under way. */
const OTHER_ZONE_COST = 0.25;
/** Cost of a back end that is avoided: used only when there is no other. */
const AVOIDED_COST = 1000;
/** Cost of a back end that fails more often than the others. */
const OUTLIER_COST = 100;

/** Chooser of one daemon for plain services. */
export class PlainSelector {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly loads: LoadBook,
    private readonly connections: ConnectionShare,
    private readonly permits: SendPermits,
    private readonly zone: string,
  ) {}

  /** @param excluded Back ends that have refused or failed this request. */
  select(service: ServiceDefinition, health: BackendHealth, excluded: ReadonlySet<string>): BackendChoice {
    const available = this.directory.ofService(service.name).filter((backEnd) => !backEnd.draining);
    const eligible = available.filter((backEnd) => !excluded.has(backEnd.id));
    const hasConnection = this.connections.limiterFor(service);
    const usable = eligible.filter(({ id }) => hasConnection(id) && this.permits.waitMs(id) === 0);
    const ids = available.map((backEnd) => backEnd.id);
    const best = leastBy(usable, (backEnd) => this.costOf(backEnd, health, ids));
    if (best === undefined) return this.refuse(available, eligible);
    return { kind: 'send', backEnd: best, reason: 'least_loaded' };
  }

  /**
   * @param available Back ends that are not draining, of which none can be sent to now.
   * @param eligible Those of them that have not refused or failed the request.
   */
  private refuse(available: readonly BackEnd[], eligible: readonly BackEnd[]): BackendChoice {
    if (available.length === 0) return refusal('no_backend', NO_BACKEND_RETRY_MS);
    const candidates = eligible.length === 0 ? available : eligible;
    const waits = candidates.map(({ id }) => this.permits.waitMs(id));
    if (waits.every((waitMs) => waitMs > 0)) return refusal('not_accepting', Math.min(...waits));
    return refusal(eligible.length === 0 ? 'all_excluded' : 'connections_exhausted', NO_BACKEND_RETRY_MS);
  }

  private costOf(backEnd: BackEnd, health: BackendHealth, ids: readonly string[]): number {
    const { requests } = this.loads.of(backEnd.id);
    let cost = (requests + 1) * health.slowness(backEnd.id);
    if (requests >= backEnd.slots) cost += requests;
    if (backEnd.zone !== this.zone) cost += OTHER_ZONE_COST;
    if (health.isAvoided(backEnd.id)) cost += AVOIDED_COST;
    if (health.isOutlier(backEnd.id, ids)) cost += OUTLIER_COST;
    return cost;
  }
}
