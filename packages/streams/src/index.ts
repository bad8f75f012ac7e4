/** Where streams began, shared by the daemons. */
export * from './observed-versions.js';
export * from './origin-recorder.js';
export * from './origin-replication.js';
export * from './origin-table.js';
export * from './recorded-streams.js';
export * from './stream-origin-service.js';
export * from './stream-records.js';
export * from './version-recorder.js';
