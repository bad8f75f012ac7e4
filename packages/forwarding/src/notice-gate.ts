/** Combines pauses, which are checked locally, with rate limits, for which another daemon may be asked. */
import type { BackEnd } from '@woodbarrow/backends';
import type { BackendPauses } from './backend-pauses.js';
import type { SendPermit, SendPermits } from './send-permits.js';

/** Grants a permit only if both the pause and the rate limit of a back end allow it. */
export class NoticeGate implements SendPermits {
  constructor(
    private readonly pauses: BackendPauses,
    private readonly rateLimits: SendPermits,
  ) {}

  waitMs(backEndId: string): number {
    return Math.max(this.pauses.waitMs(backEndId), this.rateLimits.waitMs(backEndId));
  }

  async acquire(backEnd: BackEnd, signal: AbortSignal): Promise<SendPermit | undefined> {
    const pause = this.pauses.acquire(backEnd.id);
    if (pause === undefined) return undefined;
    const rateLimit = await this.rateLimits.acquire(backEnd, signal);
    if (rateLimit === undefined) {
      pause.refund();
      return undefined;
    }
    return combine(pause, rateLimit);
  }
}

function combine(first: SendPermit, second: SendPermit): SendPermit {
  return {
    isValid: () => first.isValid() && second.isValid(),
    refund: () => {
      first.refund();
      second.refund();
    },
    end: () => {
      first.end();
      second.end();
    },
  };
}
