/** This daemon's share of the connections, and for brittle back ends of the slots, that a back end has for all daemons. */
import type { LoadTracker, ServiceDefinition } from '@woodbarrow/backends';
import { MAX_IDLE_CONNECTIONS_PER_ADDRESS } from '@woodbarrow/runtime';
import { ConnectionQueue } from './connection-queue.js';
import type { SlotShare } from './slot-share.js';

/** Share of the connection limit reserved for starting daemons and for load orders and reports. */
const RESERVED_CONNECTION_SHARE = 0.15;

/** Divides the connection limit equally among the daemons. */
export class ConnectionShare {
  /** Requests that wait for this daemon's share to be free again. */
  readonly queue = new ConnectionQueue(
    (service, backEndIds) => this.concurrency(service, backEndIds),
    (service, backEndId) => this.allows(service, backEndId),
  );

  constructor(
    private readonly loads: LoadTracker,
    private readonly daemonCount: () => number,
    /** @default no back end is brittle */
    private readonly slots?: SlotShare,
  ) {}

  /** Whether this daemon may send another request to a back end now. */
  allows(service: ServiceDefinition, backEndId: string): boolean {
    return this.limiterFor(service)(backEndId);
  }

  /** Returns {@link ConnectionShare.allows} for one service, with the limit computed once. */
  limiterFor(service: ServiceDefinition): (backEndId: string) => boolean {
    const limit = this.maxConcurrentRequests(service);
    return (backEndId) =>
      this.loads.ownRequests(backEndId) < Math.min(limit, this.slots?.maxRequests(backEndId) ?? Infinity);
  }

  /** Whether the bound of one of these back ends is its slots. */
  hasBrittle(backEndIds: readonly string[]): boolean {
    return backEndIds.some((id) => this.slots?.maxRequests(id) !== undefined);
  }

  /** Records that a back end declined a request for want of room. */
  noteDeclined(backEndId: string): void {
    this.slots?.noteDeclined(backEndId);
  }

  /** Number of requests that this daemon may have in progress at these back ends together; at least 1. */
  private concurrency(service: ServiceDefinition, backEndIds: readonly string[]): number {
    const limit = this.maxConcurrentRequests(service);
    const limits = backEndIds.map((id) => Math.min(limit, this.slots?.maxRequests(id) ?? Infinity));
    return Math.max(
      1,
      limits.reduce((sum, each) => sum + each, 0),
    );
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
