/** Placement of models on workers, decided by one coordinator in each zone. */
export * from './model-activity.js';
export * from './gap-histogram.js';
export * from './warm-hours.js';
export * from './load-estimate.js';
export * from './load-permits.js';
export * from './placement-planner.js';
export * from './worker-view.js';
export * from './zone-coordinator.js';
