/** Back ends, their services and models, and the load on them. */
export * from './back-end.js';
export * from './backend-directory.js';
export * from './expected-time.js';
export * from './load-tracker.js';
export * from './run-times.js';
export * from './load-report.js';
export * from './model-name.js';
export * from './service-definition.js';
export * from './pace-view.js';
export * from './reported-load.js';
export * from './worker-paces.js';
