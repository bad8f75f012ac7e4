/**
 * Follows the records of one kind in the store while enabled: lists them, then watches for changes. It lists again after any
 * failure, as a new watch may miss the changes in between; when a peer reports a newer record for some time, as a watch may
 * stop responding without an error; and when the store was restored from a copy.
 */
import { errorMessage, WoodbarrowError } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, Wakeup, type Clock, type Random } from '@woodbarrow/runtime';
import { StalenessTracker, type RecordSet } from '@woodbarrow/exchange';
import type { RecordPosition, StorePosition } from '@woodbarrow/protocol';
import { OverlappingListings } from './overlapping-listings.js';
import type { RecordChange, RecordSource } from './ports.js';

/** Options of {@link RecordWatch}. */
export interface RecordWatchOptions {
  /** Receives the records; its source is the kind to follow. */
  readonly set: RecordSet;
  /** Pause after a watch returned changes, in milliseconds. */
  readonly pauseMs: number;
  /** Maximum time that a watch waits for a change, in milliseconds. @default 1000 */
  readonly waitMs?: number;
  /** Called when the store stops responding. */
  readonly onLost: () => void;
  readonly store: RecordSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/**
 * Maximum time that a watch waits for a change. An unresponsive store is detected only after this time plus
 * the call timeout; another daemon must then still take over and forward the change (up to 0.7 s) within the
 * 3.0 s for which a leaving worker may be sent requests.
 */
const DEFAULT_WATCH_WAIT_MS = 1000;
/** Maximum time between two checks whether to follow the store, while the watch is disabled. */
const IDLE_CHECK_INTERVAL_MS = 1000;
const RETRY_BACKOFF = { initialMs: 100, maximumMs: 800 };
/** Time for which a peer must be ahead before the records are listed again: watches of different daemons return at different times. */
const STALE_WATCH_TIMEOUT_MS = 700;

/** Keeps a {@link RecordSet} current from the store. */
export class RecordWatch {
  private isWanted = true;
  private isStoreResponding = false;
  private watchAbort: AbortController | undefined;
  private readonly wakeup = new Wakeup();

  private readonly staleness: StalenessTracker;
  private readonly listings: OverlappingListings;

  constructor(private readonly options: RecordWatchOptions) {
    this.listings = new OverlappingListings(options.store, options.set.source, options.clock);
    this.staleness = new StalenessTracker(options.clock, () => options.set.position);
  }

  /** Whether the store responds and no peer has reported newer records. */
  get isFollowing(): boolean {
    return this.isStoreResponding && !this.staleness.isStale;
  }

  /** Enables or disables following the store. A watch in progress completes first. */
  setWanted(wanted: boolean): void {
    this.isWanted = wanted;
    if (wanted) this.wakeup.wake();
  }

  /** Notes the position that another daemon has reached, and lists the records again when this daemon has been stale for too long. */
  observePosition(position: RecordPosition): void {
    this.staleness.observe(position);
    if (this.staleness.staleForMs < STALE_WATCH_TIMEOUT_MS) return;
    this.staleness.restartTimer();
    this.watchAbort?.abort();
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log, set } = this.options;
    let position: StorePosition | undefined;
    let failures = 0;
    while (!signal.aborted) {
      if (!this.isWanted) {
        position = undefined;
        this.isStoreResponding = false;
        await this.wakeup.wait(clock, IDLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      try {
        position =
          position === undefined ? await this.listRecords() : await this.waitForChanges(position, signal);
        if (failures > 0) log.changed('store_regained', { kind: set.source, failures });
        failures = 0;
        this.isStoreResponding = true;
      } catch (error) {
        position = undefined;
        this.isStoreResponding = false;
        if (failures === 0) this.reportStoreLost(error);
        await sleep(clock, backoffDelay(RETRY_BACKOFF, failures, random), signal);
        failures += 1;
      }
    }
  }

  private reportStoreLost(error: unknown): void {
    const { log, set, onLost } = this.options;
    log.warned('store_lost', { kind: set.source, cause: errorMessage(error) });
    onLost();
  }

  private async listRecords(): Promise<StorePosition> {
    const { set, log } = this.options;
    const { records, at } = await this.listings.next();
    const { era: knownEra, revision: known } = set.position;
    const taken = set.replaceAll(records, at);
    log.changed('records_listed', { kind: set.source, ...at, known, count: records.length, taken });
    if (at.era < knownEra)
      throw new WoodbarrowError('platform_unavailable', 'the listing predates the restoration of the store');
    return at;
  }

  /** Waits for changes. Returns the position to continue from, or undefined to list again. */
  private async waitForChanges(from: StorePosition, signal: AbortSignal): Promise<StorePosition | undefined> {
    const { store, set, clock, log, pauseMs, waitMs = DEFAULT_WATCH_WAIT_MS } = this.options;
    const watchAbort = new AbortController();
    this.watchAbort = watchAbort;
    const stop = (): void => {
      watchAbort.abort();
    };
    signal.addEventListener('abort', stop);
    try {
      const result = await store.watch(set.source, from.revision, waitMs, watchAbort.signal);
      if (result.kind === 'history_gone') {
        log.changed('store_history_gone', { kind: set.source, ...from });
        return undefined;
      }
      // A new era reuses revisions, so changes up to this revision in that era may have been missed.
      if (result.at.era !== from.era || set.position.era !== from.era) return undefined;
      for (const change of result.changes) this.apply(change);
      set.markComplete(result.at.revision);
      if (result.changes.length > 0) await sleep(clock, pauseMs, watchAbort.signal);
      return watchAbort.signal.aborted ? undefined : result.at;
    } catch (error) {
      if (!watchAbort.signal.aborted || signal.aborted) throw error;
      log.changed('store_watch_behind', { kind: set.source, ...from, newest: set.position.revision });
      return undefined;
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  private apply({ record, gone }: RecordChange): void {
    const { set, log } = this.options;
    const known = set.revisionOf(record.name);
    if (known !== undefined && known > record.revision)
      log.warned('record_passed_over', {
        kind: set.source,
        name: record.name,
        revision: record.revision,
        known,
      });
    if (gone) set.remove(record.name, record.revision);
    else set.put(record);
  }
}
