/**
 * Decides whether a zone's coordinator may order a load now. A quarantined load is not ordered. A suspect,
 * under which a worker has crashed, is ordered by one coordinator at a time, so that every crash is known
 * before the next attempt.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { LoadQuarantine, Verdict } from '@woodbarrow/quarantine';
import type { Clock } from '@woodbarrow/runtime';
import type { DemandGroup } from './pending-demand.js';

/** Options of {@link LoadAdmission}. */
export interface LoadAdmissionOptions {
  readonly zone: string;
  /** Returns the zones with workers that run models. */
  readonly zones: () => readonly string[];
  /**
   * Returns the milliseconds until a model that another zone is loading should be resident there; Infinity
   * when none is loading it.
   */
  readonly expectedElsewhereInMs: (model: string) => number;
  readonly quarantine: LoadQuarantine;
  readonly clock: Clock;
}

/**
 * Additional delay per zone before it tries a suspect, in milliseconds. Covers the detection of a crash (up
 * to 300 ms) and the interval at which coordinators report their loads (300 ms), so that a zone knows the
 * attempts of the zones before it.
 */
const ZONE_STAGGER_MS = 600;

/** Admits the loads of one zone. */
export class LoadAdmission {
  constructor(private readonly options: LoadAdmissionOptions) {}

  /** Returns the verdict that forbids loading a group's model; undefined when it may be loaded. */
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
    const lastCrashAt = quarantine.lastCrashAt(service, { model });
    if (lastCrashAt === undefined) return true;
    if (isLoadingHere || quarantine.hasLoadInProgress(service, { model })) return false;
    if (expectedElsewhereInMs(model) !== Infinity) return false;
    const wantedSince = Math.min(...demands.map(({ arrivedAt }) => arrivedAt));
    return clock.monotonic() - Math.max(lastCrashAt, wantedSince) >= this.staggerMs(model);
  }

  /**
   * Returns the delay before this zone may try a suspect, in milliseconds, from an order on which all daemons
   * agree.
   */
  private staggerMs(model: string): number {
    const { zone, zones } = this.options;
    const candidates = zones().map((id) => ({ id }));
    const rank = rankByRendezvous(model, candidates).findIndex(({ id }) => id === zone);
    return Math.max(0, rank) * ZONE_STAGGER_MS;
  }
}
