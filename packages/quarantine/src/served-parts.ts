/**
 * Prompt parts that have lately been part of a complete answer. This does not acquit a part, which may crash workers since, but a part that
 * was never served is not worth a trial.
 */
import type { Clock } from '@woodbarrow/runtime';

/** Time for which a part that was served is remembered, in milliseconds; the lifetime of crash marks. */
const RETENTION_MS = 600_000;
/** Maximum number of parts; those served least recently are dropped. */
const MAX_PARTS = 8192;

/** Parts that a daemon has served, or knows by the marks of others to have been served. */
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
    return at !== undefined && this.clock.monotonic() - at <= RETENTION_MS;
  }
}
