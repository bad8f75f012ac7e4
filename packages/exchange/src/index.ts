/** Regular exchange of load, claims and store records between daemons, by way of relays. */
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
export * from './follower-watch.js';
