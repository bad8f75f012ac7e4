/**
 * Stores evidence against contents with consecutive crashes, so that it survives the loss of all
 * daemons that observed them. Where all daemons were killed every six seconds and the evidence was
 * in memory alone, one request crashed twelve workers, because two crashes were forgotten each
 * time.
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { MARK_LIFETIME_MS, type CrashMarks } from './crash-marks.js';
import type { CulpritSearch } from './culprit-search.js';
import { toMarkEntry, toStoredMark } from './stored-marks.js';
import { suspectName, type StoredMark, type SuspectRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/** Evidence records as observed by one daemon. */
export class SuspectRecords {
  private readonly records = new Map<string, SuspectRecord>();
  /** Processes in the records that this daemon has written or is writing, by content. */
  private readonly writtenProcesses = new Map<string, readonly string[]>();

  constructor(
    private readonly marks: CrashMarks,
    private readonly search: CulpritSearch,
    private readonly writer: RecordWriter,
  ) {}

  /** Returns whether a content's record, stored or being written, contains a crash. */
  includesCrash(content: string, processId: string): boolean {
    const processes = this.records.get(suspectName(content))?.marks.map((mark) => mark.processId);
    return (processes ?? this.writtenProcesses.get(content) ?? []).includes(processId);
  }

  /** Handles a stored record. Returns its marks. */
  handleStored(record: SuspectRecord): readonly CrashMarkEntry[] {
    const { suspect } = record;
    this.records.set(record.content, record);
    return record.marks.map((mark) => toMarkEntry({ ...mark, suspect }, this.writer.options.clock));
  }

  /** Handles a removed record. Returns whether a record of that name existed. */
  handleRemoved(name: string): boolean {
    const record = this.records.get(name);
    if (record !== undefined) this.writtenProcesses.delete(record.suspect);
    return this.records.delete(name);
  }

  /** Writes the active marks of a content in the background, unless it already has a record. */
  write(content: string): void {
    if (this.writtenProcesses.has(content) || this.records.has(suspectName(content))) return;
    const { clock, daemon } = this.writer.options;
    const marks: readonly StoredMark[] = this.marks
      .activeMarksOf(content)
      .map((mark) => toStoredMark(mark, clock));
    this.writtenProcesses.set(
      content,
      marks.map(({ processId }) => processId),
    );
    const record = {
      content: suspectName(content),
      suspect: content,
      marks,
      foundBy: daemon,
      at: clock.wall(),
    };
    this.writer.write(record, () => this.search.hasConsecutiveCrashes(content));
  }

  /** Removes a content's record, so that it cannot restore cleared marks. */
  discard(content: string): void {
    const name = suspectName(content);
    this.writtenProcesses.delete(content);
    if (this.records.has(name)) this.writer.remove(name);
  }

  /**
   * Removes records whose marks have expired.
   *
   * @param mayRemove Whether this daemon is responsible for a record.
   */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    await this.writer.removeExpired(this.records.values(), MARK_LIFETIME_MS, mayRemove);
  }
}
