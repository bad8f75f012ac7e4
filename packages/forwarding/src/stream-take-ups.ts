/**
 * Decides at which software version a stream goes on that its client takes up after a broken connection. It is the version of the worker
 * that brought the first event, perhaps to another daemon; where that is not known, the stream does not go on.
 */
import type { Route } from './route.js';
import type { RequestJournal } from './request-journal.js';
import type { StreamOrigin, StreamOrigins, OriginSource } from './stream-origins.js';
import type { RequestFacts } from './wire-dialect.js';

/** Period in which a stream may be taken up, as a multiple of the timeout of its route, which bounds each of its answers. */
const TAKE_UP_TIMEOUT_MULTIPLE = 2;
/** Least period in which a stream may be taken up, in milliseconds. */
const MIN_TAKE_UP_PERIOD_MS = 30_000;
/** Suggested delay before a stream of unknown origin is taken up again, in milliseconds; a daemon that knows it may be reached by then. */
const UNKNOWN_RETRY_MS = 1000;

/** How a request for a stream may go on. */
export type TakeUp =
  /** Not a take-up, or any version may go on. The service is set if it was chosen. */
  | { readonly kind: 'unbound'; readonly service?: string }
  | { readonly kind: 'bound'; readonly service: string; readonly softwareVersion: string }
  | { readonly kind: 'refused'; readonly cause: 'stream_origin_unknown'; readonly retryAfterMs: number };

const UNBOUND: TakeUp = { kind: 'unbound' };
const UNKNOWN: TakeUp = {
  kind: 'refused',
  cause: 'stream_origin_unknown',
  retryAfterMs: UNKNOWN_RETRY_MS,
};

/** Returns the period after its first event in which a stream may be taken up, in milliseconds. */
export function takeUpPeriodMs({ timeoutMs }: Route): number {
  return Math.max(MIN_TAKE_UP_PERIOD_MS, timeoutMs * TAKE_UP_TIMEOUT_MULTIPLE);
}

/** Returns the id under which the origin of a stream is remembered: that of the request that brought its first event. */
export function streamIdOf({ id, resumes, resumeAfter }: RequestFacts): string {
  return resumeAfter === undefined ? id : (resumes ?? id);
}

/** Take-ups at one daemon. */
export class StreamTakeUps {
  constructor(
    private readonly origins: StreamOrigins | undefined,
    private readonly journal: RequestJournal,
  ) {}

  /**
   * Resolves a request.
   *
   * @param chooseService Returns the service for a request of the route that is not bound to one.
   */
  async resolve(route: Route, facts: RequestFacts, chooseService: () => string): Promise<TakeUp> {
    const { origins } = this;
    if (origins === undefined || route.kind !== 'resumable_stream' || facts.resumeAfter === undefined)
      return UNBOUND;
    const lookup = facts.resumes === undefined ? undefined : await origins.find(facts.resumes);
    if (lookup?.kind === 'known') return this.bind(route, facts, lookup.origin, lookup.source, chooseService);
    // A daemon that is cut off from the others may not know of a version that has appeared since.
    if (lookup !== undefined && lookup.asked > 0 && lookup.answered === 0) return UNKNOWN;
    const service = chooseService();
    if (origins.hasNoVersions(service)) return { kind: 'unbound', service };
    const softwareVersion = origins.onlyVersion(service, takeUpPeriodMs(route));
    if (softwareVersion !== undefined)
      return this.bind(route, facts, { service, softwareVersion }, 'only_version', () => service);
    const origin = await this.findInStore(origins, service, facts.resumes);
    return origin === undefined ? UNKNOWN : this.bind(route, facts, origin, 'store', () => service);
  }

  private async findInStore(
    origins: StreamOrigins,
    service: string,
    resumes: string | undefined,
  ): Promise<StreamOrigin | undefined> {
    const softwareVersion = await origins.onlyVersionRecorded(service);
    if (softwareVersion !== undefined) return { service, softwareVersion };
    return resumes === undefined ? undefined : origins.findRecorded(resumes);
  }

  /** Goes on at the service that began the stream while the route still leads to it. */
  private bind(
    route: Route,
    facts: RequestFacts,
    { service, softwareVersion }: StreamOrigin,
    source: OriginSource,
    chooseService: () => string,
  ): TakeUp {
    const isTarget = route.targets.some((target) => target.service === service);
    const chosen = isTarget ? service : chooseService();
    const { id, resumes, resumeAfter } = facts;
    this.journal.decided('stream_taken_up', id, {
      resumes,
      resumeAfter,
      service: chosen,
      softwareVersion,
      source,
    });
    return { kind: 'bound', service: chosen, softwareVersion };
  }
}
