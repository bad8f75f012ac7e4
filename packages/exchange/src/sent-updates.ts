/** What was sent to daemons that ask again and again, so that a slow one is not sent the same anew while it comes. */
import type { SourcePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/**
 * A daemon that asks from the same position again is sent the same only after this long, in milliseconds: the time that
 * an answer may take on a slow link, and less than its patience with a relay.
 */
const RESEND_INTERVAL_MS = 1000;

interface SentAnswer {
  readonly position: SourcePosition;
  readonly at: number;
}

/** Updates sent lately, by daemon and kind of record. */
export class SentUpdates {
  private readonly sent = new Map<string, SentAnswer>();

  constructor(private readonly clock: Clock) {}

  /** Whether an update may be sent to a daemon at a position now; counts it as sent. */
  maySend(reader: string, position: SourcePosition): boolean {
    if (!this.isDue(reader, position)) return false;
    this.sent.set(keyOf(reader, position), { position, at: this.clock.monotonic() });
    return true;
  }

  /** Whether an update may be sent to a daemon at a position now. */
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
