/** At-most-once ledger: grants claims on keys and replicates them through the records of a lease. */
import { WoodbarrowError } from '@woodbarrow/errors';
import {
  claimMethod,
  describeClaimMethod,
  settleClaimMethod,
  startClaimMethod,
  type ClaimRequest,
  type ClaimResponse,
  type DescribeClaimRequest,
  type DescribeClaimResponse,
  type Incarnation,
  type SettleClaimRequest,
  type SettleClaimResponse,
  type StartClaimRequest,
  type StartClaimResponse,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import { BackgroundService, sleep, type Clock } from '@woodbarrow/runtime';
import type { Lease } from './lease.js';
import type { LeaseCandidate } from './lease-candidate.js';
import { StoredAnswers } from './stored-answers.js';

/**
 * State of a claimed key. The work of a `waiting` claim has not begun; that of a `started` one may have run. The other
 * states are final.
 */
interface Claim {
  readonly claimant: string;
  /** Daemon that the claimant runs on, if it stated one. */
  readonly daemon?: Incarnation;
  readonly fingerprint: string;
  /** Wall time after which the claim may be deleted, in milliseconds since the epoch. */
  readonly expiresAt: number;
  readonly state: 'waiting' | 'started' | 'finished' | 'abandoned';
  /** Job that stores the response of the work, if it belongs to one. */
  readonly jobId?: string;
}

export interface ClaimLedgerOptions {
  readonly candidate: LeaseCandidate;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  /**
   * Longest lifetime of a claim in milliseconds. A ledger that has existed for less may lack earlier claims.
   */
  readonly maximumLifetimeMs: number;
  /**
   * Whether a run of a daemon has ended. A wrong `true` never causes a second run: it ends a claim that was started with
   * an unknown outcome, and gives one that was not started to another claimant.
   * @default never
   */
  readonly hasEnded?: (daemon: Incarnation) => boolean;
  /**
   * Maximum number of claims. Once it is reached, new claims are refused; existing ones are not evicted.
   * @default 200000
   */
  readonly maximumKeys?: number;
  /** Maximum size of the cached answers in bytes; the oldest are evicted first. @default 16 MiB */
  readonly maximumAnswerBytes?: number;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const DEFAULT_MAXIMUM_KEYS = 200_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
const EXPIRY_INTERVAL_MS = 10_000;
const WRITE_RETRY_MS = 200;
const EXPIRY_BATCH_SIZE = 500;
/** Allowance for differences between the wall clocks of machines. */
const WALL_CLOCK_MARGIN_MS = 5000;
/** Key of the record that stores the time since which the ledger is complete. */
const ORIGIN_KEY = '$origin';

interface LedgerOrigin {
  /** Wall time since which every claim is in the ledger, in milliseconds since the epoch. */
  readonly knownSince: number;
}

/** Answers claims while this daemon holds the ledger's lease; otherwise throws `not_leader`. */
export class ClaimLedger extends BackgroundService {
  private lease: Lease | undefined;
  private knownSince = Infinity;
  private readonly claims = new Map<string, Claim>();
  /** Claims whose replication is pending; another claimant of the same key waits for the outcome. */
  private readonly pendingWrites = new Map<string, Promise<void>>();
  /** Keys whose last write failed: only a minority of voters may have it. */
  private readonly unconfirmed = new Set<string>();
  private readonly answers: StoredAnswers;

  constructor(private readonly options: ClaimLedgerOptions) {
    super(options.clock, options.onTaskFailure);
    this.answers = new StoredAnswers(options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES);
  }

  /** Number of claims in the ledger. */
  get size(): number {
    return this.claims.size;
  }

  /** Registers the request handlers and starts to delete expired claims. */
  start(): void {
    const { candidate, peers } = this.options;
    candidate.events.on('acquired', (lease) => this.takeOver(lease));
    candidate.events.on('lost', () => {
      this.reset();
    });
    peers.handle(claimMethod, (request) => this.claim(request));
    peers.handle(startClaimMethod, (request) => this.startClaim(request));
    peers.handle(settleClaimMethod, (request) => this.settle(request));
    peers.handle(describeClaimMethod, (request) => this.describe(request));
    this.tasks.loop(
      'claims.expire',
      () => EXPIRY_INTERVAL_MS,
      () => this.expire(),
    );
  }

  private async takeOver(lease: Lease): Promise<void> {
    this.reset();
    const wall = this.options.clock.wall();
    const values = lease.values();
    const origin = values.get(ORIGIN_KEY) as LedgerOrigin | undefined;
    for (const [key, value] of values) {
      if (key !== ORIGIN_KEY) this.claims.set(key, value as Claim);
    }
    this.knownSince = completeSince(lease, origin, wall);
    if (await this.recordOrigin(lease)) this.lease = lease;
  }

  /** Records since when the ledger is complete in a new epoch; retries while the lease is valid. */
  private async recordOrigin(lease: Lease): Promise<boolean> {
    while (lease.isValid && !lease.isComplete) {
      try {
        await lease.write(new Map([[ORIGIN_KEY, { knownSince: this.knownSince }]]));
        await lease.markComplete();
      } catch {
        await sleep(this.options.clock, WRITE_RETRY_MS);
      }
    }
    return lease.isValid;
  }

  private reset(): void {
    this.lease = undefined;
    this.claims.clear();
    this.pendingWrites.clear();
    this.unconfirmed.clear();
    this.answers.clear();
  }

  private async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const lease = await this.leaseForAccessTo(request.key);
    const existing = this.claims.get(request.key);
    if (existing !== undefined) return this.respondToExisting(lease, request, existing);
    if (!this.isCertainlyUnclaimed(request.ageMs)) return { outcome: 'unknown' };
    if (this.claims.size >= (this.options.maximumKeys ?? DEFAULT_MAXIMUM_KEYS)) {
      throw new WoodbarrowError('queue_full', 'the ledger of claims has reached its maximum number of keys');
    }
    return this.grant(lease, request);
  }

  private async grant(lease: Lease, request: ClaimRequest): Promise<ClaimResponse> {
    await this.record(lease, request.key, this.newClaim(request, 'waiting'));
    return { outcome: 'granted', claimant: request.claimant };
  }

  private newClaim(
    { claimant, daemon, fingerprint, lifetimeMs, jobId }: Omit<ClaimRequest, 'key'>,
    state: Claim['state'],
  ): Claim {
    const lifetime = Math.min(lifetimeMs, this.options.maximumLifetimeMs);
    return {
      claimant,
      ...(daemon === undefined ? {} : { daemon }),
      fingerprint,
      expiresAt: this.options.clock.wall() + lifetime,
      state,
      ...(jobId === undefined ? {} : { jobId }),
    };
  }

  private async respondToExisting(
    lease: Lease,
    request: ClaimRequest,
    existing: Claim,
  ): Promise<ClaimResponse> {
    const { claimant } = existing;
    if (existing.fingerprint !== request.fingerprint) return { outcome: 'mismatch' };
    if (claimant === request.claimant && isOpen(existing)) {
      // The earlier write may have reached only a minority, which the next leader may not read.
      await this.record(lease, request.key, existing);
      return { outcome: 'granted', claimant };
    }
    const isLost = this.isLost(existing);
    // Work that was not started cannot have run, and the lost claimant can no longer start it.
    if (existing.state === 'waiting' && isLost) return this.grant(lease, request);
    await this.confirm(lease, request.key, existing);
    switch (existing.state) {
      case 'waiting':
        return { outcome: 'running', claimant };
      case 'started':
        return { outcome: isLost ? 'lost' : 'running', claimant };
      case 'abandoned':
        return { outcome: 'abandoned', claimant };
      case 'finished': {
        const answer = this.answers.get(request.key);
        const { jobId } = existing;
        return {
          outcome: 'finished',
          claimant,
          ...(answer === undefined ? {} : { answer }),
          ...(jobId === undefined ? {} : { jobId }),
        };
      }
    }
  }

  private async startClaim({ key, claimant }: StartClaimRequest): Promise<StartClaimResponse> {
    const lease = await this.leaseForAccessTo(key);
    const existing = this.claims.get(key);
    if (existing?.claimant !== claimant || !isOpen(existing)) return { started: false };
    await this.record(lease, key, { ...existing, state: 'started' });
    return { started: true };
  }

  private async settle(request: SettleClaimRequest): Promise<SettleClaimResponse> {
    const { key, claimant, result, claim } = request;
    const lease = await this.leaseForAccessTo(key);
    const existing = this.claims.get(key);
    if (existing === undefined) {
      if (result === 'released' || claim === undefined) return { state: 'released' };
      return this.recordEnd(lease, request, this.newClaim({ claimant, ...claim }, result));
    }
    if (existing.state === 'finished' || existing.state === 'abandoned') {
      await this.confirm(lease, key, existing);
      return { state: existing.state, claimant: existing.claimant };
    }
    const isAllowed = result === 'abandoned' ? this.isLost(existing) : true;
    if (existing.claimant !== claimant || !isAllowed)
      return { state: 'running', claimant: existing.claimant };
    if (result !== 'released') return this.recordEnd(lease, request, { ...existing, state: result });
    await this.deleteClaims(lease, [key]);
    return { state: result };
  }

  private async recordEnd(
    lease: Lease,
    { key, claimant, answer }: SettleClaimRequest,
    claim: Claim,
  ): Promise<SettleClaimResponse> {
    if (answer !== undefined) this.answers.set(key, answer);
    await this.record(lease, key, claim);
    return { state: claim.state === 'finished' ? 'finished' : 'abandoned', claimant };
  }

  private async describe({ key, ageMs }: DescribeClaimRequest): Promise<DescribeClaimResponse> {
    const lease = await this.leaseForAccessTo(key);
    const existing = this.claims.get(key);
    if (existing === undefined) return { state: this.isCertainlyUnclaimed(ageMs) ? 'none' : 'unknown' };
    await this.confirm(lease, key, existing);
    return { state: existing.state, claimant: existing.claimant };
  }

  /**
   * Whether a key without a claim is certainly unclaimed: it is newer than the time since which the ledger is
   * complete.
   */
  private isCertainlyUnclaimed(ageMs: number | undefined): boolean {
    const age = ageMs ?? this.options.maximumLifetimeMs;
    return this.options.clock.wall() - age >= this.knownSince;
  }

  private isLost({ daemon }: Claim): boolean {
    return daemon !== undefined && this.options.hasEnded?.(daemon) === true;
  }

  /** Waits until no write of the key is pending, so that no response reports a state that is not replicated. */
  private async leaseForAccessTo(key: string): Promise<Lease> {
    const lease = this.currentLease();
    for (let pending = this.pendingWrites.get(key); pending !== undefined;) {
      await pending.catch(() => undefined);
      pending = this.pendingWrites.get(key);
    }
    if (lease !== this.lease)
      throw new WoodbarrowError('not_leader', 'the ledger has moved to another daemon');
    return lease;
  }

  private currentLease(): Lease {
    const lease = this.lease;
    if (lease === undefined || !lease.isValid)
      throw new WoodbarrowError('not_leader', 'this daemon does not hold the ledger now');
    return lease;
  }

  /** Stores the claim before it is replicated, so that a failed write leaves the key claimed. */
  private async record(lease: Lease, key: string, claim: Claim): Promise<void> {
    this.claims.set(key, claim);
    this.unconfirmed.add(key);
    const write = async (): Promise<void> => {
      await lease.write(new Map([[key, claim]]));
      this.unconfirmed.delete(key);
    };
    await this.trackWrite([key], write());
    lease.assertValid();
  }

  /** Makes accesses to the keys wait for a write. */
  private async trackWrite(keys: readonly string[], write: Promise<void>): Promise<void> {
    for (const key of keys) this.pendingWrites.set(key, write);
    try {
      await write;
    } finally {
      for (const key of keys) if (this.pendingWrites.get(key) === write) this.pendingWrites.delete(key);
    }
  }

  /** Replicates a claim again if its last write failed, since the next leader may not read it. */
  private async confirm(lease: Lease, key: string, claim: Claim): Promise<void> {
    if (this.unconfirmed.has(key)) await this.record(lease, key, claim);
  }

  private async deleteClaims(lease: Lease, keys: readonly string[]): Promise<void> {
    const write = async (): Promise<void> => {
      await lease.write(new Map(keys.map((key) => [key, null])));
      for (const key of keys) {
        this.claims.delete(key);
        this.unconfirmed.delete(key);
        this.answers.delete(key);
      }
    };
    await this.trackWrite(keys, write());
  }

  private async expire(): Promise<void> {
    const lease = this.lease;
    if (lease === undefined || !lease.isValid) return;
    const now = this.options.clock.wall();
    const expired: string[] = [];
    for (const [key, claim] of this.claims) {
      if (claim.expiresAt < now) expired.push(key);
      if (expired.length >= EXPIRY_BATCH_SIZE) break;
    }
    if (expired.length > 0) await this.deleteClaims(lease, expired);
  }
}

/** Whether a claim has not been settled yet. */
function isOpen({ state }: Claim): boolean {
  return state === 'waiting' || state === 'started';
}

/** Wall time since which every claim is in the ledger; 0 in the first epoch, which has no earlier claims. */
function completeSince(lease: Lease, origin: LedgerOrigin | undefined, wall: number): number {
  if (lease.isComplete && origin !== undefined) return origin.knownSince;
  return lease.set.epoch === 1 ? 0 : wall + WALL_CLOCK_MARGIN_MS;
}
