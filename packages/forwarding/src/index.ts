/** Requests passed through to back ends. */
export * from './backend-choice.js';
export * from './backend-health.js';
export * from './connection-share.js';
export * from './event-splitter.js';
export * from './forwarder.js';
export * from './forwarding-configuration.js';
export * from './forwarding-context.js';
export * from './plain-selector.js';
export * from './prompt-affinity.js';
export * from './repeat-budget.js';
export * from './replica-selector.js';
export * from './request-journal.js';
export * from './residency-port.js';
export * from './route-table.js';
export * from './route.js';
export * from './traffic-splitter.js';
export * from './wire-dialect.js';
