/**
 * Stores crash marks that no other record contains, so that they survive the loss of all daemons.
 * If all daemons exit after each first crash of a content, its marks would otherwise never add up
 * to a verdict. One record covers several contents, because a crashed process leaves a mark for
 * each request that it ran: sixty requests cost one call to the store instead of sixty.
 *
 * A mark is still lost if every daemon that observed it exits before the record is written, at most
 * {@link MAX_WRITE_DELAY_MS} and one store call after the crash was confirmed, or before the crash
 * is confirmed, which takes 20 to 1,520 ms after the response broke off.
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { contentDigest } from '@woodbarrow/runtime';
import { MARK_LIFETIME_MS, type CrashMark, type CrashMarks } from './crash-marks.js';
import { toStoredCrash, toMarkEntry } from './stored-marks.js';
import type { CrashBatchRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Bounds of the delay before unrecorded marks are written, in milliseconds. Within the minimum,
 * daemons exchange their marks of the same crash (some 150 ms). The random remainder lets most
 * daemons observe the first record before they write their own.
 */
const MIN_WRITE_DELAY_MS = 150;
const MAX_WRITE_DELAY_MS = 500;
/**
 * Minimum age of marks that a later run is likely to clear, in milliseconds; then most of them are cleared and need no record. Records keep
 * marks that were cleared afterwards, which would tell daemons that start of parts that are known to be sound.
 */
const MIN_AGE_IF_CLEARED_SOON_MS = 1600;
/** Limits the size of a record in the store. */
const MAX_CRASHES_PER_RECORD = 200;

/** What the records need to know of a mark. */
export interface CrashBatchContents {
  /** Returns whether a crash is in another record of that content. */
  readonly isRecordedElsewhere: (content: string, processId: string) => boolean;
  /** Returns whether the marks of a content are likely to be cleared by its next run. */
  readonly mayBeClearedSoon: (content: string) => boolean;
}

/** Batch records as observed by one daemon. */
export class CrashBatchRecords {
  private readonly records = new Map<string, CrashBatchRecord>();
  /** Names of the records that contain a crash, including records still being written. */
  private readonly recordNamesByCrash = new Map<string, Set<string>>();
  private isScheduled = false;

  constructor(
    private readonly marks: CrashMarks,
    private readonly writer: RecordWriter,
    private readonly contents: CrashBatchContents,
  ) {}

  /** Schedules a write of all marks that are unrecorded by then. */
  scheduleWrite(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { clock, random } = this.writer.options;
    clock.schedule(random.between(MIN_WRITE_DELAY_MS, MAX_WRITE_DELAY_MS), () => {
      this.isScheduled = false;
      if (this.writePending()) this.scheduleWrite();
    });
  }

  /** Handles a stored record. Returns its marks. */
  handleStored(record: CrashBatchRecord): readonly CrashMarkEntry[] {
    this.index(record);
    return record.ends.map((end) => toMarkEntry(end, this.writer.options.clock));
  }

  /** Handles a removed record. Returns whether a record of that name existed. */
  handleRemoved(name: string): boolean {
    const record = this.records.get(name);
    if (record === undefined) return false;
    this.records.delete(name);
    for (const { suspect, processId } of record.ends) this.unindex(keyOf(suspect, processId), name);
    return true;
  }

  /** Removes records whose marks are all inactive, so that they cannot restore cleared marks. */
  removeInactive(): void {
    for (const record of this.records.values())
      if (!this.hasActiveMarks(record)) this.writer.remove(record.content);
  }

  /**
   * Removes records whose marks have expired.
   *
   * @param mayRemove Whether this daemon is responsible for a record.
   */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    await this.writer.removeExpired(this.records.values(), MARK_LIFETIME_MS, mayRemove);
  }

  /** Writes the marks that are due. Returns whether others are left. */
  private writePending(): boolean {
    const unrecorded = this.marks.allActiveMarks().filter((mark) => this.isUnrecorded(mark));
    const pending = unrecorded.filter((mark) => this.isDue(mark));
    for (let from = 0; from < pending.length; from += MAX_CRASHES_PER_RECORD)
      this.writeBatch(pending.slice(from, from + MAX_CRASHES_PER_RECORD));
    return pending.length < unrecorded.length;
  }

  private isDue({ content, endedAt }: CrashMark): boolean {
    if (!this.contents.mayBeClearedSoon(content)) return true;
    return this.writer.options.clock.monotonic() - endedAt >= MIN_AGE_IF_CLEARED_SOON_MS;
  }

  private isUnrecorded({ content, processId }: CrashMark): boolean {
    return (
      !this.recordNamesByCrash.has(keyOf(content, processId)) &&
      !this.contents.isRecordedElsewhere(content, processId)
    );
  }

  private writeBatch(marks: readonly CrashMark[]): void {
    const { clock, daemon } = this.writer.options;
    const ends = marks.map((mark) => toStoredCrash(mark, clock));
    const at = clock.wall();
    const pieces = [daemon, String(at), ...ends.map(({ suspect, processId }) => keyOf(suspect, processId))];
    const record = { content: `ends-${contentDigest(pieces)}`, ends, foundBy: daemon, at };
    this.index(record);
    this.writer.write(record, () => this.hasActiveMarks(record));
  }

  private index(record: CrashBatchRecord): void {
    this.records.set(record.content, record);
    for (const { suspect, processId } of record.ends) {
      const key = keyOf(suspect, processId);
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

function keyOf(content: string, processId: string): string {
  return `${content} ${processId}`;
}
