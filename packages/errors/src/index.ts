/** Error kinds, the HTTP response of each kind, and the error class that carries them. */
export * from './kinds.js';
export * from './woodbarrow-error.js';
