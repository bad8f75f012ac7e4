/**
 * Follows the records of one kind: lists them, then watches for changes. After any failure it lists again, for a
 * watch begun anew may hear nothing of what happened in between. It also lists again when another daemon has seen
 * a newer record for a while: a watch may stay silent without an error.
 */
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import type { RecordSource, StoredRecord } from './ports.js';

/** Options of {@link RecordWatch}. */
export interface RecordWatchOptions {
  readonly kind: string;
  /** Pause after a watch brought changes, in milliseconds. */
  readonly pauseMs: number;
  readonly onList: (records: readonly StoredRecord[]) => void;
  readonly onChange: (record: StoredRecord) => void;
  readonly onGone: (name: string) => void;
  readonly store: RecordSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Milliseconds that a watch waits for a change. */
const WATCH_WAIT_MS = 8000;
const RETRY = { initialMs: 100, maximumMs: 800 };
/** A newer record elsewhere is looked for after this long: watches are answered at different moments. */
const BEHIND_PATIENCE_MS = 700;

/** Watch of the records of one kind. */
export class RecordWatch {
  private newest = 0;
  private behindSince: number | undefined;
  private cutShort: AbortController | undefined;

  constructor(private readonly options: RecordWatchOptions) {}

  /** Revision of the newest record seen. */
  get newestRevision(): number {
    return this.newest;
  }

  /** Another daemon has seen a record of this revision. */
  noteElsewhere(revision: number): void {
    const now = this.options.clock.monotonic();
    if (revision <= this.newest) return;
    this.behindSince ??= now;
    if (now - this.behindSince < BEHIND_PATIENCE_MS) return;
    this.behindSince = undefined;
    this.cutShort?.abort();
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, log, kind } = this.options;
    let revision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
      try {
        revision = revision === undefined ? await this.list() : await this.wait(revision, signal);
        if (failures > 0) log.changed('store_regained', { kind, failures });
        failures = 0;
      } catch (error) {
        revision = undefined;
        if (failures === 0) {
          log.warned('store_lost', { kind, cause: messageOf(error) });
        }
        await sleep(clock, backoffDelay(RETRY, failures, random), signal);
        failures += 1;
      }
    }
  }

  private async list(): Promise<number> {
    const { store, kind, onList } = this.options;
    const { records, revision } = await store.listAll(kind);
    onList(records);
    for (const record of records) this.noteSeen(record);
    return revision;
  }

  /** Waits for changes. Returns the revision to go on from, or undefined to list again. */
  private async wait(revision: number, signal: AbortSignal): Promise<number | undefined> {
    const { store, kind, clock, log, pauseMs } = this.options;
    const cutShort = new AbortController();
    this.cutShort = cutShort;
    const stop = (): void => {
      cutShort.abort();
    };
    signal.addEventListener('abort', stop);
    try {
      const result = await store.watch(kind, revision, WATCH_WAIT_MS, cutShort.signal);
      if (result.kind === 'history_gone') {
        log.changed('store_history_gone', { kind, revision });
        return undefined;
      }
      for (const { record, gone } of result.changes) this.apply(record, gone);
      if (result.changes.length > 0) await sleep(clock, pauseMs, cutShort.signal);
      return cutShort.signal.aborted ? undefined : result.revision;
    } catch (error) {
      if (!cutShort.signal.aborted || signal.aborted) throw error;
      log.changed('store_watch_behind', { kind, revision, newest: this.newest });
      return undefined;
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  private apply(record: StoredRecord, gone: boolean): void {
    if (gone) {
      this.options.onGone(record.name);
      return;
    }
    this.noteSeen(record);
    this.options.onChange(record);
  }

  private noteSeen(record: StoredRecord): void {
    if (record.revision <= this.newest) return;
    this.newest = record.revision;
    this.behindSince = undefined;
  }
}
