/** Placement: what is loaded where, decided by one coordinator a zone. */
export * from './model-activity.js';
export * from './gap-histogram.js';
export * from './warm-hours.js';
export * from './load-estimate.js';
export * from './load-permits.js';
export * from './placement-planner.js';
export * from './worker-view.js';
export * from './zone-coordinator.js';
