/** Selects the next member to probe: mostly from the same zone, sometimes from another zone or region. */
import type { MemberRecord } from '@woodbarrow/protocol';
import type { Random } from '@woodbarrow/runtime';

const SAME_ZONE_SHARE = 0.7;
const SAME_REGION_SHARE = 0.9;

/**
 * Iterates over the members of each distance in random rounds, so that each is probed within a bounded time.
 */
export class ProbeTargets {
  private readonly rounds = new Map<string, string[]>();

  constructor(
    private readonly self: MemberRecord,
    private readonly random: Random,
  ) {}

  /** Returns the next member to probe; undefined when there are no other members. */
  next(present: readonly MemberRecord[]): MemberRecord | undefined {
    const others = present.filter((member) => member.id !== this.self.id);
    const draw = this.random.next();
    const sameZone = others.filter((member) => member.zone === this.self.zone);
    if (draw < SAME_ZONE_SHARE && sameZone.length > 0) return this.nextInRound('zone', sameZone);
    const otherZone = others.filter((member) => member.zone !== this.self.zone);
    const sameRegion = otherZone.filter((member) => member.region === this.self.region);
    if (draw < SAME_REGION_SHARE && sameRegion.length > 0) return this.nextInRound('region', sameRegion);
    if (otherZone.length > 0) return this.nextInRound('world', otherZone);
    return this.nextInRound('zone', sameZone);
  }

  private nextInRound(distance: string, candidates: readonly MemberRecord[]): MemberRecord | undefined {
    const byId = new Map(candidates.map((member) => [member.id, member]));
    let round = this.rounds.get(distance) ?? [];
    for (;;) {
      const id = round.pop();
      if (id === undefined) {
        if (candidates.length === 0) return undefined;
        round = this.random.shuffle([...byId.keys()]);
        this.rounds.set(distance, round);
        continue;
      }
      const member = byId.get(id);
      if (member !== undefined) {
        this.rounds.set(distance, round);
        return member;
      }
    }
  }
}
