/** The HTTP APIs for callers and operators. */
export * from './authentication.js';
export * from './caller-api.js';
export * from './completion-request.js';
export * from './completions.js';
export * from './error-response.js';
export * from './jobs.js';
export * from './json-body.js';
export * from './merge-patch.js';
export * from './operator-api.js';
export * from './status.js';
