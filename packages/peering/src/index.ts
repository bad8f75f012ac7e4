/** Remote calls between daemons. */
export * from './peer-network.js';
export * from './traffic-counters.js';
export * from './simulated-cluster.js';
