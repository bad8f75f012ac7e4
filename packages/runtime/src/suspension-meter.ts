/**
 * Time that has passed, that of a suspended machine included. The steady clock stands still while a machine is suspended; the
 * time of day goes on. So a time of day that has run ahead of the steady clock may mean a suspension, and is taken for one.
 * A time of day that is set forward looks the same: too much is counted then, never too little. Blind only where the
 * time of day is set back within the very suspension.
 *
 * The boot clock, which counts suspensions exactly, is not to be had in Node.js without a native module: `os.uptime()`
 * reads a file of the system, which does not follow the other clocks where a platform keeps time for its machines.
 */

/**
 * Advance of the time of day over the steady clock between two readings that counts as a suspension, in milliseconds. Corrections of
 * the time of day stay far below it (0.5 ms a second); suspensions last for seconds, and what lapses keeps margins of 300 ms or more.
 */
const MIN_SUSPENSION_JUMP_MS = 100;

/** Meter of one machine. Both readings in milliseconds. */
export class SuspensionMeter {
  private lastWallOffsetMs: number;
  private suspendedMs = 0;

  constructor(
    private readonly monotonic: () => number,
    private readonly wall: () => number,
  ) {
    this.lastWallOffsetMs = wall() - monotonic();
  }

  /** Milliseconds since the start of the steady clock, suspensions included; never goes back. */
  elapsed(): number {
    const monotonicMs = this.monotonic();
    const wallOffsetMs = this.wall() - monotonicMs;
    const jumpMs = wallOffsetMs - this.lastWallOffsetMs;
    this.lastWallOffsetMs = wallOffsetMs;
    if (jumpMs > MIN_SUSPENSION_JUMP_MS) this.suspendedMs += jumpMs;
    return monotonicMs + this.suspendedMs;
  }
}
