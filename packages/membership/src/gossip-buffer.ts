/** Buffer of member records to gossip: each is sent a limited number of times, the least-sent first. */
import type { MemberRecord } from '@woodbarrow/protocol';

interface BufferedUpdate {
  readonly record: MemberRecord;
  transmissions: number;
}

/** Each record is sent this many times the binary logarithm of the number of members. */
const TRANSMISSION_FACTOR = 3;

/** Buffers member records for piggybacking on probes. */
export class GossipBuffer {
  private readonly updates = new Map<string, BufferedUpdate>();

  /** Adds a record, replacing a buffered one of the same member. */
  add(record: MemberRecord): void {
    this.updates.set(record.id, { record, transmissions: 0 });
  }

  /**
   * Returns up to `limit` records; a record is dropped after enough transmissions for `memberCount` members.
   */
  take(limit: number, memberCount: number): MemberRecord[] {
    const maxTransmissions = TRANSMISSION_FACTOR * Math.ceil(Math.log2(memberCount + 1));
    const chosen = [...this.updates.values()]
      .sort((left, right) => left.transmissions - right.transmissions)
      .slice(0, limit);
    for (const update of chosen) {
      update.transmissions += 1;
      if (update.transmissions >= maxTransmissions) this.updates.delete(update.record.id);
    }
    return chosen.map((update) => update.record);
  }
}
