/**
 * Writes records of verdicts and evidence, each until the store has accepted it or it is no longer
 * needed.
 */
import { errorMessage } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, type Clock, type Random, type TaskGroup } from '@woodbarrow/runtime';
import type { QuarantineEntry, QuarantineStore } from './quarantine-record.js';

/**
 * Delays between attempts to write to an unavailable store. The next attempt follows within 5 s of
 * the store's return.
 */
const WRITE_BACKOFF = { initialMs: 200, maximumMs: 5000 };

/** Options of {@link RecordWriter}. */
export interface RecordWriterOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  readonly store: QuarantineStore;
  readonly tasks: TaskGroup;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Writes and removes records on behalf of one daemon. */
export class RecordWriter {
  constructor(readonly options: RecordWriterOptions) {}

  /**
   * Writes a record in the background.
   *
   * @param isNeeded Checked before each attempt; false stops the write.
   */
  write(record: QuarantineEntry, isNeeded: () => boolean): void {
    this.options.tasks.spawn('quarantine record', (signal) =>
      this.writeUntilStored(record, isNeeded, signal),
    );
  }

  /**
   * Removes a record with a single attempt. If it fails, the record remains until it expires, and
   * another successful run clears its marks.
   */
  remove(name: string): void {
    const { tasks, store, log } = this.options;
    tasks.spawn('quarantine record', async () => {
      try {
        await store.remove(name);
      } catch (error) {
        log.warned('quarantine_not_written', { content: name, failures: 1, cause: errorMessage(error) });
      }
    });
  }

  /** Removes expired records. @param mayRemove Whether this daemon is responsible for a record. */
  async removeExpired(
    records: Iterable<QuarantineEntry>,
    lifetimeMs: number,
    mayRemove: (name: string) => boolean,
  ): Promise<void> {
    const { clock, store } = this.options;
    const oldest = clock.wall() - lifetimeMs;
    for (const { content: name, at } of [...records]) {
      if (at < oldest && mayRemove(name)) await store.remove(name);
    }
  }

  private async writeUntilStored(
    record: QuarantineEntry,
    isNeeded: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { store, clock, random, log } = this.options;
    for (let failures = 0; !signal.aborted && isNeeded(); failures += 1) {
      try {
        await store.create(record);
        return;
      } catch (error) {
        log.warned('quarantine_not_written', {
          content: record.content,
          failures,
          cause: errorMessage(error),
        });
        await sleep(clock, backoffDelay(WRITE_BACKOFF, failures, random), signal);
      }
    }
  }
}
