/**
 * First ends kept in the store. A single end under a content lived in memory alone: where all daemons were killed after each one, the content
 * was never found out, however many processes it ended. What is not kept yet is written in one record for all contents, since a process that
 * crashes leaves an end for each request that it ran: sixty requests on one worker cost one call, not sixty.
 *
 * What a kill may still cost: an end that was found out less than {@link MAX_WRITE_DELAY_MS} and one write before all daemons that know
 * of it were killed, and one that nobody had found out (20 to 1,520 ms after the answer broke off).
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { contentDigest } from '@woodbarrow/runtime';
import { MARK_LIFETIME_MS, type CrashMark, type CrashMarks } from './crash-marks.js';
import { toStoredCrash, toMarkEntry } from './stored-marks.js';
import type { CrashBatchRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Bounds of the pause between the first end that is not kept and its record, in milliseconds. Within the shorter one daemons tell each other of
 * the same process (some 150 ms); each then waits another time, so that most find in the store what the first one wrote.
 */
const MIN_WRITE_DELAY_MS = 150;
const MAX_WRITE_DELAY_MS = 500;
/** Ends in one record at most: some 24 KB. */
const MAX_CRASHES_PER_RECORD = 200;

/** Records of ends, as one daemon knows them. */
export class CrashBatchRecords {
  private readonly records = new Map<string, CrashBatchRecord>();
  /** Ends that records keep, or that are on their way to the store, each with the names of its records. */
  private readonly recordNamesByCrash = new Map<string, Set<string>>();
  private isScheduled = false;

  constructor(
    private readonly marks: CrashMarks,
    private readonly writer: RecordWriter,
    /** Whether an end under a content stands in a record of that content. */
    private readonly isRecordedElsewhere: (content: string, processId: string) => boolean,
  ) {}

  /** An end was found out here: it is kept soon, with all that is known by then and not kept either. */
  scheduleWrite(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { clock, random } = this.writer.options;
    clock.schedule(random.between(MIN_WRITE_DELAY_MS, MAX_WRITE_DELAY_MS), () => {
      this.isScheduled = false;
      this.writePending();
    });
  }

  /** Enters a record that the store holds. Returns its marks. */
  handleStored(record: CrashBatchRecord): readonly CrashMarkEntry[] {
    this.index(record);
    return record.ends.map((end) => toMarkEntry(end, this.writer.options.clock));
  }

  /** A record is gone. Returns whether there was one of that name. */
  handleRemoved(name: string): boolean {
    const record = this.records.get(name);
    if (record === undefined) return false;
    this.records.delete(name);
    for (const { suspect, processId } of record.ends) this.unindex(crashKey(suspect, processId), name);
    return true;
  }

  /** Contents have run well or were lifted: records that say nothing else would bring their marks back. */
  removeInactive(): void {
    for (const record of this.records.values())
      if (!this.hasActiveMarks(record)) this.writer.remove(record.content);
  }

  /** Removes records whose marks have run out. @param mayRemove Whether this daemon is to remove a record of a name. */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    await this.writer.removeExpired(this.records.values(), MARK_LIFETIME_MS, mayRemove);
  }

  private writePending(): void {
    const pending = this.marks.allActiveMarks().filter((mark) => this.isUnrecorded(mark));
    for (let from = 0; from < pending.length; from += MAX_CRASHES_PER_RECORD)
      this.writeBatch(pending.slice(from, from + MAX_CRASHES_PER_RECORD));
  }

  private isUnrecorded({ content, processId }: CrashMark): boolean {
    return (
      !this.recordNamesByCrash.has(crashKey(content, processId)) &&
      !this.isRecordedElsewhere(content, processId)
    );
  }

  private writeBatch(marks: readonly CrashMark[]): void {
    const { clock, daemon } = this.writer.options;
    const ends = marks.map((mark) => toStoredCrash(mark, clock));
    const at = clock.wall();
    const digestParts = [
      daemon,
      String(at),
      ...ends.map(({ suspect, processId }) => crashKey(suspect, processId)),
    ];
    const record = { content: `ends-${contentDigest(digestParts)}`, ends, foundBy: daemon, at };
    this.index(record);
    this.writer.write(record, () => this.hasActiveMarks(record));
  }

  private index(record: CrashBatchRecord): void {
    this.records.set(record.content, record);
    for (const { suspect, processId } of record.ends) {
      const key = crashKey(suspect, processId);
      this.recordNamesByCrash.set(key, (this.recordNamesByCrash.get(key) ?? new Set()).add(record.content));
    }
  }

  private unindex(key: string, name: string): void {
    const names = this.recordNamesByCrash.get(key);
    names?.delete(name);
    if (names?.size === 0) this.recordNamesByCrash.delete(key);
  }

  private hasActiveMarks({ ends }: CrashBatchRecord): boolean {
    return ends.some(({ suspect, processId }) => this.marks.hasActiveMark(suspect, processId));
  }
}

function crashKey(content: string, processId: string): string {
  return `${content} ${processId}`;
}
