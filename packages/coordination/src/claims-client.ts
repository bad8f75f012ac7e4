/** Sends claims to the daemon that holds the ledger. */
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import {
  claimMethod,
  describeClaimMethod,
  settleClaimMethod,
  startClaimMethod,
  type ClaimRequest,
  type ClaimResponse,
  type DescribeClaimRequest,
  type DescribeClaimResponse,
  type PeerMethod,
  type SettleClaimRequest,
  type SettleClaimResponse,
  type StartClaimRequest,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { LeaseLocator } from './lease-locator.js';

/** Pause before the first retry of a call; it doubles with each further one up to the maximum. */
const RETRY_PAUSE_MS = 100;
const MAXIMUM_RETRY_PAUSE_MS = 2000;
const CALL_TIMEOUT_MS = 1000;
const DEFAULT_SETTLE_LIMIT_MS = 5000;

/** Client of the claim ledger. */
export class ClaimsClient {
  private unsettled = 0;

  constructor(
    private readonly group: string,
    private readonly peers: PeerNetwork,
    private readonly clock: Clock,
    private readonly locator: LeaseLocator,
  ) {}

  /** Number of settlements that the ledger has not acknowledged yet. */
  get pendingSettlements(): number {
    return this.unsettled;
  }

  /**
   * Claims a key. Retries when a response is lost, which is safe since repeated claims by one claimant are
   * granted.
   *
   * @param limitMs Milliseconds after which to stop retrying.
   * @throws WoodbarrowError `outcome_unknown` when the ledger did not answer: the key may have been claimed.
   */
  async claim(request: ClaimRequest, limitMs: number): Promise<ClaimResponse> {
    const response = await this.callHolder(claimMethod, request, limitMs);
    if (response !== undefined) return response;
    throw new WoodbarrowError('outcome_unknown', 'the ledger of claims did not answer in time');
  }

  /**
   * States that the work of a claim is about to begin. Must resolve before it does.
   *
   * @param limitMs Milliseconds after which to stop retrying.
   * @throws WoodbarrowError `already_running` when another claimant holds the key, `not_leader` when the ledger did not
   * answer. The work must not begin in either case.
   */
  async start(request: StartClaimRequest, limitMs: number): Promise<void> {
    const response = await this.callHolder(startClaimMethod, request, limitMs);
    if (response === undefined)
      throw new WoodbarrowError('not_leader', 'the ledger of claims did not answer in time');
    if (!response.started) {
      throw new WoodbarrowError('already_running', 'the idempotency key is claimed by another request');
    }
  }

  /**
   * Settles a claim.
   *
   * @param limitMs Milliseconds after which to stop retrying. @default lifetime of the claim if the request states it,
   * since a claim that stays open blocks its key; 5000 otherwise
   * @throws WoodbarrowError `outcome_unknown` when the ledger did not answer.
   */
  async settle(
    request: SettleClaimRequest,
    limitMs = request.claim?.lifetimeMs ?? DEFAULT_SETTLE_LIMIT_MS,
  ): Promise<SettleClaimResponse> {
    this.unsettled += 1;
    try {
      const response = await this.callHolder(settleClaimMethod, request, limitMs);
      if (response !== undefined) return response;
      throw new WoodbarrowError('outcome_unknown', 'the ledger of claims did not acknowledge a settlement');
    } finally {
      this.unsettled -= 1;
    }
  }

  /**
   * Returns the state of a claim.
   *
   * @param limitMs Milliseconds after which to stop retrying.
   * @throws WoodbarrowError `not_leader` when the ledger did not answer.
   */
  async describe(request: DescribeClaimRequest, limitMs: number): Promise<DescribeClaimResponse> {
    const response = await this.callHolder(describeClaimMethod, request, limitMs);
    if (response !== undefined) return response;
    throw new WoodbarrowError('not_leader', 'the ledger of claims did not answer in time');
  }

  /** Calls the holder of the ledger until it answers; undefined when it has not within `limitMs`. Throws `queue_full`. */
  private async callHolder<Request, Response>(
    method: PeerMethod<Request, Response>,
    request: Request,
    limitMs: number,
  ): Promise<Response | undefined> {
    const until = this.clock.monotonic() + limitMs;
    for (let pauseMs = RETRY_PAUSE_MS; ; pauseMs = Math.min(2 * pauseMs, MAXIMUM_RETRY_PAUSE_MS)) {
      const remaining = until - this.clock.monotonic();
      if (remaining <= 0) return undefined;
      const holder = await this.locator.find(this.group);
      if (holder !== undefined) {
        try {
          const timeoutMs = Math.min(CALL_TIMEOUT_MS, remaining);
          return await this.peers.call(holder.address, method, request, { timeoutMs });
        } catch (error) {
          if (isKind(error, 'queue_full')) throw error;
          this.locator.forget(this.group);
        }
      }
      await sleep(this.clock, Math.min(pauseMs, remaining));
    }
  }
}
