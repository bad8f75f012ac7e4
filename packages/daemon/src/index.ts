/** The daemon and its environment. */
export * from './daemon.js';
export * from './daemon-environment.js';
export * from './lease-groups.js';
export * from './system-environment.js';
