/** Origins of the streams that one daemon began, or keeps for others. */
import type { StreamOrigin } from '@woodbarrow/forwarding';
import type { Clock } from '@woodbarrow/runtime';

/** Maximum number of streams. New streams are not stored beyond it, so that a flood of them evicts none that may be taken up. */
export const MAX_STREAMS = 100_000;
/** Interval at which expired streams are removed, in milliseconds. */
const PRUNE_INTERVAL_MS = 5000;

/** A stream and the monotonic time until which it is kept, in milliseconds. */
export interface StoredOrigin {
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
}

/** Bounded table of streams, by the id of the request that brought the first event. */
export class OriginTable {
  private readonly streams = new Map<string, StoredOrigin>();
  private prunedAt = -Infinity;
  private droppedCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity = MAX_STREAMS,
  ) {}

  get size(): number {
    return this.streams.size;
  }

  /** Streams that were not stored since the table was full. */
  get dropped(): number {
    return this.droppedCount;
  }

  /** Returns a stream that has not expired. */
  get(streamId: string): StoredOrigin | undefined {
    const stored = this.streams.get(streamId);
    return stored !== undefined && stored.expiresAt > this.clock.monotonic() ? stored : undefined;
  }

  /** Stores a stream; one that is known keeps its origin and expires no earlier than before. Returns the stored stream, if any. */
  put(streamId: string, origin: StreamOrigin, retainMs: number): StoredOrigin | undefined {
    const now = this.clock.monotonic();
    if (now - this.prunedAt >= PRUNE_INTERVAL_MS) this.prune(now);
    const known = this.get(streamId);
    if (known === undefined && this.streams.size >= this.capacity) {
      this.droppedCount += 1;
      return undefined;
    }
    const stored = {
      origin: known?.origin ?? origin,
      expiresAt: Math.max(known?.expiresAt ?? 0, now + retainMs),
    };
    this.streams.set(streamId, stored);
    return stored;
  }

  private prune(now: number): void {
    this.prunedAt = now;
    for (const [streamId, { expiresAt }] of this.streams) if (expiresAt <= now) this.streams.delete(streamId);
  }
}
