/** This daemon's part of the connections that a back end accepts from all daemons together. */
import type { LoadBook, ServiceDefinition } from '@woodbarrow/backends';
import { IDLE_CONNECTIONS_KEPT } from '@woodbarrow/runtime';

/** Connections left for daemons that start, and for orders and reports, as a share of the limit. */
const RESERVED_CONNECTION_SHARE = 0.15;

/** Shares connections equally among the daemons present. */
export class ConnectionShare {
  constructor(
    private readonly loads: LoadBook,
    private readonly daemonCount: () => number,
  ) {}

  /** Whether another request may be sent to a back end now. */
  allows(service: ServiceDefinition, backEndId: string): boolean {
    return this.limiterFor(service)(backEndId);
  }

  /** The same question for many back ends of a service, with the limit worked out once. */
  limiterFor(service: ServiceDefinition): (backEndId: string) => boolean {
    const limit = this.maxConcurrentRequests(service);
    return (backEndId) => this.loads.ownRequests(backEndId) < limit;
  }

  /** Requests at once to one back end; idle connections are kept beside them. */
  private maxConcurrentRequests(service: ServiceDefinition): number {
    const usable = service.connectionLimit * (1 - RESERVED_CONNECTION_SHARE);
    return Math.max(1, Math.floor(usable / Math.max(1, this.daemonCount())) - IDLE_CONNECTIONS_KEPT);
  }
}
