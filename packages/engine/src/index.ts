/** Client and message schemas of the model engines. */
export * from './engine-client.js';
export * from './engine-types.js';
