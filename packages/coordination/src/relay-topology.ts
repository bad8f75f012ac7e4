/**
 * Who tells whom in a large group of daemons, agreed without messages by equal views. Some daemons of each zone are
 * relays, those with the strongest machines: they exchange what they know with all other relays, and the other daemons
 * of the zone attach to one of them. In a small group every daemon is a relay. Views that differ for a moment cost an attempt at a daemon that
 * is no relay, and nothing else.
 */
import { rankByRendezvous, type Candidate } from './rendezvous.js';

/** A daemon that may be a relay. */
export interface RelayCandidate extends Candidate {
  readonly zone: string;
  /** What its machine bears, in any unit: relays are chosen among those that bear most. */
  readonly capacity: number;
}

/** Groups up to this size have no daemons but relays. */
export const MAX_FULL_MESH_SIZE = 12;
/**
 * Relays of all zones that follow the store at once, the others learn of changes from them. Each costs calls to the
 * store; with three, one may be silent and one lost while the third tells of a change.
 */
export const STORE_FOLLOWERS = 3;
/** Relays of a zone: one may be lost without a pause. */
export const RELAYS_PER_ZONE = 2;

/** Places of the daemons of a group, as one of them sees it. */
export interface RelayTopology<T extends RelayCandidate> {
  /** Whether this daemon is a relay. */
  readonly isRelay: boolean;
  /** Relays of the own zone without this daemon, in the order in which it attaches to them. */
  readonly ownRelays: readonly T[];
  /** All relays but this daemon. */
  readonly relays: readonly T[];
  /** Relays that follow the store rather than this daemon, as long as they can. */
  readonly precedingFollowers: readonly T[];
}

/** Works out the relays among the members of a group, which need not name this daemon. */
export function relayTopology<T extends RelayCandidate>(self: T, members: readonly T[]): RelayTopology<T> {
  const others = members.filter((member) => member.id !== self.id);
  if (others.length < MAX_FULL_MESH_SIZE) {
    return {
      isRelay: true,
      ownRelays: [],
      relays: others,
      precedingFollowers: precedingFollowers(self, others),
    };
  }
  const membersByZone = new Map<string, T[]>();
  for (const member of [self, ...others]) {
    const zoneMembers = membersByZone.get(member.zone);
    if (zoneMembers === undefined) membersByZone.set(member.zone, [member]);
    else zoneMembers.push(member);
  }
  const relays = [...membersByZone].flatMap(([zone, ofZone]) => relaysOf(zone, ofZone));
  const isRelay = relays.some((relay) => relay.id === self.id);
  const otherRelays = relays.filter((relay) => relay.id !== self.id);
  const sameZoneRelays = otherRelays.filter((relay) => relay.zone === self.zone);
  // Each daemon has an order of its own, so that the relays of a zone share the work.
  return {
    isRelay,
    ownRelays: rankByRendezvous(`attach ${self.id}`, sameZoneRelays),
    relays: otherRelays,
    precedingFollowers: isRelay ? precedingFollowers(self, otherRelays) : [],
  };
}

/** Relays that come before a daemon in the order in which they follow the store. */
function precedingFollowers<T extends RelayCandidate>(self: T, otherRelays: readonly T[]): T[] {
  const ranked = rankByRendezvous('follow the store', [self, ...otherRelays]);
  return ranked.slice(
    0,
    ranked.findIndex(({ id }) => id === self.id),
  );
}

function relaysOf<T extends RelayCandidate>(zone: string, members: readonly T[]): T[] {
  return rankByCapacity(`relay ${zone}`, members).slice(0, RELAYS_PER_ZONE);
}

/** Members that bear more first, and those that bear the same in an order of their own for each key. */
export function rankByCapacity<T extends Candidate & { readonly capacity: number }>(
  key: string,
  members: readonly T[],
): T[] {
  return rankByRendezvous(key, members).sort((left, right) => right.capacity - left.capacity);
}
