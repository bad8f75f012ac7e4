/** Limits of the listeners of a daemon that do not come from the configuration. */
import type { IngressLimits } from '@woodbarrow/runtime';

/** Ingress limits until the configuration has been read. */
export const INITIAL_INGRESS_LIMITS: IngressLimits = {
  maximumHeaderBytes: 16_384,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
/** Limits of the listeners for readiness checks and metrics. */
export const READINESS_LIMITS: IngressLimits = {
  maximumHeaderBytes: 8192,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 60_000,
};
