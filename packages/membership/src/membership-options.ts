/** Options of the membership service, with their defaults and units. */
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock, Random } from '@woodbarrow/runtime';

/** Who this daemon is. */
export interface MemberIdentity {
  /** Unique name, kept over restarts. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** What its machine bears, in hundredths of a core. @default 100 */
  readonly capacity?: number;
  /** Higher for each later run of the same daemon, for example the time of its start. */
  readonly instance: number;
}

/** Timing of failure detection. All in milliseconds. */
export interface MembershipTimings {
  /** Pause between two probes. @default 1000 */
  readonly probeIntervalMs: number;
  /** Wait for a direct answer. @default 400 */
  readonly probeTimeoutMs: number;
  /** Wait for an answer by way of others. @default 800 */
  readonly indirectTimeoutMs: number;
  /** Time a suspected member has to refute, for ten members; grows with their logarithm. @default 3000 */
  readonly suspicionMs: number;
  /** Pause between attempts to reach an absent or unknown member. @default 5000 */
  readonly reconnectIntervalMs: number;
  /** Time after which an absent member is forgotten. @default 600000 */
  readonly forgetAfterMs: number;
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly identity: MemberIdentity;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Peer addresses to join through; asked again whenever the daemon is alone. */
  readonly seeds: () => readonly string[];
  readonly timings?: Partial<MembershipTimings>;
  /** A number sent with each probe. @default 0 */
  readonly attachment?: () => number;
  /** Era in which the attachment counts, sent with it. @default none is sent */
  readonly attachmentEra?: () => number;
  /** Called with what a background task threw. */
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

/** Defaults of {@link MembershipTimings}. */
export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 400,
  indirectTimeoutMs: 800,
  suspicionMs: 3000,
  reconnectIntervalMs: 5000,
  forgetAfterMs: 600_000,
};
