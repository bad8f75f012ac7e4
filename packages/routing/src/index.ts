/** Routing of requests: admission, queues and dispatch to replicas. */
export * from './admission.js';
export * from './circuit-breaker.js';
export * from './completion-stream.js';
export * from './model-queue.js';
export * from './queue-owner.js';
export * from './replica-directory.js';
export * from './router.js';
export * from './stream-forwarder.js';
