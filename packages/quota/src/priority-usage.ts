/** Counts the units granted and refused, by subject and priority. */

/** Units of one subject and priority. */
export interface UnitCounts {
  granted: number;
  refused: number;
}

/** Counts since the start. */
export class PriorityUsage {
  private readonly counts = new Map<string, UnitCounts>();

  recordGranted(subject: string, priority: number, units: number): void {
    this.entryOf(subject, priority).granted += units;
  }

  recordRefused(subject: string, priority: number, units: number): void {
    this.entryOf(subject, priority).refused += units;
  }

  /** Returns the counts; the keys have the form `subject/priority`. */
  entries(): ReadonlyMap<string, Readonly<UnitCounts>> {
    return this.counts;
  }

  private entryOf(subject: string, priority: number): UnitCounts {
    const key = `${subject}/${String(priority)}`;
    const known = this.counts.get(key);
    if (known !== undefined) return known;
    const created = { granted: 0, refused: 0 };
    this.counts.set(key, created);
    return created;
  }
}
