/**
 * Measures elapsed time including machine suspensions, during which the monotonic clock stops and the wall clock advances.
 * Counts a jump of the wall clock ahead of the monotonic clock as a suspension. Setting the wall clock forward therefore counts
 * too much time; a suspension is missed only when the wall clock is set back during it.
 *
 * Node.js offers no boot-time clock without a native module, and `os.uptime()` is inconsistent with the other clocks on
 * platforms that virtualise time.
 */

/**
 * Advance of the wall clock over the monotonic clock between two readings that counts as a suspension, in milliseconds. Must
 * exceed gradual clock corrections and stay below the safety margins of leases.
 */
const MIN_SUSPENSION_JUMP_MS = 100;

/** Tracks the suspensions of one machine from its monotonic and wall clock, both in milliseconds. */
export class SuspensionMeter {
  private lastWallOffsetMs: number;
  private suspendedMs = 0;

  constructor(
    private readonly monotonic: () => number,
    private readonly wall: () => number,
  ) {
    this.lastWallOffsetMs = wall() - monotonic();
  }

  /** Returns the milliseconds since the start of the monotonic clock including suspensions; never decreases. */
  elapsed(): number {
    const monotonicMs = this.monotonic();
    const wallOffsetMs = this.wall() - monotonicMs;
    const jumpMs = wallOffsetMs - this.lastWallOffsetMs;
    this.lastWallOffsetMs = wallOffsetMs;
    if (jumpMs > MIN_SUSPENSION_JUMP_MS) this.suspendedMs += jumpMs;
    return monotonicMs + this.suspendedMs;
  }
}
