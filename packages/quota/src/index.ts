/** Deployment-wide limits, enforced with units that the coordinators of zones allocate to daemons. */
export * from './quota-gate.js';
export * from './quota-service.js';
export * from './rate-limit-gate.js';
export * from './rate-limit-service.js';
export * from './rate-limit-report.js';
export * from './unit-bucket.js';
export * from './priority-shares.js';
export * from './priority-gate.js';
export * from './priority-usage.js';
export * from './unit-gate.js';
export * from './unit-allocator.js';
export * from './local-allowance.js';
export * from './unit-share.js';
export * from './usage-rate.js';
export * from './zone-allocators.js';
export * from './share-loan-service.js';
