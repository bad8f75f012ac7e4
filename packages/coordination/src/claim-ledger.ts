/** At-most-once ledger: grants claims on keys and replicates them through the records of a lease. */
import { WoodbarrowError } from '@woodbarrow/errors';
import {
  claimMethod,
  settleClaimMethod,
  type ClaimRequest,
  type ClaimResponse,
  type SettleClaimRequest,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import { BackgroundService, sleep, type Clock } from '@woodbarrow/runtime';
import type { Lease } from './lease.js';
import type { LeaseCandidate } from './lease-candidate.js';

/** State of a claimed key. */
interface Claim {
  readonly claimant: string;
  readonly fingerprint: string;
  /** Wall time after which the claim may be deleted, in milliseconds since the epoch. */
  readonly expiresAt: number;
  readonly finished: boolean;
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
  private readonly answers = new Map<string, Uint8Array>();
  private answerBytes = 0;

  constructor(private readonly options: ClaimLedgerOptions) {
    super(options.clock, options.onTaskFailure);
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
    peers.handle(settleClaimMethod, async (request) => {
      await this.settle(request);
      return {};
    });
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
    this.answers.clear();
    this.answerBytes = 0;
  }

  private async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const lease = this.currentLease();
    await this.pendingWrites.get(request.key)?.catch(() => undefined);
    if (lease !== this.lease)
      throw new WoodbarrowError('not_leader', 'the ledger has moved to another daemon');
    const existing = this.claims.get(request.key);
    if (existing !== undefined) return this.respondToExisting(lease, request, existing);
    if (!this.isCertainlyUnclaimed(request)) return { outcome: 'unknown' };
    if (this.claims.size >= (this.options.maximumKeys ?? DEFAULT_MAXIMUM_KEYS)) {
      throw new WoodbarrowError('queue_full', 'the ledger of claims has reached its maximum number of keys');
    }
    const lifetimeMs = Math.min(request.lifetimeMs, this.options.maximumLifetimeMs);
    const claim: Claim = {
      claimant: request.claimant,
      fingerprint: request.fingerprint,
      expiresAt: this.options.clock.wall() + lifetimeMs,
      finished: false,
    };
    await this.record(lease, request.key, claim);
    return { outcome: 'granted' };
  }

  private async respondToExisting(
    lease: Lease,
    request: ClaimRequest,
    existing: Claim,
  ): Promise<ClaimResponse> {
    if (existing.fingerprint !== request.fingerprint) return { outcome: 'mismatch' };
    if (existing.claimant === request.claimant && !existing.finished) {
      // The earlier write may have reached only a minority, which the next leader may not read.
      await this.record(lease, request.key, existing);
      return { outcome: 'granted' };
    }
    if (!existing.finished) return { outcome: 'running' };
    const answer = this.answers.get(request.key);
    return answer === undefined ? { outcome: 'finished' } : { outcome: 'finished', answer };
  }

  /**
   * Whether a key without a claim is certainly unclaimed: it is newer than the time since which the ledger is
   * complete.
   */
  private isCertainlyUnclaimed(request: ClaimRequest): boolean {
    const age = request.ageMs ?? this.options.maximumLifetimeMs;
    return this.options.clock.wall() - age >= this.knownSince;
  }

  private async settle(request: SettleClaimRequest): Promise<void> {
    const lease = this.currentLease();
    const existing = this.claims.get(request.key);
    if (existing === undefined || existing.claimant !== request.claimant) return;
    if (request.result === 'released') {
      await this.deleteClaims(lease, [request.key]);
      return;
    }
    if (request.answer !== undefined) this.cacheAnswer(request.key, request.answer);
    await this.record(lease, request.key, { ...existing, finished: true });
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
    const write = lease.write(new Map([[key, claim]]));
    this.pendingWrites.set(key, write);
    try {
      await write;
    } finally {
      if (this.pendingWrites.get(key) === write) this.pendingWrites.delete(key);
    }
    lease.assertValid();
  }

  private async deleteClaims(lease: Lease, keys: readonly string[]): Promise<void> {
    await lease.write(new Map(keys.map((key) => [key, null])));
    for (const key of keys) {
      this.claims.delete(key);
      this.dropAnswer(key);
    }
  }

  private cacheAnswer(key: string, answer: Uint8Array): void {
    const limit = this.options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES;
    if (answer.byteLength > limit) return;
    this.answers.set(key, answer);
    this.answerBytes += answer.byteLength;
    for (const oldest of this.answers.keys()) {
      if (this.answerBytes <= limit) break;
      this.dropAnswer(oldest);
    }
  }

  private dropAnswer(key: string): void {
    this.answerBytes -= this.answers.get(key)?.byteLength ?? 0;
    this.answers.delete(key);
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

/** Wall time since which every claim is in the ledger; 0 in the first epoch, which has no earlier claims. */
function completeSince(lease: Lease, origin: LedgerOrigin | undefined, wall: number): number {
  if (lease.isComplete && origin !== undefined) return origin.knownSince;
  return lease.set.epoch === 1 ? 0 : wall + WALL_CLOCK_MARGIN_MS;
}
