/** Voter side of a majority lease: grants, replicated records and sealing of epochs. */
import {
  acquireMethod,
  describeLeaseMethod,
  releaseMethod,
  sealMethod,
  writeMethod,
  type AcquireRequest,
  type AcquireResponse,
  type DescribeLeaseResponse,
  type LeaseRecord,
  type ReleaseRequest,
  type SealRequest,
  type SealResponse,
  type Seat,
  type VoteOutcome,
  type VoterSet,
  type WriteRequest,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock } from '@woodbarrow/runtime';

/** State of one group in one epoch. It is in memory only, so a restarted process no longer holds the seat. */
interface VoterGroupState {
  readonly set: VoterSet;
  term: number;
  holder: string | undefined;
  holderAddress: string | undefined;
  /** Monotonic time at which the lease expires. */
  expiresAt: number;
  sealed: boolean;
  readonly records: Map<string, LeaseRecord>;
  /** State of the previous epoch, retained for the holder that copies its records. */
  readonly previous: VoterGroupState | undefined;
}

export interface LeaseVoterOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly id: string;
  /** Run of this process; requests for seats of earlier runs are refused. */
  readonly instance: number;
}

/** Votes in each group whose voter set contains this run of this daemon. */
export class LeaseVoter {
  private readonly groups = new Map<string, VoterGroupState>();

  constructor(private readonly options: LeaseVoterOptions) {}

  /** Registers the request handlers. */
  start(): void {
    const { peers } = this.options;
    peers.handle(acquireMethod, (request) => this.acquire(request));
    peers.handle(writeMethod, (request) => ({ accepted: this.write(request) }));
    peers.handle(releaseMethod, (request) => this.release(request));
    peers.handle(sealMethod, (request) => this.seal(request));
    peers.handle(describeLeaseMethod, (request) => this.describe(request.group));
  }

  private acquire(request: AcquireRequest): AcquireResponse {
    if (request.set !== undefined) this.adoptVoterSet(request.set);
    const refusal = this.seatRefusal(request.seat);
    if (refusal !== undefined) return { outcome: refusal, term: 0, remainingMs: 0 };
    const state = this.groups.get(request.seat.group) as VoterGroupState;
    const now = this.options.clock.monotonic();
    if (request.renewal) return this.renew(state, request, now);
    if (state.holder !== undefined && state.expiresAt > now) return responseFor(state, 'held', now);
    if (request.term <= state.term) return responseFor(state, 'old_term', now);
    state.term = request.term;
    state.holder = request.holder;
    state.holderAddress = request.holderAddress;
    state.expiresAt = now + request.durationMs;
    return { ...responseFor(state, 'granted', now), records: [...state.records.values()] };
  }

  private renew(state: VoterGroupState, request: AcquireRequest, now: number): AcquireResponse {
    const same = state.term === request.term && state.holder === request.holder;
    // An expired lease may be renewed while no other was granted, since nothing else can have held it.
    if (!same) return responseFor(state, 'held', now);
    state.expiresAt = now + request.durationMs;
    return responseFor(state, 'granted', now);
  }

  private write(request: WriteRequest): boolean {
    if (this.seatRefusal(request.seat) !== undefined) return false;
    const state = this.groups.get(request.seat.group) as VoterGroupState;
    if (request.term !== state.term) return false;
    for (const record of request.records) {
      const known = state.records.get(record.key);
      if (known !== undefined && !isNewer(record, known)) continue;
      // A deletion leaves no tombstone, so an older copy at another voter may reappear after a change of
      // holder. Users of the records must handle a reappeared record conservatively.
      if (record.value === null) state.records.delete(record.key);
      else state.records.set(record.key, record);
    }
    return true;
  }

  private release(request: ReleaseRequest): Record<string, never> {
    if (this.seatRefusal(request.seat) !== undefined) return {};
    const state = this.groups.get(request.seat.group) as VoterGroupState;
    if (request.term === state.term) {
      state.holder = undefined;
      state.holderAddress = undefined;
      state.expiresAt = 0;
    }
    return {};
  }

  private seal(request: SealRequest): SealResponse {
    const current = this.groups.get(request.seat.group);
    const state = [current, current?.previous].find(
      (candidate) => candidate?.set.epoch === request.seat.epoch,
    );
    if (state === undefined || request.seat.instance !== this.options.instance)
      return { sealed: false, records: [] };
    state.sealed = true;
    return { sealed: true, records: [...state.records.values()] };
  }

  private describe(group: string): DescribeLeaseResponse {
    const state = this.groups.get(group);
    if (state === undefined) return { epoch: 0, remainingMs: 0 };
    const { remainingMs, holder, holderAddress } = responseFor(state, 'held', this.options.clock.monotonic());
    return {
      epoch: state.set.epoch,
      remainingMs,
      ...(holder === undefined ? {} : { holder }),
      ...(holderAddress === undefined ? {} : { holderAddress }),
    };
  }

  /** Takes a seat in a newer epoch, without the records: the new holder copies them. */
  private adoptVoterSet(set: VoterSet): void {
    const known = this.groups.get(set.group);
    if (known !== undefined && known.set.epoch >= set.epoch) return;
    const seated = set.voters.some(
      (voter) => voter.id === this.options.id && voter.instance === this.options.instance,
    );
    if (!seated) return;
    this.groups.set(set.group, {
      set,
      term: 0,
      holder: undefined,
      holderAddress: undefined,
      expiresAt: 0,
      sealed: false,
      records: new Map(),
      // One previous epoch suffices, since each holder copies all records of the epoch before.
      previous: known === undefined ? undefined : { ...known, previous: undefined },
    });
  }

  private seatRefusal(seat: Seat): VoteOutcome | undefined {
    if (seat.instance !== this.options.instance) return 'not_a_voter';
    const state = this.groups.get(seat.group);
    if (state === undefined || state.set.epoch < seat.epoch) return 'unknown_epoch';
    if (state.set.epoch > seat.epoch || state.sealed) return 'old_epoch';
    return undefined;
  }
}

/** Whether `record` was written after `known`. */
export function isNewer(record: LeaseRecord, known: LeaseRecord): boolean {
  return record.term > known.term || (record.term === known.term && record.sequence > known.sequence);
}

function responseFor(state: VoterGroupState, outcome: VoteOutcome, now: number): AcquireResponse {
  const remainingMs = Math.max(0, state.expiresAt - now);
  const held = remainingMs > 0 && state.holder !== undefined;
  return {
    outcome,
    term: state.term,
    remainingMs,
    ...(held && state.holder !== undefined ? { holder: state.holder } : {}),
    ...(held && state.holderAddress !== undefined ? { holderAddress: state.holderAddress } : {}),
  };
}
