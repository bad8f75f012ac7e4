/** Exit codes of the woodbarrow command. */
export const EXIT_CODES = {
  success: 0,
  /** The request was refused or failed. */
  failure: 1,
  /** Wrong arguments or settings. */
  usage: 2,
  /** Another writer changed the object first. */
  conflict: 3,
  /** The daemon is unreachable or did not respond. */
  unreachable: 4,
  /** The token is missing, unknown or lacks permission. */
  denied: 5,
} as const;
