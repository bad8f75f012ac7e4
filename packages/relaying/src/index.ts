/** Paths from a daemon to the back ends. */
export * from './backend-paths.js';
export * from './path-observer.js';
export * from './path-probe.js';
