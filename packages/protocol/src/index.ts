/** The internal protocol between daemons: codec, method names and message types. */
export * from './backend-messages.js';
export * from './configuration-messages.js';
export * from './coordination-messages.js';
export * from './crash-messages.js';
export * from './envelope.js';
export * from './exchange-messages.js';
export * from './gateway-messages.js';
export * from './membership-messages.js';
export * from './method.js';
export * from './placement-messages.js';
export * from './routing-messages.js';
export * from './grant-messages.js';
export * from './relay-messages.js';
export * from './residency-messages.js';
export * from './share-messages.js';
export * from './store-position.js';
export * from './stream-messages.js';
