/** Names of the lease groups. */

/** Group of the at-most-once ledger. */
export const LEDGER_GROUP = 'ledger';

/** Group of a zone's coordinator; its voters vote on the zone's relay too. */
export function coordinatorGroup(zone: string): string {
  return `zone/${zone}`;
}

/** Group of the lease to read the platform for a zone. */
export function relayGroup(zone: string): string {
  return `relay/${zone}`;
}
