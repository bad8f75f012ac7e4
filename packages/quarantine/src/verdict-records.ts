/**
 * Tracks verdicts that were found by this daemon, reported by another one or read from the store, and
 * writes missing records to the store.
 */
import type { EventLog } from '@woodbarrow/observability';
import type { CrashMarks } from './crash-marks.js';
import type { CulpritSearch } from './culprit-search.js';
import { isLoadContent } from './load-content.js';
import { QUARANTINE_MS, type QuarantineRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Delay before another daemon writes a verdict's record in place of a daemon that observed a crash,
 * in milliseconds. If all those daemons have exited, the verdict would otherwise expire with its
 * marks, after ten minutes instead of an hour.
 */
const FALLBACK_WRITE_DELAY_MS = 2000;

/** The attempt that led to a verdict, as named in its record. */
export type VerdictSource = Pick<QuarantineRecord, 'content' | 'requestId' | 'route' | 'load'>;

/** Options of {@link VerdictRecords}. */
export interface VerdictRecordsOptions {
  readonly marks: CrashMarks;
  readonly search: CulpritSearch;
  readonly writer: RecordWriter;
  /** Whether this daemon is responsible for removing expired records and for writing missing ones. */
  readonly removesRecord: (content: string) => boolean;
  readonly log: EventLog;
}

/** Verdicts as observed by one daemon. */
export class VerdictRecords {
  private readonly records = new Map<string, QuarantineRecord>();
  /** Contents whose record this daemon has written or is writing. */
  private readonly writing = new Set<string>();
  /** Contents whose verdict has been logged. */
  private readonly reported = new Set<string>();

  constructor(private readonly options: VerdictRecordsOptions) {}

  /** Contents with a stored verdict. */
  get names(): readonly string[] {
    return [...this.records.keys()];
  }

  get size(): number {
    return this.records.size;
  }

  get(content: string): QuarantineRecord | undefined {
    return this.records.get(content);
  }

  /** Returns whether a verdict is stored or being written. */
  isRecorded(content: string): boolean {
    return this.records.has(content) || this.writing.has(content);
  }

  /** Handles a stored record. Returns whether it is new. */
  handleStored(record: QuarantineRecord): boolean {
    const { content, processes, foundBy, route, requestId, load } = record;
    if (this.records.has(content)) return false;
    this.records.set(content, record);
    this.options.search.noteCulprit(content, processes);
    const facts = { content, load, source: 'store', processes, foundBy, route, requestId };
    this.options.log.warned(verdictEvent(content), facts);
    return true;
  }

  /** Handles a removed record. Returns whether a record of that name existed. */
  handleRemoved(content: string): boolean {
    if (!this.records.delete(content)) return false;
    this.writing.delete(content);
    this.forget(content);
    this.options.log.changed('quarantine_lifted', { content });
    return true;
  }

  /** Drops the verdict on a content that may run again. */
  forget(content: string): void {
    this.options.search.forget(content);
    this.reported.delete(content);
  }

  /**
   * Handles a verdict found by evaluating marks.
   *
   * @param attempt The latest attempt under which a process ended on this daemon, if any.
   */
  noteProven(content: string, origin: 'seen' | 'told', attempt: VerdictSource | undefined): void {
    if (this.records.has(content)) return;
    if (!this.reported.has(content)) {
      const processes = this.options.marks.processesOf(content);
      const facts = { content, load: attempt?.load, source: origin, processes };
      this.options.log.warned(verdictEvent(content), facts);
      this.reported.add(content);
    }
    if (attempt !== undefined) this.write(attempt);
    else this.scheduleFallbackWrite(content);
  }

  /** Removes expired records, and drops verdicts that have neither a record nor active marks. */
  async removeExpired(): Promise<void> {
    const { marks, writer, removesRecord } = this.options;
    for (const content of [...this.reported]) {
      if (!this.records.has(content) && marks.crashCountOf(content) === 0) this.forget(content);
    }
    await writer.removeExpired(this.records.values(), QUARANTINE_MS, removesRecord);
  }

  /** Schedules a write in case no daemon that observed a crash writes the record. */
  private scheduleFallbackWrite(content: string): void {
    const { writer, removesRecord } = this.options;
    if (!removesRecord(content)) return;
    writer.options.clock.schedule(FALLBACK_WRITE_DELAY_MS, () => {
      this.write({ content, requestId: '', route: '' });
    });
  }

  /** Writes the record of a verdict until the store accepts it or the content is cleared. */
  private write({ content, requestId, route, load }: VerdictSource): void {
    const { marks, search, writer } = this.options;
    if (this.isRecorded(content) || !search.isProven(content)) return;
    this.writing.add(content);
    const { clock, daemon } = writer.options;
    const processes = marks.processesOf(content);
    const loadField = load === undefined ? {} : { load };
    const record = { content, processes, route, requestId, ...loadField, foundBy: daemon, at: clock.wall() };
    writer.write(record, () => search.isProven(content));
  }
}

function verdictEvent(content: string): 'request_quarantined' | 'load_quarantined' {
  return isLoadContent(content) ? 'load_quarantined' : 'request_quarantined';
}
