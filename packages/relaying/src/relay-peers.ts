/** Chooses the daemons by way of which requests reach a back end whose direct path is lost. */
import type { BackEnd } from '@woodbarrow/backends';
import type { RelayRefusal } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';

/** Time for which a daemon that could not relay is avoided, in milliseconds, by reason. */
const AVOIDANCE_MS: Readonly<Record<RelayRefusal | 'no_answer' | 'unsupported', number>> = {
  no_path: 1000,
  isolated: 1000,
  busy: 200,
  paused: 0,
  stopping: 1000,
  no_answer: 1500,
  unsupported: 60_000,
};
/** Time for which a daemon that reported to reach no back end is not asked, in milliseconds; it repeats its report. */
export const ISOLATION_REPORT_TTL_MS = 5000;

/** Why a daemon could not relay. */
export type AvoidanceReason = keyof typeof AVOIDANCE_MS;

/** A daemon that may relay. */
export interface RelayCandidate {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  /** Capacity of its machine, in hundredths of a core. */
  readonly capacity: number;
}

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions {
  readonly selfId: string;
  readonly zone: string;
  /** Returns the daemons present. */
  readonly members: () => readonly RelayCandidate[];
  readonly clock: Clock;
  readonly random: Random;
}

/** What one daemon knows of the others as relays. */
export class RelayPeers {
  private readonly avoided = new Map<string, { readonly until: number; readonly reason: AvoidanceReason }>();
  /** Monotonic time until which a daemon is not asked for one back end, by `daemon backEndId`. */
  private readonly noPathUntil = new Map<string, number>();
  private readonly isolatedUntil = new Map<string, number>();
  /** Exchanges of this daemon in progress, by relay. */
  private readonly inProgress = new Map<string, number>();

  constructor(private readonly options: RelayPeersOptions) {}

  /** Whether there are other daemons at all. */
  get hasOthers(): boolean {
    return this.options.members().some(({ id }) => id !== this.options.selfId);
  }

  /**
   * Returns at most `count` daemons to try in turn. Those in the zone of this daemon or of the back end come first, since traffic
   * then crosses zones once at most; among them those with the least traffic of this daemon for their capacity.
   */
  candidates(backEnd: BackEnd, count: number): RelayCandidate[] {
    const now = this.options.clock.monotonic();
    const hasPath = ({ id }: RelayCandidate): boolean =>
      (this.noPathUntil.get(noPathKey(id, backEnd.id)) ?? -Infinity) <= now;
    return this.ranked(backEnd, this.usable().filter(hasPath)).slice(0, count);
  }

  /** Returns at most `count` daemons to ask for a probe: like candidates, also those that have no path to this back end. */
  probers(backEnd: BackEnd, count: number): RelayCandidate[] {
    return this.ranked(backEnd, this.usable()).slice(0, count);
  }

  private ranked(backEnd: BackEnd, daemons: readonly RelayCandidate[]): RelayCandidate[] {
    const { random, zone } = this.options;
    const distance = (peer: RelayCandidate): number =>
      peer.zone === zone || peer.zone === backEnd.zone ? 0 : 1;
    const use = ({ id, capacity }: RelayCandidate): number =>
      ((this.inProgress.get(id) ?? 0) + 1) / Math.max(1, capacity);
    return random
      .shuffle(daemons)
      .sort((left, right) => distance(left) - distance(right) || use(left) - use(right));
  }

  /** Whether any daemon may relay, as far as is known. */
  get hasUsable(): boolean {
    return this.usable().length > 0;
  }

  private usable(): RelayCandidate[] {
    const now = this.options.clock.monotonic();
    const connected = this.others().filter(({ id }) => !this.isIsolated(id));
    const preferred = connected.filter(({ id }) => (this.avoided.get(id)?.until ?? -Infinity) <= now);
    return preferred.length > 0 ? preferred : connected.filter(({ id }) => this.mayRecover(id));
  }

  /** Whether an avoided daemon is better than none: it did not answer once, or had no room. */
  private mayRecover(id: string): boolean {
    const reason = this.avoided.get(id)?.reason;
    return reason === 'no_answer' || reason === 'busy';
  }

  /** Does not use a daemon for a while; for a single back end if only that is out of its reach. */
  avoid(id: string, reason: AvoidanceReason, backEndId?: string): void {
    const until = this.options.clock.monotonic() + AVOIDANCE_MS[reason];
    if (reason !== 'no_path') this.avoided.set(id, { until, reason });
    else if (backEndId !== undefined) this.noPathUntil.set(noPathKey(id, backEndId), until);
  }

  /** Removes the state of a back end that no longer exists. */
  forget(backEndId: string): void {
    for (const key of this.noPathUntil.keys())
      if (key.endsWith(` ${backEndId}`)) this.noPathUntil.delete(key);
  }

  /** Records a daemon's report on whether it reaches no back end. */
  noteIsolation(id: string, isIsolated: boolean): void {
    if (isIsolated) this.isolatedUntil.set(id, this.options.clock.monotonic() + ISOLATION_REPORT_TTL_MS);
    else this.isolatedUntil.delete(id);
  }

  /** Whether a daemon has reported that it reaches no back end. */
  isIsolated(id: string): boolean {
    const until = this.isolatedUntil.get(id);
    if (until === undefined) return false;
    if (until > this.options.clock.monotonic()) return true;
    this.isolatedUntil.delete(id);
    return false;
  }

  /** Counts an exchange as in progress until the returned function is called. */
  begin(id: string): () => void {
    this.inProgress.set(id, (this.inProgress.get(id) ?? 0) + 1);
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      const left = (this.inProgress.get(id) ?? 1) - 1;
      if (left > 0) this.inProgress.set(id, left);
      else this.inProgress.delete(id);
    };
  }

  private others(): readonly RelayCandidate[] {
    return this.options.members().filter(({ id }) => id !== this.options.selfId);
  }
}

function noPathKey(daemon: string, backEndId: string): string {
  return `${daemon} ${backEndId}`;
}
