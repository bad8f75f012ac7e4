/** Quarantine of requests and loads that crash the processes which run them. */
export * from './crash-marks.js';
export * from './culprit-search.js';
export * from './crash-batch-records.js';
export * from './load-content.js';
export * from './load-quarantine.js';
export * from './process-state-checker.js';
export * from './quarantine-options.js';
export * from './quarantine-record.js';
export * from './request-quarantine.js';
export * from './suspect-trials.js';
export * from './suspect-slots.js';
export * from './part-content.js';
export * from './part-search.js';
export * from './content-attempt.js';
export * from './run-watch.js';
