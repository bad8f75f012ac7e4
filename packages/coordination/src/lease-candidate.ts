/** Candidate side of a majority lease: acquisition, renewal and handover. */
import Emittery from 'emittery';
import {
  acquireMethod,
  releaseMethod,
  sealMethod,
  type AcquireRequest,
  type AcquireResponse,
  type LeaseRecord,
  type Seat,
  type VoterSet,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import { TaskGroup, sleep, type Clock, type Random } from '@woodbarrow/runtime';
import { Lease } from './lease.js';
import { isNewer } from './lease-voter.js';
import { callVoters, isMajority } from './voter-calls.js';

/** Voters of a group in the current and the previous epoch. */
export interface VoterSets {
  readonly current: VoterSet;
  /** Absent in the first epoch. */
  readonly previous?: VoterSet;
}

/** Timing of a lease, in milliseconds except for the drift bound. */
export interface LeaseTimings {
  /** Time after which a lease that is not renewed expires. @default 3000 */
  readonly durationMs: number;
  /** Timeout of a call to the voters. @default 800 */
  readonly callTimeoutMs: number;
  /** Maximum relative difference between the clock rates of two machines. @default 0.02 */
  readonly driftBound: number;
}

export const DEFAULT_LEASE_TIMINGS: LeaseTimings = { durationMs: 3000, callTimeoutMs: 800, driftBound: 0.02 };

export interface LeaseCandidateOptions {
  readonly group: string;
  readonly id: string;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Current voters; undefined while they are unknown. */
  readonly voterSets: () => VoterSets | undefined;
  /** Whether this daemon wants the lease. A holder that no longer wants it hands it over. */
  readonly isWilling: () => boolean;
  readonly timings?: Partial<LeaseTimings>;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

export interface LeaseEvents {
  acquired: Lease;
  lost: Lease;
}

const RENEWALS_PER_DURATION = 3;
const IDLE_PAUSE_MS = 1000;

/** Acquires and renews the lease of one group while this daemon is willing to hold it. */
export class LeaseCandidate {
  readonly events = new Emittery<LeaseEvents>();
  private readonly timings: LeaseTimings;
  private readonly tasks: TaskGroup;
  private lease: Lease | undefined;
  private highestTerm = 0;
  private highestTermEpoch = 0;
  /** Last epoch, by voter id, whose voter set the voter has received. */
  private readonly informedEpochs = new Map<string, number>();

  constructor(private readonly options: LeaseCandidateOptions) {
    this.timings = { ...DEFAULT_LEASE_TIMINGS, ...options.timings };
    this.tasks = new TaskGroup(options.clock, options.onTaskFailure ?? (() => undefined));
  }

  /** The lease, if it is valid now; otherwise undefined. */
  get held(): Lease | undefined {
    return this.lease?.isValid === true ? this.lease : undefined;
  }

  /** Starts to acquire the lease. */
  start(): void {
    this.tasks.spawn(`lease.${this.options.group}`, (signal) => this.run(signal));
  }

  /** Stops, and releases the lease if it is held. */
  async stop(): Promise<void> {
    await this.tasks.stop();
    await this.handOver();
  }

  /** Stops without releasing the lease, as a crash would. */
  abort(): void {
    this.tasks.abort();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await this.step();
      await sleep(this.options.clock, pauseMs, signal);
    }
  }

  /** Tries once to acquire or renew the lease; returns the pause before the next step in milliseconds. */
  private async step(): Promise<number> {
    const sets = this.options.voterSets();
    if (sets === undefined || sets.current.voters.length === 0) return IDLE_PAUSE_MS;
    if (this.lease !== undefined) return this.renew(this.lease, sets.current);
    if (!this.options.isWilling()) return IDLE_PAUSE_MS;
    return this.acquire(sets);
  }

  private async renew(lease: Lease, current: VoterSet): Promise<number> {
    if (!this.options.isWilling()) {
      await this.handOver();
      return IDLE_PAUSE_MS;
    }
    if (current.epoch > lease.set.epoch || !lease.isValid) {
      // The voters of the next epoch decide from now on, or this daemon was suspended for longer than its
      // lease.
      this.dropLease(lease);
      return 0;
    }
    const startedAt = this.options.clock.elapsed();
    const answers = await this.requestLease(lease.set, lease.term, true, true);
    const granted = answers.filter((answer) => answer.outcome === 'granted').length;
    if (isMajority(granted, lease.set)) lease.extend(this.validUntil(startedAt));
    if (!lease.isValid) this.dropLease(lease);
    return this.timings.durationMs / RENEWALS_PER_DURATION;
  }

  private async acquire(sets: VoterSets): Promise<number> {
    const { current } = sets;
    if (current.epoch !== this.highestTermEpoch) {
      this.highestTermEpoch = current.epoch;
      this.highestTerm = 0;
    }
    const term = this.highestTerm + 1;
    const startedAt = this.options.clock.elapsed();
    const answers = await this.requestLease(current, term, false, false);
    for (const answer of answers) this.highestTerm = Math.max(this.highestTerm, answer.term);
    const granted = answers.filter((answer) => answer.outcome === 'granted');
    if (!isMajority(granted.length, current)) {
      if (granted.length > 0) await this.release(current, term);
      return this.pauseAfterRefusal(answers);
    }
    const records = mergeRecords(granted.map((answer) => answer.records ?? []));
    const lease = this.createLease(current, term, startedAt, records);
    const carried = await this.carryOver(lease, sets.previous);
    if (!carried.isValid) {
      await this.release(current, term);
      return this.randomPauseMs();
    }
    this.lease = carried;
    void this.events.emit('acquired', carried);
    return this.timings.durationMs / RENEWALS_PER_DURATION;
  }

  private createLease(
    set: VoterSet,
    term: number,
    startedAt: number,
    records: readonly LeaseRecord[],
  ): Lease {
    return new Lease({
      peers: this.options.peers,
      clock: this.options.clock,
      set,
      term,
      validUntil: this.validUntil(startedAt),
      records,
      writeTimeoutMs: this.timings.callTimeoutMs,
    });
  }

  /**
   * In a new epoch, seals a majority of the previous voters and copies their records into the new epoch.
   * Without such a majority the lease stays incomplete, and its holder must handle missing records.
   */
  private async carryOver(lease: Lease, previous: VoterSet | undefined): Promise<Lease> {
    if (lease.isComplete || previous === undefined) return lease;
    const { peers } = this.options;
    const answers = await callVoters(
      peers,
      previous,
      sealMethod,
      (seat) => ({ seat }),
      this.timings.callTimeoutMs,
    );
    const sealed = answers.filter((answer) => answer.sealed);
    if (!isMajority(sealed.length, previous)) return lease;
    // If this fails, the lease stays incomplete and another attempt in this epoch seals again.
    await lease.carryOver(mergeRecords(sealed.map((answer) => answer.records))).catch(() => undefined);
    return lease;
  }

  private async requestLease(
    set: VoterSet,
    term: number,
    renewal: boolean,
    stopAtMajority: boolean,
  ): Promise<AcquireResponse[]> {
    const request = (seat: Seat, withSet: boolean): AcquireRequest => ({
      seat,
      ...(withSet ? { set } : {}),
      holder: this.options.id,
      holderAddress: this.options.peers.address,
      term,
      durationMs: this.timings.durationMs,
      renewal,
    });
    const allInformed = set.voters.every((voter) => this.informedEpochs.get(voter.id) === set.epoch);
    const isEnough = (answers: readonly AcquireResponse[]): boolean =>
      stopAtMajority && isMajority(answers.filter((answer) => answer.outcome === 'granted').length, set);
    const answers = await callVoters(
      this.options.peers,
      set,
      acquireMethod,
      (seat) => request(seat, !allInformed),
      this.timings.callTimeoutMs,
      isEnough,
    );
    const allKnowEpoch = answers.length > 0 && answers.every((answer) => answer.outcome !== 'unknown_epoch');
    for (const voter of set.voters) {
      if (allKnowEpoch) this.informedEpochs.set(voter.id, set.epoch);
      else this.informedEpochs.delete(voter.id);
    }
    return answers;
  }

  private pauseAfterRefusal(answers: readonly AcquireResponse[]): number {
    const remaining = answers.map((answer) => answer.remainingMs);
    const longest = Math.max(0, ...remaining);
    return longest + this.randomPauseMs();
  }

  private randomPauseMs(): number {
    return this.options.random.between(0.05, 0.3) * this.timings.durationMs;
  }

  /** The holder's lease starts before the voters' and ends before theirs within the drift bound. */
  private validUntil(startedAt: number): number {
    return startedAt + this.timings.durationMs * (1 - this.timings.driftBound);
  }

  private async handOver(): Promise<void> {
    const lease = this.lease;
    if (lease === undefined) return;
    this.dropLease(lease);
    await this.release(lease.set, lease.term);
  }

  private dropLease(lease: Lease): void {
    lease.end();
    this.lease = undefined;
    void this.events.emit('lost', lease);
  }

  private async release(set: VoterSet, term: number): Promise<void> {
    await callVoters(
      this.options.peers,
      set,
      releaseMethod,
      (seat) => ({ seat, term }),
      this.timings.callTimeoutMs,
    );
  }
}

/** Merges lists of records and keeps the newest record of each key. */
export function mergeRecords(lists: readonly (readonly LeaseRecord[])[]): LeaseRecord[] {
  const merged = new Map<string, LeaseRecord>();
  for (const record of lists.flat()) {
    const known = merged.get(record.key);
    if (known === undefined || isNewer(record, known)) merged.set(record.key, record);
  }
  return [...merged.values()];
}
