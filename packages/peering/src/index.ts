/** Remote calls between daemons. */
export * from './open-calls.js';
export * from './peer-network.js';
export * from './response-times.js';
export * from './traffic-counters.js';
export * from './simulated-cluster.js';
