/** Names of the groups that vote on leases. */

/** Group of the leader of the at-most-once ledger. */
export const LEDGER_GROUP = 'ledger';

/** Returns the group of a zone's coordinator. Its voters also vote on the zone's relay. */
export function coordinatorGroup(zone: string): string {
  return `zone/${zone}`;
}

/** Returns the group of a zone's relay, which reads the platform for the zone. */
export function relayGroup(zone: string): string {
  return `relay/${zone}`;
}
