/** Simulations, experiments and checks of woodbarrow. Daemons do not depend on this package. */
export * from './checkers/index.js';
export * from './scenario/expand-scenario.js';
export * from './scenario/load-scenario.js';
export * from './scenario/scenario-schema.js';
export * from './simulation/run-simulation.js';
export * from './simulation/simulated-deployment.js';
export * from './simulation/simulation-summary.js';
export * from './traffic/caller.js';
export * from './traffic/workload.js';
