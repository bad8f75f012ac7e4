/**
 * Chooses the relays of a large group of daemons, without messages: equal membership views give equal
 * results. The daemons with the highest capacity in each zone are relays. Relays exchange state with all
 * other relays, and each other daemon attaches to a relay of its zone. In a small group every daemon is a
 * relay. Where views differ for a moment, a daemon may at worst call one that is not a relay.
 */
import { rankByRendezvous, type Candidate } from './rendezvous.js';

/** A daemon that may be a relay. */
export interface RelayCandidate extends Candidate {
  readonly zone: string;
  /** Capacity of the machine, in any unit; the members with the highest capacity become relays. */
  readonly capacity: number;
}

/** Maximum size of a group in which every daemon is a relay. */
export const MAX_FULL_MESH_SIZE = 12;
/**
 * Number of relays, over all zones, that follow the store; the others receive changes from them. Each adds
 * load to the store. With three, one still reports changes while another is unresponsive and a third is lost.
 */
export const STORE_FOLLOWER_COUNT = 3;
/** Relays of each zone; with two, the loss of one causes no interruption. */
export const RELAYS_PER_ZONE = 2;

/** Roles of the daemons of a group, from the view of one of them. */
export interface RelayTopology<T extends RelayCandidate> {
  /** Whether this daemon is a relay. */
  readonly isRelay: boolean;
  /** Other relays of this daemon's zone, in the order in which it tries to attach to them. */
  readonly zoneRelays: readonly T[];
  /** All relays except this daemon. */
  readonly relays: readonly T[];
  /** Relays that precede this daemon in the order in which they follow the store. */
  readonly precedingFollowers: readonly T[];
}

/** Computes the relays of a group. `members` may omit this daemon. */
export function relayTopology<T extends RelayCandidate>(self: T, members: readonly T[]): RelayTopology<T> {
  const others = members.filter((member) => member.id !== self.id);
  if (others.length < MAX_FULL_MESH_SIZE) {
    return {
      isRelay: true,
      zoneRelays: [],
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
  // Each daemon has its own order, which spreads the daemons over the relays of a zone.
  return {
    isRelay,
    zoneRelays: rankByRendezvous(`attach ${self.id}`, sameZoneRelays),
    relays: otherRelays,
    precedingFollowers: isRelay ? precedingFollowers(self, otherRelays) : [],
  };
}

/** Returns the relays that precede a daemon in the order in which they follow the store. */
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

/** Sorts members by descending capacity; members of equal capacity are in rendezvous order for the key. */
export function rankByCapacity<T extends Candidate & { readonly capacity: number }>(
  key: string,
  members: readonly T[],
): T[] {
  return rankByRendezvous(key, members).sort((left, right) => right.capacity - left.capacity);
}
