/**
 * Tracks updates sent to daemons that ask repeatedly, so that an update in transit on a slow link is not sent
 * again.
 */
import type { SourcePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/**
 * Milliseconds after which an update is sent again to a daemon that asks from the same position: the time
 * that a response may take on a slow link, and shorter than the timeout of an attach call.
 */
const RESEND_INTERVAL_MS = 1000;

interface SentAnswer {
  readonly position: SourcePosition;
  readonly at: number;
}

/** Recently sent updates, by daemon and kind of record. */
export class SentUpdates {
  private readonly sent = new Map<string, SentAnswer>();

  constructor(private readonly clock: Clock) {}

  /** Whether an update may be sent to a daemon at a position now; records it as sent if so. */
  maySend(reader: string, position: SourcePosition): boolean {
    if (!this.isDue(reader, position)) return false;
    this.sent.set(keyOf(reader, position), { position, at: this.clock.monotonic() });
    return true;
  }

  /** Whether an update may be sent to a daemon at a position now, without recording it. */
  isDue(reader: string, position: SourcePosition): boolean {
    const previous = this.sent.get(keyOf(reader, position));
    if (previous === undefined || !isSamePosition(previous.position, position)) return true;
    return this.clock.monotonic() - previous.at >= RESEND_INTERVAL_MS;
  }
}

function isSamePosition(left: SourcePosition, right: SourcePosition): boolean {
  return (
    left.era === right.era &&
    left.revision === right.revision &&
    left.version === right.version &&
    left.names === right.names
  );
}

function keyOf(reader: string, { source }: SourcePosition): string {
  return `${reader} ${source}`;
}
