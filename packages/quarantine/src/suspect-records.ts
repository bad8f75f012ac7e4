/**
 * Evidence kept in the store, so that it outlasts the daemons that know of it: where all of them were killed every six seconds, a
 * request ended twelve workers and was sent six times more than allowed, since two ends were forgotten each time.
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { MARK_LIFETIME_MS, type CrashMarks } from './crash-marks.js';
import type { CulpritSearch } from './culprit-search.js';
import { toStoredCrash, toMarkEntry } from './stored-marks.js';
import { suspectName, type KeptMark, type SuspectRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/** Records of evidence, as one daemon knows them. */
export class SuspectRecords {
  private readonly records = new Map<string, SuspectRecord>();
  /** Processes in the records that this daemon writes, or has written, by content. */
  private readonly writtenProcesses = new Map<string, readonly string[]>();

  constructor(
    private readonly marks: CrashMarks,
    private readonly search: CulpritSearch,
    private readonly writer: RecordWriter,
  ) {}

  /** Whether the record of a content, in the store or on its way there, says that a process ended under it. */
  includesCrash(content: string, processId: string): boolean {
    const processes = this.records.get(suspectName(content))?.marks.map((mark) => mark.processId);
    return (processes ?? this.writtenProcesses.get(content) ?? []).includes(processId);
  }

  /** Enters a record that the store holds. Returns its marks. */
  handleStored(record: SuspectRecord): readonly CrashMarkEntry[] {
    const { suspect } = record;
    this.records.set(record.content, record);
    return record.marks.map((mark) => toMarkEntry({ ...mark, suspect }, this.writer.options.clock));
  }

  /** A record is gone. Returns whether there was one of that name. */
  handleRemoved(name: string): boolean {
    const record = this.records.get(name);
    if (record !== undefined) this.writtenProcesses.delete(record.suspect);
    return this.records.delete(name);
  }

  /** Writes what is known against a content, until the store has taken it or it is no longer needed. */
  write(content: string): void {
    if (this.writtenProcesses.has(content) || this.records.has(suspectName(content))) return;
    const { clock, daemon } = this.writer.options;
    const marks = this.marks.activeMarksOf(content).map((mark): KeptMark => {
      const { processId, begunAt, endedAt, isTrial } = toStoredCrash(mark, clock);
      return { processId, begunAt, endedAt, ...(isTrial === true ? { isTrial } : {}) };
    });
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

  /** The content has run well, or was lifted: the record would bring the marks back. */
  discard(content: string): void {
    const name = suspectName(content);
    this.writtenProcesses.delete(content);
    if (this.records.has(name)) this.writer.remove(name);
  }

  /** Removes records whose marks have run out. @param mayRemove Whether this daemon is to remove a record of a name. */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    await this.writer.removeExpired(this.records.values(), MARK_LIFETIME_MS, mayRemove);
  }
}
