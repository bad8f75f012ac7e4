/** Verdicts: found here, told by others or read in the store; each is written there until it has been taken. */
import type { EventLog } from '@woodbarrow/observability';
import type { CrashMarks } from './crash-marks.js';
import type { CulpritSearch } from './culprit-search.js';
import { isLoadContent } from './load-content.js';
import { QUARANTINE_MS, type QuarantineRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Time for which the daemon that saw an end may write the record of a verdict before another one does, in milliseconds. Where all that saw
 * one were killed, the verdict would be gone with the marks otherwise, after ten minutes instead of an hour.
 */
const FALLBACK_WRITE_DELAY_MS = 2000;

/** The attempt by which a verdict was found: what its record says of it. */
export type VerdictSource = Pick<QuarantineRecord, 'content' | 'requestId' | 'route' | 'load'>;

/** Options of {@link VerdictRecords}. */
export interface VerdictRecordsOptions {
  readonly marks: CrashMarks;
  readonly search: CulpritSearch;
  readonly writer: RecordWriter;
  /** Whether this daemon removes a record whose time is over, and writes one that nobody else has written. */
  readonly removesRecord: (content: string) => boolean;
  readonly log: EventLog;
}

/** Verdicts as one daemon knows them. */
export class VerdictRecords {
  private readonly records = new Map<string, QuarantineRecord>();
  /** Contents whose record this daemon writes, or has written: the store's feed tells it back. */
  private readonly writing = new Set<string>();
  /** Contents whose verdict was found here or told by others, and is in the log. */
  private readonly reported = new Set<string>();

  constructor(private readonly options: VerdictRecordsOptions) {}

  /** Contents that the store says must not run. */
  get names(): readonly string[] {
    return [...this.records.keys()];
  }

  get size(): number {
    return this.records.size;
  }

  get(content: string): QuarantineRecord | undefined {
    return this.records.get(content);
  }

  /** Whether a verdict is in the store, or on its way there. */
  isRecorded(content: string): boolean {
    return this.records.has(content) || this.writing.has(content);
  }

  /** Enters a record that the store holds. Returns whether it is new. */
  handleStored(record: QuarantineRecord): boolean {
    const { content, processes, foundBy, route, requestId, load } = record;
    if (this.records.has(content)) return false;
    this.records.set(content, record);
    this.options.search.noteCulprit(content, processes);
    const facts = { content, load, source: 'store', processes, foundBy, route, requestId };
    this.options.log.warned(verdictEvent(content), facts);
    return true;
  }

  /** A record is gone. Returns whether there was one of that name. */
  handleRemoved(content: string): boolean {
    if (!this.records.delete(content)) return false;
    this.writing.delete(content);
    this.forget(content);
    this.options.log.changed('quarantine_lifted', { content });
    return true;
  }

  /** A content has run well, or may run again: it has no verdict until it is proven anew. */
  forget(content: string): void {
    this.options.search.forget(content);
    this.reported.delete(content);
  }

  /** A content is proven. @param attempt The newest one under which a process ended here, if any. */
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

  /** Removes records whose time is over, and forgets verdicts that have neither a record nor marks. */
  async removeExpired(): Promise<void> {
    const { marks, writer, removesRecord } = this.options;
    for (const content of [...this.reported]) {
      if (!this.records.has(content) && marks.endsOf(content) === 0) this.forget(content);
    }
    await writer.removeExpired(this.records.values(), QUARANTINE_MS, removesRecord);
  }

  /** Writes the record of a verdict that no daemon which saw an end has written. */
  private scheduleFallbackWrite(content: string): void {
    const { writer, removesRecord } = this.options;
    if (!removesRecord(content)) return;
    writer.options.clock.schedule(FALLBACK_WRITE_DELAY_MS, () => {
      this.write({ content, requestId: '', route: '' });
    });
  }

  /** Writes the record of a verdict, until the store has taken it or the content has been cleared. */
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
