/** Writes records of evidence and of verdicts, each until the store has taken it or nobody needs it any more. */
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, type Clock, type Random, type TaskGroup } from '@woodbarrow/runtime';
import type { QuarantineEntry, QuarantineStore } from './quarantine-record.js';

/** A store that is away is asked again after 0.2 s at first, and within 5 s of its return at the latest. */
const WRITE_BACKOFF = { initialMs: 200, maximumMs: 5000 };

/** What all that write records share. */
export interface RecordWriterOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  readonly store: QuarantineStore;
  readonly tasks: TaskGroup;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Writer of one daemon. */
export class RecordWriter {
  constructor(readonly options: RecordWriterOptions) {}

  /** @param isNeeded Whether the record still says something; asked before each try. */
  write(record: QuarantineEntry, isNeeded: () => boolean): void {
    this.options.tasks.spawn('quarantine record', (signal) =>
      this.writeUntilStored(record, isNeeded, signal),
    );
  }

  /** Removes a record once. Where that fails it goes with its time, and one more good run clears what it says. */
  remove(name: string): void {
    const { tasks, store, log } = this.options;
    tasks.spawn('quarantine record', async () => {
      try {
        await store.remove(name);
      } catch (error) {
        log.warned('quarantine_not_written', { content: name, failures: 1, cause: messageOf(error) });
      }
    });
  }

  /** Removes records whose time is over. @param mayRemove Whether this daemon is to remove a record of a name. */
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
          cause: messageOf(error),
        });
        await sleep(clock, backoffDelay(WRITE_BACKOFF, failures, random), signal);
      }
    }
  }
}
