/**
 * Whether a zone's coordinator may order a load now. What has proved to end the workers that begin it is not ordered. A suspect, under
 * which a worker has ended, is ordered by one coordinator at a time, so that each further end is known before the next try.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { LoadQuarantine, Verdict } from '@woodbarrow/quarantine';
import type { Clock } from '@woodbarrow/runtime';
import type { DemandGroup } from './pending-demand.js';

/** Options of {@link LoadAdmission}. */
export interface LoadAdmissionOptions {
  readonly zone: string;
  /** Zones with workers that run models. */
  readonly zones: () => readonly string[];
  /** Milliseconds until a model that another zone loads now is expected there; Infinity when none does. */
  readonly expectedElsewhereInMs: (model: string) => number;
  readonly quarantine: LoadQuarantine;
  readonly clock: Clock;
}

/**
 * Time by which each further zone waits longer before it tries a suspect, in milliseconds, so that it hears of the zones before
 * it: an end is found out up to 300 ms after it was noticed, and coordinators tell every 300 ms what they load.
 */
const ZONE_STAGGER_MS = 600;

/** Admission of one zone's loads. */
export class LoadAdmission {
  constructor(private readonly options: LoadAdmissionOptions) {}

  /** Why a group's model is not loaded; undefined when it may be. */
  verdictOf({ service, model }: DemandGroup): Verdict | undefined {
    return this.options.quarantine.verdictOf(service, { model });
  }

  /**
   * Whether a load of a group's model may be ordered in this zone now.
   *
   * @param isLoadingHere Whether another load of the same model is under way in this zone.
   */
  mayBegin({ service, model, demands }: DemandGroup, isLoadingHere: boolean): boolean {
    const { quarantine, expectedElsewhereInMs, clock } = this.options;
    const lastCrashAt = quarantine.lastEndOf(service, { model });
    if (lastCrashAt === undefined) return true;
    if (isLoadingHere || quarantine.isUnderWay(service, { model })) return false;
    if (expectedElsewhereInMs(model) !== Infinity) return false;
    const wantedSince = Math.min(...demands.map(({ arrivedAt }) => arrivedAt));
    return clock.monotonic() - Math.max(lastCrashAt, wantedSince) >= this.staggerMs(model);
  }

  /** Time for which this zone leaves a suspect to the zones before it, in an order that all daemons agree on. */
  private staggerMs(model: string): number {
    const { zone, zones } = this.options;
    const candidates = zones().map((id) => ({ id }));
    const rank = rankByRendezvous(model, candidates).findIndex(({ id }) => id === zone);
    return Math.max(0, rank) * ZONE_STAGGER_MS;
  }
}
