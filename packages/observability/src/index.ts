/** Structured logging and metrics. */
export * from './event-log.js';
export * from './metrics.js';
export * from './bounded-log.js';
export * from './metric-registry.js';
export * from './task-failures.js';
export * from './call-failures.js';
export * from './log-events.js';
