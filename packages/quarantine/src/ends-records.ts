/**
 * First ends kept in the store. A single end under a content lived in memory alone: where all daemons were killed after each one, the content
 * was never found out, however many processes it ended. What is not kept yet is written in one record for all contents, since a process that
 * crashes leaves an end for each request that it ran: sixty requests on one worker cost one call, not sixty.
 *
 * What a kill may still cost: an end that was found out less than {@link LONGEST_PAUSE_MS} and one write before all daemons that know
 * of it were killed, and one that nobody had found out (20 to 1,520 ms after the answer broke off).
 */
import type { CrashMarkEntry } from '@woodbarrow/protocol';
import { contentDigest } from '@woodbarrow/runtime';
import { MARK_LIFETIME_MS, type CrashMark, type CrashMarks } from './crash-marks.js';
import { toKeptEnd, toMarkEntry } from './kept-marks.js';
import type { EndsRecord } from './quarantine-record.js';
import type { RecordWriter } from './record-writer.js';

/**
 * Bounds of the pause between the first end that is not kept and its record, in milliseconds. Within the shorter one daemons tell each other of
 * the same process (some 150 ms); each then waits another time, so that most find in the store what the first one wrote.
 */
const SHORTEST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 500;
/** Ends in one record at most: some 24 KB. */
const MOST_ENDS = 200;

/** Records of ends, as one daemon knows them. */
export class EndsRecords {
  private readonly records = new Map<string, EndsRecord>();
  /** Ends that records keep, or that are on their way to the store, each with the names of its records. */
  private readonly kept = new Map<string, Set<string>>();
  private isScheduled = false;

  constructor(
    private readonly marks: CrashMarks,
    private readonly writer: RecordWriter,
    /** Whether an end under a content stands in a record of that content. */
    private readonly isKeptElsewhere: (content: string, processId: string) => boolean,
  ) {}

  /** An end was found out here: it is kept soon, with all that is known by then and not kept either. */
  keepSoon(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { clock, random } = this.writer.options;
    clock.schedule(random.between(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS), () => {
      this.isScheduled = false;
      this.keepAll();
    });
  }

  /** Enters a record that the store holds. Returns its marks. */
  seen(record: EndsRecord): readonly CrashMarkEntry[] {
    this.enter(record);
    return record.ends.map((end) => toMarkEntry(end, this.writer.options.clock));
  }

  /** A record is gone. Returns whether there was one of that name. */
  gone(name: string): boolean {
    const record = this.records.get(name);
    if (record === undefined) return false;
    this.records.delete(name);
    for (const { suspect, processId } of record.ends) this.forget(keyOf(suspect, processId), name);
    return true;
  }

  /** Contents have run well or were lifted: records that say nothing else would bring their marks back. */
  dropSettled(): void {
    for (const record of this.records.values())
      if (!this.saysAnything(record)) this.writer.remove(record.content);
  }

  /** Removes records whose marks have run out. @param mayRemove Whether this daemon is to remove a record of a name. */
  async removeExpired(mayRemove: (name: string) => boolean): Promise<void> {
    await this.writer.removeExpired(this.records.values(), MARK_LIFETIME_MS, mayRemove);
  }

  private keepAll(): void {
    const open = this.marks.allCounting().filter((mark) => this.isOpen(mark));
    for (let from = 0; from < open.length; from += MOST_ENDS) this.keep(open.slice(from, from + MOST_ENDS));
  }

  private isOpen({ content, processId }: CrashMark): boolean {
    return !this.kept.has(keyOf(content, processId)) && !this.isKeptElsewhere(content, processId);
  }

  private keep(marks: readonly CrashMark[]): void {
    const { clock, daemon } = this.writer.options;
    const ends = marks.map((mark) => toKeptEnd(mark, clock));
    const at = clock.wall();
    const pieces = [daemon, String(at), ...ends.map(({ suspect, processId }) => keyOf(suspect, processId))];
    const record = { content: `ends-${contentDigest(pieces)}`, ends, foundBy: daemon, at };
    this.enter(record);
    this.writer.write(record, () => this.saysAnything(record));
  }

  private enter(record: EndsRecord): void {
    this.records.set(record.content, record);
    for (const { suspect, processId } of record.ends) {
      const key = keyOf(suspect, processId);
      this.kept.set(key, (this.kept.get(key) ?? new Set()).add(record.content));
    }
  }

  private forget(key: string, name: string): void {
    const names = this.kept.get(key);
    names?.delete(name);
    if (names?.size === 0) this.kept.delete(key);
  }

  private saysAnything({ ends }: EndsRecord): boolean {
    return ends.some(({ suspect, processId }) => this.marks.counts(suspect, processId));
  }
}

function keyOf(content: string, processId: string): string {
  return `${content} ${processId}`;
}
