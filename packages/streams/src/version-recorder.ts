/**
 * Keeps a record of the software versions of each service at which a stream may have begun that can still be taken up. It is written
 * when a version appears, or has been gone for as long as such a stream may last. Daemons that have all started anew learn from it
 * whether there is anything to choose between.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import { errorMessage } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { sleep, Wakeup, type Clock } from '@woodbarrow/runtime';
import type { ObservedVersions } from './observed-versions.js';
import type { StreamPeer } from './origin-replication.js';
import type { StoredVersionRecord, StreamRecordStore } from './stream-records.js';

/** Options of {@link VersionRecorder}. */
export interface VersionRecorderOptions {
  readonly self: string;
  /** Returns the daemons that are present; this one may be among them. */
  readonly members: () => readonly StreamPeer[];
  readonly versions: ObservedVersions;
  /** Returns the milliseconds for which a stream of a service may be taken up after it began; undefined if none may. */
  readonly takeUpPeriodMs: (service: string) => number | undefined;
  /** Whether the back ends that this daemon knows are current. */
  readonly isViewCurrent: () => boolean;
  readonly records: StreamRecordStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Daemons that write the record: the others take over from the first where it cannot reach the store. */
const WRITER_COUNT = 3;
/** Delay of each further writer after a version has appeared, in milliseconds. */
const WRITER_DELAY_MS = 2000;
/** Interval at which the records are compared with what is observed, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Pause after a failed call to the store, in milliseconds. */
const RETRY_MS = 1000;

/** Writes the version records of one deployment, at the daemons that are selected for it. */
export class VersionRecorder {
  /** Records as this daemon last read or wrote them. */
  private readonly known = new Map<string, StoredVersionRecord>();
  private readonly wakeup = new Wakeup();
  /** Monotonic time since which the view of the back ends has been current without a gap. */
  private viewCurrentSince = Infinity;

  constructor(private readonly options: VersionRecorderOptions) {
    options.versions.onAppeared(() => {
      this.wakeup.wake();
    });
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, versions, isViewCurrent } = this.options;
    while (!signal.aborted) {
      if (!isViewCurrent()) this.viewCurrentSince = Infinity;
      else this.viewCurrentSince = Math.min(this.viewCurrentSince, clock.monotonic());
      for (const service of versions.services()) {
        if (signal.aborted) return;
        await this.tryUpdate(service, signal);
      }
      await this.wakeup.wait(clock, CHECK_INTERVAL_MS, signal);
    }
  }

  private async tryUpdate(service: string, signal: AbortSignal): Promise<void> {
    try {
      await this.update(service);
    } catch (error) {
      this.known.delete(service);
      this.options.log.warned('stream_versions_not_recorded', { service, cause: errorMessage(error) });
      await sleep(this.options.clock, RETRY_MS, signal);
    }
  }

  private async update(service: string): Promise<void> {
    const { records, log, takeUpPeriodMs } = this.options;
    const rank = this.writerRank();
    const periodMs = takeUpPeriodMs(service);
    if (rank === undefined || periodMs === undefined || this.isUpToDate(service, rank, periodMs)) return;
    const stored = this.known.get(service) ?? (await records.readVersions(service));
    const versions = this.versionsToRecord(service, periodMs, stored);
    if (versions === undefined) return;
    if (stored?.isCurrent === true && areSame(stored.record.versions, versions)) {
      this.known.set(service, stored);
      return;
    }
    const written = await records.writeVersions({ service, versions }, stored?.revision);
    if (written === undefined) {
      // Another daemon has written; the next check reads its record.
      this.known.delete(service);
      return;
    }
    this.known.set(service, written);
    log.changed('stream_versions_recorded', { service, versions: versions.join(','), rank });
  }

  /** Returns the place of this daemon among the writers; undefined if it is none of them. */
  private writerRank(): number | undefined {
    const { self, members } = this.options;
    const rank = rankByRendezvous('stream versions', members()).findIndex(({ id }) => id === self);
    return rank >= 0 && rank < WRITER_COUNT ? rank : undefined;
  }

  private isUpToDate(service: string, rank: number, periodMs: number): boolean {
    const known = this.known.get(service);
    const { versions, clock } = this.options;
    const isWaiting =
      rank > 0 && clock.monotonic() - versions.lastAppearedAt(service) < rank * WRITER_DELAY_MS;
    if (isWaiting) return true;
    if (known?.isCurrent !== true) return false;
    const wanted = this.versionsToRecord(service, periodMs, known) ?? known.record.versions;
    // Only the first writer removes versions.
    return rank === 0
      ? areSame(wanted, known.record.versions)
      : wanted.every((version) => known.record.versions.includes(version));
  }

  /**
   * Returns the versions that the record must name; undefined if this daemon does not know all of them. A recorded version stays until
   * this daemon has known the back ends without a gap, and none of that version, for as long as a stream may be taken up.
   */
  private versionsToRecord(
    service: string,
    periodMs: number,
    stored: StoredVersionRecord | undefined,
  ): string[] | undefined {
    const { versions, clock } = this.options;
    const seen = versions.seenWithin(service, periodMs);
    const knownSince = Math.max(versions.observedSince(service), this.viewCurrentSince);
    if (clock.monotonic() - knownSince >= periodMs) return seen;
    if (stored?.isCurrent === true) return [...new Set([...stored.record.versions, ...seen])].sort();
    return versions.isHistoryComplete ? seen : undefined;
  }
}

function areSame(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((version) => right.includes(version));
}
