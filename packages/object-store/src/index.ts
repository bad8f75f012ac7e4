/** Clients of the platform's object API and machine list. */
export * from './line-reader.js';
export * from './machine-list-client.js';
export * from './platform-client.js';
export * from './platform-types.js';
