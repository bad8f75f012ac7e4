/** Port: permits to send to back ends, under what they ask for in their answers. */
import type { BackEnd } from '@woodbarrow/backends';

/** The right to send one request to one back end. */
export interface SendPermit {
  /** Whether it may still be used; ask right before the request is sent. */
  isValid(): boolean;
  /** The request did not reach the back end: another one may use the permit. */
  giveBack(): void;
  /** The send is over, however it ended. */
  end(): void;
}

/** Hands permits out. */
export interface SendPermits {
  /** Milliseconds until a request may be let through to a back end, as far as known without asking; 0 when it may be now. */
  waitMs(backEndId: string): number;
  /** A permit; undefined where the back end takes nothing more now. One that asked for nothing takes all. Never rejects. */
  acquire(backEnd: BackEnd, signal: AbortSignal): Promise<SendPermit | undefined>;
}

/** The permit for a back end that has asked for nothing. */
export const FREE_PERMIT: SendPermit = {
  isValid: () => true,
  giveBack: () => undefined,
  end: () => undefined,
};

/** Milliseconds until the first of some back ends takes a request again that takes none now; undefined where none of them waits. */
export function shortestWaitMs(permits: SendPermits, backEnds: readonly BackEnd[]): number | undefined {
  const waits = backEnds.map(({ id }) => permits.waitMs(id)).filter((waitMs) => waitMs > 0);
  return waits.length === 0 ? undefined : Math.min(...waits);
}
