/**
 * Evidence kept in the store, so that it outlasts the daemons that know of it: where all of them were killed every six seconds, a
 * request ended twelve workers and was sent six times more than allowed, since two ends were forgotten each time.
 */
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { backoffDelay, sleep, type Clock, type Random, type TaskGroup } from '@woodbarrow/runtime';
import { MARK_LIFETIME_MS, type CrashMark, type CrashMarks } from './crash-marks.js';
import { suspectName, type QuarantineStore, type SuspectRecord } from './quarantine-record.js';

const WRITE_RETRY = { initialMs: 200, maximumMs: 5000 };

/** Options of {@link SuspectRecords}. */
export interface SuspectRecordsOptions {
  readonly daemon: string;
  readonly marks: CrashMarks;
  readonly store: QuarantineStore;
  readonly tasks: TaskGroup;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Records of evidence, as one daemon knows them. */
export class SuspectRecords {
  private readonly records = new Map<string, SuspectRecord>();
  /** Contents whose record this daemon writes, or has written. */
  private readonly writing = new Set<string>();

  constructor(private readonly options: SuspectRecordsOptions) {}

  /** Names of all records. */
  get names(): readonly string[] {
    return [...this.records.keys()];
  }

  /** Enters a record that the store holds. Returns its marks. */
  seen(record: SuspectRecord): readonly CrashMarkEntry[] {
    this.records.set(record.content, record);
    const now = this.options.clock.wall();
    return record.marks.map(({ processId, begunAt, endedAt }) => ({
      c: record.suspect,
      p: processId,
      // Clocks of daemons differ: what lies ahead of this one has just been.
      b: Math.max(0, now - begunAt),
      e: Math.max(0, now - endedAt),
    }));
  }

  /** A record is gone. Returns whether there was one of that name. */
  gone(name: string): boolean {
    const record = this.records.get(name);
    if (record !== undefined) this.writing.delete(record.suspect);
    return this.records.delete(name);
  }

  /** Writes what is known against a content, until the store has taken it or it is no longer needed. */
  keep(content: string): void {
    const { marks, tasks, clock, daemon } = this.options;
    if (this.writing.has(content) || this.records.has(suspectName(content))) return;
    this.writing.add(content);
    const lead = clock.wall() - clock.monotonic();
    const kept = marks.marksOf(content).map(({ processId, begunAt, endedAt }: CrashMark) => ({
      processId,
      begunAt: Math.round(lead + begunAt),
      endedAt: Math.round(lead + endedAt),
    }));
    const at = clock.wall();
    const record = { content: suspectName(content), suspect: content, marks: kept, foundBy: daemon, at };
    tasks.spawn('suspect record', (signal) => this.write(record, signal));
  }

  private async write(record: SuspectRecord, signal: AbortSignal): Promise<void> {
    const { marks, store, clock, random, log } = this.options;
    const { suspect } = record;
    for (let failures = 0; !signal.aborted && marks.isHalfProven(suspect); failures += 1) {
      try {
        await store.create(record);
        return;
      } catch (error) {
        log.warned('quarantine_not_written', { content: suspect, failures, cause: messageOf(error) });
        await sleep(clock, backoffDelay(WRITE_RETRY, failures, random), signal);
      }
    }
  }

  /** The content has run well, or was lifted: the record would bring the marks back. */
  drop(content: string): void {
    const name = suspectName(content);
    this.writing.delete(content);
    if (!this.records.has(name)) return;
    const { tasks, store, log } = this.options;
    tasks.spawn('suspect record', async () => {
      try {
        await store.remove(name);
      } catch (error) {
        // Its marks run out by themselves, and one more good run clears them.
        log.warned('quarantine_not_written', { content, failures: 1, cause: messageOf(error) });
      }
    });
  }

  /** Removes records whose marks have run out. @param mayRemove Whether this daemon is to remove a record of a name. */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    const oldest = this.options.clock.wall() - MARK_LIFETIME_MS;
    for (const { content: name, at } of [...this.records.values()]) {
      if (at < oldest && mayRemove(name)) await this.options.store.remove(name);
    }
  }
}
