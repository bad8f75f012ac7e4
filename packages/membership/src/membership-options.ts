/** Options of the membership service, with their defaults and units. */
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock, Random } from '@woodbarrow/runtime';

/** Identity of this daemon. */
export interface MemberIdentity {
  /** Unique name, the same after a restart. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** Capacity of its machine, in hundredths of a core. @default 100 */
  readonly capacity?: number;
  /** Identifies the run; higher for each later run of the same daemon, for example its start time. */
  readonly instance: number;
}

/** Timing of failure detection. All in milliseconds. */
export interface MembershipTimings {
  /** Interval between two probes. @default 1000 */
  readonly probeIntervalMs: number;
  /** Timeout of a direct probe. @default 400 */
  readonly probeTimeoutMs: number;
  /** Timeout of an indirect probe. @default 800 */
  readonly indirectTimeoutMs: number;
  /**
   * Time that a suspected member has to refute, for ten members; grows with the logarithm of their number.
   * @default 3000
   */
  readonly suspicionMs: number;
  /** Average pause between attempts to reach an absent or unknown member. @default 5000 */
  readonly reconnectIntervalMs: number;
  /** Time after which the record of an absent member is removed. @default 600000 */
  readonly forgetAfterMs: number;
}

export interface MembershipOptions {
  readonly identity: MemberIdentity;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the peer addresses of members to join through; also used to reconnect to absent members. */
  readonly seeds: () => readonly string[];
  readonly timings?: Partial<MembershipTimings>;
  /** A number sent with each probe. @default 0 */
  readonly attachment?: () => number;
  /** Era of the attachment, sent with it. @default not sent */
  readonly attachmentEra?: () => number;
  /** Called when a background task throws. */
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 400,
  indirectTimeoutMs: 800,
  suspicionMs: 3000,
  reconnectIntervalMs: 5000,
  forgetAfterMs: 600_000,
};
