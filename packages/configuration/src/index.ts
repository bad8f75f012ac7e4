/** Configuration: schema of templates and tenants, distribution to daemons, and the catalog of the current content. */
export * from './allotments.js';
export * from './catalog.js';
export * from './configuration-relay.js';
export * from './configuration-store.js';
export * from './template-schema.js';
export * from './voter-sets.js';
