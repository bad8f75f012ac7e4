/** Member records of one daemon, and the rule by which newer records replace older ones. */
import type { MemberRecord, MemberStatus } from '@woodbarrow/protocol';
import { hashText } from '@woodbarrow/runtime';

/** Number of digest buckets; a view exchange transfers only the buckets that differ. */
export const DIGEST_BUCKETS = 16;

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
  left: 4,
};

/** Whether a member counts as running: alive, leaving or suspected. */
export function isPresent(record: MemberRecord): boolean {
  return record.status === 'alive' || record.status === 'leaving' || record.status === 'suspect';
}

/** Whether `candidate` is newer than `known`. */
export function supersedes(candidate: MemberRecord, known: MemberRecord): boolean {
  if (candidate.instance !== known.instance) return candidate.instance > known.instance;
  // A member that has left never becomes present again under the same instance.
  if (known.status === 'left') return false;
  if (candidate.status === 'left') return true;
  if (candidate.refutation !== known.refutation) return candidate.refutation > known.refutation;
  return STATUS_RANK[candidate.status] > STATUS_RANK[known.status];
}

interface TableEntry {
  record: MemberRecord;
  /** Monotonic time of the last change. */
  changedAt: number;
}

/** Membership view of one daemon. */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();
  private presentMembers = 0;
  private readonly bucketDigests: number[] = new Array<number>(DIGEST_BUCKETS).fill(0);
  private sortedPresent: readonly MemberRecord[] | undefined;
  private sortedEligible: readonly MemberRecord[] | undefined;

  /** Number of present members. */
  get presentCount(): number {
    return this.presentMembers;
  }

  /** Number of records, including those of absent members. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the record of a member; undefined when there is none. */
  get(id: string): MemberRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /** Returns the monotonic time of the last change of a member's record; undefined when there is none. */
  changedAt(id: string): number | undefined {
    return this.entries.get(id)?.changedAt;
  }

  /** Present members ordered by id. The array is shared and must not be modified. */
  present(): readonly MemberRecord[] {
    this.sortedPresent ??= this.all()
      .filter(isPresent)
      .sort((left, right) => (left.id < right.id ? -1 : 1));
    return this.sortedPresent;
  }

  /** Present members that are neither leaving nor suspected, ordered by id. The array is shared. */
  eligible(): readonly MemberRecord[] {
    this.sortedEligible ??= this.present().filter((member) => member.status === 'alive');
    return this.sortedEligible;
  }

  all(): MemberRecord[] {
    return [...this.entries.values()].map((entry) => entry.record);
  }

  /** Stores a record if it is newer than the stored one; returns whether it was. */
  apply(record: MemberRecord, now: number): boolean {
    const known = this.entries.get(record.id);
    if (known !== undefined && !supersedes(record, known.record)) return false;
    if (known !== undefined) {
      this.toggleDigest(known.record);
      this.presentMembers -= Number(isPresent(known.record));
    }
    this.toggleDigest(record);
    this.presentMembers += Number(isPresent(record));
    this.entries.set(record.id, { record, changedAt: now });
    this.sortedPresent = undefined;
    this.sortedEligible = undefined;
    return true;
  }

  /** Removes absent members whose record has not changed for `ageMs`. */
  forgetAbsent(now: number, ageMs: number): void {
    for (const [id, entry] of this.entries) {
      if (!isPresent(entry.record) && now - entry.changedAt > ageMs) this.entries.delete(id);
    }
  }

  /** Returns the suspected members whose suspicion began more than `ageMs` ago. */
  expiredSuspects(now: number, ageMs: number): MemberRecord[] {
    const expired: MemberRecord[] = [];
    for (const { record, changedAt } of this.entries.values()) {
      if (record.status === 'suspect' && now - changedAt > ageMs) expired.push(record);
    }
    return expired;
  }

  /** Restarts all suspicions, after this daemon itself was suspended. */
  restartSuspicions(now: number): void {
    for (const entry of this.entries.values()) {
      if (entry.record.status === 'suspect') entry.changedAt = now;
    }
  }

  /** Digest of the present members; equal views have equal digests. */
  digest(): number {
    return this.bucketDigests.reduce((total, digest) => (total ^ digest) >>> 0, 0);
  }

  /** Digest of each bucket. */
  digests(): readonly number[] {
    return [...this.bucketDigests];
  }

  /** Returns all records in the given buckets. */
  recordsInBuckets(buckets: ReadonlySet<number>): MemberRecord[] {
    return this.all().filter((record) => buckets.has(bucketOf(record.id)));
  }

  private toggleDigest(record: MemberRecord): void {
    if (!isPresent(record)) return;
    const bucket = bucketOf(record.id);
    const current = this.bucketDigests[bucket] ?? 0;
    this.bucketDigests[bucket] = (current ^ hashText(`${record.id}/${String(record.instance)}`)) >>> 0;
  }
}

/** Returns the digest bucket of a member. */
export function bucketOf(id: string): number {
  return hashText(id) % DIGEST_BUCKETS;
}
