/** Which model is resident on which worker. */
export * from './copies.js';
export * from './demand-router.js';
export * from './load-plan.js';
export * from './load-planner.js';
export * from './load-scheduler.js';
export * from './load-view.js';
export * from './load-window.js';
export * from './adapter-orders.js';
export * from './order-client.js';
export * from './order-sender.js';
export * from './pending-demand.js';
export * from './placement-choice.js';
export * from './resident-set.js';
export * from './residency-service.js';
export * from './return-promises.js';
export * from './worker-orders.js';
export * from './zone-residency.js';
