/**
 * Models that were asked for while no worker could make room for them: since when, how often, and why. What has waited longer
 * may displace more (see {@link UnservedModels.waitedMs}), and operators see what nobody gets.
 */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { NoPlaceCause, WantedModel } from './pending-demand.js';

/** A model that is not asked for during this time is not waited for any more, in milliseconds: longer than clients wait. */
const FORGET_AFTER_MS = 30_000;
/** Wait after which a line tells of a model, in milliseconds: longer than any load takes at full speed. */
const WARN_AFTER_MS = 8000;

/** One model that is waited for. */
interface UnservedModel {
  readonly service: string;
  readonly model: string;
  /** Monotonic time at which it was first asked for in vain. */
  readonly firstAskedAt: number;
  lastAskedAt: number;
  timesAsked: number;
  isReported: boolean;
}

/** Models of one zone's coordinator that are asked for in vain. */
export class UnservedModels {
  private readonly models = new Map<string, UnservedModel>();
  private readonly causes = new Map<NoPlaceCause, number>();

  constructor(
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Models that are waited for now. */
  get count(): number {
    return this.models.size;
  }

  /** Milliseconds since the model that is waited for longest was first asked for in vain; 0 without any. */
  get longestMs(): number {
    const now = this.clock.monotonic();
    return Math.max(0, ...[...this.models.values()].map(({ firstAskedAt }) => now - firstAskedAt));
  }

  /** Answers without a place since the start, by cause. */
  get byCause(): ReadonlyMap<NoPlaceCause, number> {
    return this.causes;
  }

  /** A model was asked for, and no worker could make room for it. */
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

  /** Milliseconds since a model was first asked for in vain; 0 when it is not waited for. */
  waitedMs(service: string, model: string): number {
    const unserved = this.models.get(keyOf(service, model));
    return unserved === undefined ? 0 : this.clock.monotonic() - unserved.firstAskedAt;
  }

  /** Drops the models that are resident by now, and those that nobody asks for any more. */
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
