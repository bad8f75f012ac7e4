/** Timings of the membership among serving daemons, in milliseconds. */

/** Timings of failure detection for a small number of daemons on fast links. */
export const MEMBERSHIP_TIMINGS = {
  probeIntervalMs: 700,
  probeTimeoutMs: 300,
  indirectTimeoutMs: 600,
  suspicionMs: 1500,
  reconnectIntervalMs: 3000,
};
