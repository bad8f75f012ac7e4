/** The answer of one exchange as the memory bound of unread answers sees it, during its request and until its client has read it. */
import type { IncomingExchange } from '@woodbarrow/runtime';
import type { Tenant } from './tenant.js';
import type { ObservableAnswer } from './unread-answers.js';

/** Observed answer; holds only the exchange after {@link release}. */
export class ObservedAnswer implements ObservableAnswer {
  readonly caller: string;

  /** @param endRequest Ends the request and its answer as incomplete. */
  constructor(
    private readonly exchange: IncomingExchange,
    readonly requestId: string,
    tenant: Tenant | undefined,
    private endRequest: (() => void) | undefined,
  ) {
    this.caller =
      tenant === undefined ? `client ${exchange.clientAddress ?? 'unknown'}` : `tenant ${tenant.name}`;
  }

  unreadBytes(): number {
    return this.exchange.unreadBytes?.() ?? 0;
  }

  end(): void {
    if (this.endRequest === undefined) this.exchange.abort();
    else this.endRequest();
  }

  /** The request has ended; from now on ending the answer closes its connection. */
  release(): void {
    this.endRequest = undefined;
  }
}
