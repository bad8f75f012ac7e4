/** What daemons tell each other again and again: load, claims, and records of the store, by way of relays. */
export * from './staleness-tracker.js';
export * from './change-log.js';
export * from './coordinator-directory.js';
export * from './crash-mark-transfer.js';
export * from './peer-exchange.js';
export * from './record-packer.js';
export * from './record-position.js';
export * from './record-set.js';
export * from './record-transfer.js';
export * from './sent-updates.js';
export * from './follower-tracker.js';
