/** Group membership with failure detection. */
export * from './member-table.js';
export * from './membership-options.js';
export * from './membership.js';
