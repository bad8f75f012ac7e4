/** This daemon's share of the connections that a back end accepts from all daemons. */
import type { LoadTracker, ServiceDefinition } from '@woodbarrow/backends';
import { MAX_IDLE_CONNECTIONS_PER_ADDRESS } from '@woodbarrow/runtime';
import { ConnectionQueue } from './connection-queue.js';

/** Share of the connection limit reserved for starting daemons and for load orders and reports. */
const RESERVED_CONNECTION_SHARE = 0.15;

/** Divides the connection limit equally among the daemons. */
export class ConnectionShare {
  /** Requests that wait for this daemon's share to be free again. */
  readonly queue = new ConnectionQueue(
    (service) => this.maxConcurrentRequests(service),
    (service, backEndId) => this.allows(service, backEndId),
  );

  constructor(
    private readonly loads: LoadTracker,
    private readonly daemonCount: () => number,
  ) {}

  /** Whether this daemon may send another request to a back end now. */
  allows(service: ServiceDefinition, backEndId: string): boolean {
    return this.limiterFor(service)(backEndId);
  }

  /** Returns {@link ConnectionShare.allows} for one service, with the limit computed once. */
  limiterFor(service: ServiceDefinition): (backEndId: string) => boolean {
    const limit = this.maxConcurrentRequests(service);
    return (backEndId) => this.loads.ownRequests(backEndId) < limit;
  }

  /** Maximum number of concurrent requests to one back end; idle connections are subtracted. */
  private maxConcurrentRequests(service: ServiceDefinition): number {
    const usable = service.connectionLimit * (1 - RESERVED_CONNECTION_SHARE);
    return Math.max(
      1,
      Math.floor(usable / Math.max(1, this.daemonCount())) - MAX_IDLE_CONNECTIONS_PER_ADDRESS,
    );
  }
}
