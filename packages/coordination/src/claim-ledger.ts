/** The at-most-once ledger: claims on keys, replicated through a lease's records. */
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

/** What the ledger remembers of a key. */
interface Claim {
  readonly claimant: string;
  readonly fingerprint: string;
  /** Wall time after which the key may be forgotten, in milliseconds since the epoch. */
  readonly expiresAt: number;
  readonly finished: boolean;
}

/** Options of {@link ClaimLedger}. */
export interface ClaimLedgerOptions {
  readonly candidate: LeaseCandidate;
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  /** Longest lifetime of a key in milliseconds. A ledger younger than this may have forgotten keys. */
  readonly maximumLifetimeMs: number;
  /** Most keys kept; beyond it new claims are refused rather than old ones forgotten. @default 200000 */
  readonly maximumKeys?: number;
  /** Bytes of answers kept; the oldest go first. @default 16 MiB */
  readonly maximumAnswerBytes?: number;
  readonly onTaskFailure?: (name: string, error: unknown) => void;
}

const DEFAULT_MAXIMUM_KEYS = 200_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
const EXPIRY_INTERVAL_MS = 10_000;
const WRITE_RETRY_MS = 200;
const EXPIRY_BATCH_SIZE = 500;
/** Margin for wall clocks that differ between machines. */
const WALL_CLOCK_MARGIN_MS = 5000;
/** Record that says since when the ledger has forgotten nothing. */
const ORIGIN_KEY = '$origin';

interface LedgerOrigin {
  /** Wall time since which every claim is known. */
  readonly knownSince: number;
}

/** Answers claims while it holds the ledger's lease; refuses with `not_leader` otherwise. */
export class ClaimLedger extends BackgroundService {
  private lease: Lease | undefined;
  private knownSince = Infinity;
  private readonly claims = new Map<string, Claim>();
  /** Keys whose claim is being written; a second claimant waits for the outcome. */
  private readonly pendingWrites = new Map<string, Promise<void>>();
  private readonly answers = new Map<string, Uint8Array>();
  private answerBytes = 0;

  constructor(private readonly options: ClaimLedgerOptions) {
    super(options.clock, options.onTaskFailure);
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.claims.size;
  }

  /** Starts answering. */
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

  /** Makes the ledger's memory good in a new epoch; tries for as long as the lease lasts. */
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
    if (lease !== this.lease) throw new WoodbarrowError('not_leader', 'the ledger moved');
    const existing = this.claims.get(request.key);
    if (existing !== undefined) return this.respondToExisting(lease, request, existing);
    if (!this.isCertainlyUnclaimed(request)) return { outcome: 'unknown' };
    if (this.claims.size >= (this.options.maximumKeys ?? DEFAULT_MAXIMUM_KEYS)) {
      throw new WoodbarrowError('queue_full', 'the ledger of claims is full');
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
      // The earlier write may have reached a minority only, which the next leader need not hear of.
      await this.record(lease, request.key, existing);
      return { outcome: 'granted' };
    }
    if (!existing.finished) return { outcome: 'running' };
    const answer = this.answers.get(request.key);
    return answer === undefined ? { outcome: 'finished' } : { outcome: 'finished', answer };
  }

  /** Whether an unknown key is certainly unused: it is younger than the ledger's memory. */
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
    if (lease === undefined || !lease.isValid) throw new WoodbarrowError('not_leader', 'not the ledger now');
    return lease;
  }

  /** The claim is entered before it is replicated: if the write fails, the key stays taken, never free. */
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

/** Wall time since which every claim is known. The first epoch has nothing before it that could be forgotten. */
function completeSince(lease: Lease, origin: LedgerOrigin | undefined, wall: number): number {
  if (lease.isComplete && origin !== undefined) return origin.knownSince;
  return lease.set.epoch === 1 ? 0 : wall + WALL_CLOCK_MARGIN_MS;
}
