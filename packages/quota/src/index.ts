/** Limits over all daemons, in units that the coordinators of zones hand out. */
export * from './quota-gate.js';
export * from './quota-service.js';
export * from './rate-limit-gate.js';
export * from './rate-limit-service.js';
export * from './rate-limit-report.js';
export * from './unit-bucket.js';
export * from './unit-gate.js';
export * from './unit-granter.js';
export * from './unit-purse.js';
export * from './unit-share.js';
export * from './use-rate.js';
export * from './zone-granters.js';
