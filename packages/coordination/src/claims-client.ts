/** Sends claims to the daemon that holds the ledger. */
import { WoodbarrowError, isKind } from '@woodbarrow/errors';
import {
  claimMethod,
  settleClaimMethod,
  type ClaimRequest,
  type ClaimResponse,
  type SettleClaimRequest,
} from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import { sleep, type Clock } from '@woodbarrow/runtime';
import type { LeaseLocator } from './lease-locator.js';

const RETRY_PAUSE_MS = 100;
const CALL_TIMEOUT_MS = 1000;
const SETTLE_TIMEOUT_MS = 5000;

/** Client of the claim ledger. */
export class ClaimsClient {
  constructor(
    private readonly group: string,
    private readonly peers: PeerNetwork,
    private readonly clock: Clock,
    private readonly locator: LeaseLocator,
  ) {}

  /**
   * Claims a key. Retries when a response is lost, which is safe since repeated claims by one claimant are
   * granted.
   *
   * @param limitMs Milliseconds after which to stop retrying.
   * @throws WoodbarrowError `outcome_unknown` when the ledger did not answer: the key may have been claimed.
   */
  async claim(request: ClaimRequest, limitMs: number): Promise<ClaimResponse> {
    const until = this.clock.monotonic() + limitMs;
    for (;;) {
      const remaining = until - this.clock.monotonic();
      if (remaining <= 0)
        throw new WoodbarrowError('outcome_unknown', 'the ledger of claims did not answer in time');
      const holder = await this.locator.find(this.group);
      if (holder !== undefined) {
        try {
          const timeoutMs = Math.min(CALL_TIMEOUT_MS, remaining);
          return await this.peers.call(holder.address, claimMethod, request, { timeoutMs });
        } catch (error) {
          if (isKind(error, 'queue_full')) throw error;
          this.locator.forget(this.group);
        }
      }
      await sleep(this.clock, Math.min(RETRY_PAUSE_MS, remaining));
    }
  }

  /** Settles a claim. If this fails, the claim stays open and later claims of its key are refused. */
  async settle(request: SettleClaimRequest): Promise<void> {
    const until = this.clock.monotonic() + SETTLE_TIMEOUT_MS;
    while (this.clock.monotonic() < until) {
      const holder = await this.locator.find(this.group);
      if (holder !== undefined) {
        try {
          await this.peers.call(holder.address, settleClaimMethod, request, { timeoutMs: CALL_TIMEOUT_MS });
          return;
        } catch {
          this.locator.forget(this.group);
        }
      }
      await sleep(this.clock, RETRY_PAUSE_MS);
    }
  }
}
