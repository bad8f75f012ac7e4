/** Loads and validates the settings of a daemon. */
export * from './load-settings.js';
export * from './settings-schema.js';
