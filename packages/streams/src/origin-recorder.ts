/**
 * Stores where the streams of this daemon began while their service has more than one software version, so that they may go on after
 * all daemons were killed. With one version there is nothing to choose between, and nothing is stored.
 */
import { errorMessage } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { StreamOriginEntry } from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { ObservedVersions } from './observed-versions.js';
import { toEntry } from './origin-entries.js';
import type { StoredOrigin } from './origin-table.js';
import type { StreamRecordStore } from './stream-records.js';

/** Options of {@link OriginRecorder}. */
export interface OriginRecorderOptions {
  readonly self: string;
  readonly versions: ObservedVersions;
  /** Returns the milliseconds for which a stream of a service may be taken up after it began; undefined if none may. */
  readonly takeUpPeriodMs: (service: string) => number | undefined;
  /** Returns the number of daemons that share the store. */
  readonly memberCount: () => number;
  readonly records: StreamRecordStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Maximum number of streams that one daemon stores, the newest ones: some 100 KB. */
const MAX_STORED_STREAMS = 2000;
/** Least interval between two writes of one daemon, in milliseconds: what a kill of all daemons may lose. */
const MIN_WRITE_INTERVAL_MS = 500;
/** Interval between two writes of all daemons together, in milliseconds: 40 writes a second. */
const WRITE_SPACING_MS = 25;

/** Stored origins of one daemon. */
export class OriginRecorder {
  /** Streams of this daemon, the oldest first. */
  private readonly streams = new Map<string, StoredOrigin>();
  private isChanged = false;
  private hasReadEarlier = false;
  private hasStored = false;
  private writeCount = 0;
  private storedCount = 0;

  constructor(private readonly options: OriginRecorderOptions) {}

  /** Writes since the start, and streams in the last of them. */
  get totals(): { readonly writes: number; readonly streams: number } {
    return { writes: this.writeCount, streams: this.storedCount };
  }

  /** Adds a stream that this daemon began or took up. */
  add(streamId: string, stored: StoredOrigin): void {
    this.streams.delete(streamId);
    this.streams.set(streamId, stored);
    this.isChanged = true;
    if (this.streams.size <= MAX_STORED_STREAMS) return;
    for (const oldest of this.streams.keys()) {
      this.streams.delete(oldest);
      break;
    }
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, memberCount, log } = this.options;
    while (!signal.aborted) {
      await sleep(clock, Math.max(MIN_WRITE_INTERVAL_MS, memberCount() * WRITE_SPACING_MS), signal);
      if (signal.aborted) return;
      try {
        await this.store();
      } catch (error) {
        log.warned('stream_origins_not_stored', { streams: this.streams.size, cause: errorMessage(error) });
      }
    }
  }

  private async store(): Promise<void> {
    const { self, records, clock, log } = this.options;
    const mixed = this.mixedServices();
    if (mixed.size === 0) {
      if (this.hasStored) await records.removeOrigins(self);
      this.hasStored = false;
      return;
    }
    if (!this.hasReadEarlier) await this.readEarlier();
    if (!this.isChanged && this.hasStored) return;
    this.isChanged = false;
    const now = clock.monotonic();
    for (const [streamId, { expiresAt }] of this.streams) if (expiresAt <= now) this.streams.delete(streamId);
    const entries = [...this.streams]
      .filter(([, { origin }]) => mixed.has(origin.service))
      .map(([streamId, stored]) => toEntry(streamId, stored, now));
    try {
      await records.writeOrigins(self, entries);
    } catch (error) {
      this.isChanged = true;
      throw error;
    }
    if (!this.hasStored) log.changed('stream_origins_stored', { streams: entries.length });
    this.hasStored = true;
    this.writeCount += 1;
    this.storedCount = entries.length;
  }

  /** Keeps what an earlier run of this daemon has stored, which the first write would replace. */
  private async readEarlier(): Promise<void> {
    const { self, records, clock } = this.options;
    const now = clock.monotonic();
    const earlier = await records.readOriginsOf(self);
    const own = [...this.streams];
    this.streams.clear();
    for (const entry of earlier) this.add(entry.i, storedOriginOf(entry, now));
    for (const [streamId, stored] of own) this.add(streamId, stored);
    this.hasReadEarlier = true;
  }

  private mixedServices(): Set<string> {
    const { versions, takeUpPeriodMs } = this.options;
    const isMixed = (service: string): boolean =>
      versions.seenWithin(service, takeUpPeriodMs(service) ?? 0).length > 1;
    return new Set([...versions.services()].filter(isMixed));
  }
}

function storedOriginOf({ s, v, r }: StreamOriginEntry, now: number): StoredOrigin {
  return { origin: { service: s, softwareVersion: v }, expiresAt: now + r };
}
