/** Prompt parts that have lately been part of a complete answer. A part that crashes every worker never is. */
import type { Clock } from '@woodbarrow/runtime';

/** Time for which a complete answer acquits its parts, in milliseconds. A part may start to crash workers, as their software changes. */
const ACQUITTAL_MS = 60_000;
/** Maximum number of parts; those served least recently are dropped. */
const MAX_PARTS = 8192;

/** Acquitted parts at one daemon. */
export class ServedParts {
  /** Monotonic time of the last complete answer, in the order of these times. */
  private readonly servedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a complete answer. @param parts Part contents of its request. */
  note(parts: readonly string[]): void {
    const now = this.clock.monotonic();
    for (const part of parts) {
      this.servedAt.delete(part);
      this.servedAt.set(part, now);
    }
    for (const part of this.servedAt.keys()) {
      if (this.servedAt.size <= MAX_PARTS) return;
      this.servedAt.delete(part);
    }
  }

  /** Whether a part was part of a complete answer lately. */
  has(part: string): boolean {
    const at = this.servedAt.get(part);
    return at !== undefined && this.clock.monotonic() - at <= ACQUITTAL_MS;
  }
}
