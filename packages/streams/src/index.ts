/** Where streams began, shared by the daemons. */
export * from './observed-versions.js';
export * from './origin-replication.js';
export * from './origin-table.js';
export * from './stream-origin-service.js';
