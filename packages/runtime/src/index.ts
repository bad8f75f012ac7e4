/** Seams to the outside: time, randomness, transport and HTTP, each for real and in simulation. */
export * from './async-queue.js';
export * from './clock.js';
export * from './express-server.js';
export * from './hashing.js';
export * from './http.js';
export * from './random.js';
export * from './retry.js';
export * from './simulated-clock.js';
export * from './simulated-http.js';
export * from './simulated-network.js';
export * from './simulated-transport.js';
export * from './system-random.js';
export * from './task-group.js';
export * from './tcp-transport.js';
export * from './tls-refresh.js';
export * from './transport.js';
export * from './undici-client.js';
