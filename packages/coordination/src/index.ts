/**
 * Coordination: majority leases with replicated records, store leases with witnesses, claims, relay topology
 * and rendezvous hashing.
 */
export * from './claim-ledger.js';
export * from './claims-client.js';
export * from './lease-candidate.js';
export * from './lease-locator.js';
export * from './lease-voter.js';
export * from './lease.js';
export * from './rendezvous.js';
export * from './voter-calls.js';
export * from './store-lease.js';
export * from './lease-record.js';
export * from './lease-witness.js';
export * from './handover-pause.js';
export * from './holder-contact.js';
export * from './relay-topology.js';
