/** Port: permits to send requests, under the rate limits and pauses of back ends. */
import type { BackEnd } from '@woodbarrow/backends';

/** Permission to send one request to one back end. */
export interface SendPermit {
  /** Whether the permit may still be used. Check right before the request is sent. */
  isValid(): boolean;
  /** Returns the permit of a request that did not reach the back end. */
  refund(): void;
  /** Reports that the send is over, whatever its result. */
  end(): void;
}

/** Grants permits. */
export interface SendPermits {
  /** Milliseconds until a request may be sent to a back end, from local state; 0 if it may be sent now. */
  waitMs(backEndId: string): number;
  /** Acquires a permit; undefined if the back end accepts no more requests now. Never rejects. */
  acquire(backEnd: BackEnd, signal: AbortSignal): Promise<SendPermit | undefined>;
}

/** Permit for a back end without limits. */
export const UNLIMITED_PERMIT: SendPermit = {
  isValid: () => true,
  refund: () => undefined,
  end: () => undefined,
};

/** Shortest wait, in milliseconds, of the back ends that accept no requests now; undefined if all accept requests. */
export function shortestWaitMs(permits: SendPermits, backEnds: readonly BackEnd[]): number | undefined {
  const waits = backEnds.map(({ id }) => permits.waitMs(id)).filter((waitMs) => waitMs > 0);
  return waits.length === 0 ? undefined : Math.min(...waits);
}
