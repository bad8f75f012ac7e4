/**
 * Computes when a new holder of a lease may first act. The result depends on everything that is known of earlier
 * holders and not on the way in which the lease was acquired: it is the latest of all moments that the evidence
 * requires, so it only moves later while the lease changes hands.
 */
import { CLOCK_DRIFT_SHARE, CONTACT_LIFETIME_MS } from './lease-witness.js';
import type { LeaseRecord } from './lease-record.js';

/** Which evidence determined the pause of a new holder. */
export type HandoverPauseReason =
  /** No earlier holder can have acted recently. */
  | 'none'
  /** The writer of the record may have acted until it wrote. */
  | 'record_written'
  /** The writer of the record still waited for its own predecessor. */
  | 'inherited'
  /** The holder was refused and may have acted until its contact with the witnesses expired. */
  | 'refused';

/** Time from which a new holder may act. */
export interface HandoverPause {
  /** Monotonic time of this daemon before which it must not act. */
  readonly actsFrom: number;
  readonly reason: HandoverPauseReason;
}

/** Evidence about earlier holders. */
export interface HandoverEvidence {
  /** Current monotonic time of this daemon. */
  readonly now: number;
  /** Minimum time between the actions of two holders, in milliseconds. */
  readonly handoverPauseMs: number;
  /** Record that is replaced; absent where there is none. */
  readonly replaced?: ReplacedRecord;
  /**
   * Shortest time since any witness that refuses the holder last accepted a request of it, in milliseconds; absent
   * where the holder was not refused.
   */
  readonly lastContactAgoMs?: number;
}

/** Record that a new holder replaces. */
export interface ReplacedRecord {
  readonly record: LeaseRecord;
  /** Latest possible time of its write, in this daemon's monotonic time. */
  readonly writtenBefore: number;
  /** Whether this machine wrote it, in this or an earlier run of its process. */
  readonly isOwn: boolean;
}

/**
 * Maximum time for which an action may be in flight when its holder stops to act, in milliseconds: the timeout of an
 * order.
 */
export const IN_FLIGHT_ACTION_MS = 500;

/** Returns the latest of the moments that the evidence requires. */
export function handoverPause(evidence: HandoverEvidence): HandoverPause {
  let latest: HandoverPause = { actsFrom: evidence.now, reason: 'none' };
  for (const pause of requiredPauses(evidence)) {
    if (pause.actsFrom > latest.actsFrom) latest = pause;
  }
  return latest;
}

function requiredPauses({
  now,
  handoverPauseMs,
  replaced,
  lastContactAgoMs,
}: HandoverEvidence): HandoverPause[] {
  const pauses: HandoverPause[] = [];
  if (lastContactAgoMs !== undefined) {
    const lapsedAgoMs = Math.max(0, lastContactAgoMs - CONTACT_LIFETIME_MS);
    const actsFrom = now - lapsedAgoMs + handoverPauseMs + IN_FLIGHT_ACTION_MS;
    pauses.push({ actsFrom, reason: 'refused' });
  }
  if (replaced === undefined) return pauses;
  const { record, writtenBefore, isOwn } = replaced;
  pauses.push({
    actsFrom: writtenBefore + record.pauseMs * (1 + CLOCK_DRIFT_SHARE),
    reason: 'inherited',
  });
  const isReleased = record.holder === '';
  if (isReleased || !isOwn) {
    const inFlightMs = isReleased ? 0 : IN_FLIGHT_ACTION_MS;
    pauses.push({ actsFrom: writtenBefore + handoverPauseMs + inFlightMs, reason: 'record_written' });
  }
  return pauses;
}
