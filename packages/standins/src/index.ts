/** Stand-ins for external systems, shared by real runs and simulations. */
export * from './engine.js';
export * from './machine-list.js';
export * from './platform.js';
export * from './weight-store.js';
export * from './retry-windows.js';
