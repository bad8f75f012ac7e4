/** Paths from a daemon to the back ends: direct connections, and relays by other daemons when these are lost. */
export * from './backend-paths.js';
export * from './isolation-reports.js';
export * from './path-observer.js';
export * from './path-probe.js';
export * from './relay-peers.js';
export * from './relay-service.js';
export * from './relayed-exchange.js';
export * from './relayed-probe.js';
export * from './relaying-client.js';
