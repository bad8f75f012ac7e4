/** Copies of jobs on this daemon, and the rule by which copies are merged. */
import type { Incarnation, JobEnd, JobRecord } from '@woodbarrow/protocol';

/** A job as stored on this daemon. */
export interface JobCopy {
  readonly record: JobRecord;
  /** Runs of daemons that are known to store the job with the same outcomes. */
  readonly confirmedBy: Set<string>;
}

/** Stored jobs by id. */
export class JobCopies {
  private readonly copies = new Map<string, JobCopy>();

  get size(): number {
    return this.copies.size;
  }

  /** Returns the stored record of a job; undefined when there is none. */
  get(jobId: string): JobRecord | undefined {
    return this.copies.get(jobId)?.record;
  }

  all(): IterableIterator<JobCopy> {
    return this.copies.values();
  }

  delete(jobId: string): void {
    this.copies.delete(jobId);
  }

  /** Merges a record into the stored one and returns the result; `sender` is the daemon that sent it, if any. */
  merge(record: JobRecord, sender?: Incarnation): JobRecord {
    const stored = this.copies.get(record.id);
    const merged = stored === undefined ? record : mergeRecords(stored.record, record);
    const isChanged = stored === undefined || outcomesOf(merged) !== outcomesOf(stored.record);
    const copy = isChanged ? { record: merged, confirmedBy: new Set<string>() } : stored;
    this.copies.set(record.id, copy);
    if (sender !== undefined && outcomesOf(record) === outcomesOf(merged))
      copy.confirmedBy.add(runKey(sender));
    return copy.record;
  }
}

/** Returns a text that identifies a run of a daemon. */
export function runKey({ id, instance }: Incarnation): string {
  return `${id}/${String(instance)}`;
}

/** Whether `record` holds outcomes that `other` lacks. */
export function hasMoreOutcomes(record: JobRecord, other: JobRecord): boolean {
  return outcomesOf(mergeRecords(other, record)) !== outcomesOf(other);
}

/** Returns a record with its final outcome, and without the request, which is not run any more. */
export function endedRecord(record: JobRecord, end: JobEnd): JobRecord {
  return { ...record, headers: {}, body: new Uint8Array(), proposals: [], end };
}

function mergeRecords(stored: JobRecord, incoming: JobRecord): JobRecord {
  const end = chooseEnd(stored.end, incoming.end);
  if (end !== undefined) return endedRecord(stored, end);
  const claimants = new Set(stored.proposals.map(({ claimant }) => claimant));
  const added = incoming.proposals.filter(({ claimant }) => !claimants.has(claimant));
  return { ...stored, proposals: [...stored.proposals, ...added] };
}

/** A reported outcome replaces the statement that it was lost: daemons that hold it may have been unreachable. */
function chooseEnd(stored: JobEnd | undefined, incoming: JobEnd | undefined): JobEnd | undefined {
  if (stored?.claimant === undefined && incoming?.claimant !== undefined) return incoming;
  return stored ?? incoming;
}

function outcomesOf({ end, proposals }: JobRecord): string {
  if (end !== undefined) return `end ${end.claimant ?? ''}`;
  const claimants = proposals.map(({ claimant }) => claimant ?? '');
  return `proposals ${claimants.sort().join(' ')}`;
}
