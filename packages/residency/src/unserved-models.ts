/**
 * Tracks models that were requested while no worker had capacity: since when, how often, and why. Models that
 * have waited longer may evict more (see {@link UnservedModels.waitedMs}); logs and metrics report them to
 * operators.
 */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { NoPlaceCause, WantedModel } from './pending-demand.js';

/**
 * A model that is not requested for this long is no longer tracked, in milliseconds; longer than clients
 * wait.
 */
const FORGET_AFTER_MS = 30_000;
/** Wait after which a warning is logged, in milliseconds; longer than any load at full speed. */
const WARN_AFTER_MS = 8000;

/** A model that could not be served. */
interface UnservedModel {
  readonly service: string;
  readonly model: string;
  /** Monotonic time of the first request that was not served. */
  readonly firstAskedAt: number;
  lastAskedAt: number;
  timesAsked: number;
  isReported: boolean;
}

/** Unserved models of one zone's coordinator. */
export class UnservedModels {
  private readonly models = new Map<string, UnservedModel>();
  private readonly causes = new Map<NoPlaceCause, number>();

  constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Number of unserved models. */
  get count(): number {
    return this.models.size;
  }

  /** Longest wait of an unserved model in milliseconds; 0 without any. */
  get longestMs(): number {
    const now = this.clock.monotonic();
    return Math.max(0, ...[...this.models.values()].map(({ firstAskedAt }) => now - firstAskedAt));
  }

  /** Refusals for lack of capacity since the start, by cause. */
  get byCause(): ReadonlyMap<NoPlaceCause, number> {
    return this.causes;
  }

  /** Records a request for a model that no worker could load. */
  recordRefusal({ service, model }: WantedModel, cause: NoPlaceCause): void {
    const now = this.clock.monotonic();
    this.causes.set(cause, (this.causes.get(cause) ?? 0) + 1);
    const key = keyOf(service, model);
    const existing = this.models.get(key);
    const unserved = existing ?? {
      service,
      model,
      firstAskedAt: now,
      lastAskedAt: now,
      timesAsked: 0,
      isReported: false,
    };
    this.models.set(key, unserved);
    unserved.lastAskedAt = now;
    unserved.timesAsked += 1;
    const waitedMs = Math.round(now - unserved.firstAskedAt);
    if (unserved.isReported || waitedMs < WARN_AFTER_MS) return;
    unserved.isReported = true;
    const { timesAsked } = unserved;
    this.log.warned('model_unserved', { zone: this.zone, model, cause, timesAsked, waitedMs });
  }

  /** Returns the milliseconds since the first unserved request for a model; 0 when it is not tracked. */
  waitedMs(service: string, model: string): number {
    const unserved = this.models.get(keyOf(service, model));
    return unserved === undefined ? 0 : this.clock.monotonic() - unserved.firstAskedAt;
  }

  /** Removes models that are resident by now or no longer requested. */
  removeServed(isResident: (service: string, model: string) => boolean): void {
    const now = this.clock.monotonic();
    for (const [key, { service, model, lastAskedAt }] of this.models) {
      if (now - lastAskedAt > FORGET_AFTER_MS || isResident(service, model)) this.models.delete(key);
    }
  }
}

function keyOf(service: string, model: string): string {
  return `${service} ${model}`;
}
