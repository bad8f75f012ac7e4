/** The serving daemon and the ports that connect it to a deployment. */
export * from './deployment-view.js';
export * from './logged-journal.js';
export * from './member-registration.js';
export * from './ports.js';
export * from './record-follower.js';
export * from './record-watch.js';
export * from './saturation-guard.js';
export * from './serving-daemon.js';
export * from './serving-settings.js';
export * from './serving-metrics.js';
