/** This daemon's share of the connections, and for brittle back ends of the slots, that a back end has for all daemons. */
import type { LoadTracker, ServiceDefinition } from '@woodbarrow/backends';
import { MAX_IDLE_CONNECTIONS_PER_ADDRESS, type Clock } from '@woodbarrow/runtime';
import { ConnectionQueue, type ConnectionRequest } from './connection-queue.js';
import type { ShareLoans } from './share-loans.js';
import type { SlotShare } from './slot-share.js';

/** Share of the connection limit reserved for starting daemons and for load orders and reports. */
const RESERVED_CONNECTION_SHARE = 0.15;

/** Time after its last request to a back end for which a daemon keeps a place there for itself, in milliseconds. */
const RECENT_USE_MS = 500;

/** Divides the connection limit equally among the daemons, which lend each other what they do not use. */
export class ConnectionShare {
  /** Requests that wait for this daemon's share to be free again. */
  readonly queue = new ConnectionQueue(
    (service, backEndIds) => this.concurrency(service, backEndIds),
    (service, backEndId) => this.allows(service, backEndId),
  );

  /** Monotonic time at which the last request to each back end ended. */
  private readonly usedAt = new Map<string, number>();

  constructor(
    private readonly loads: LoadTracker,
    private readonly daemonCount: () => number,
    /** @default no back end is brittle */
    private readonly slots?: SlotShare,
    /** @default nothing is lent or borrowed */
    private readonly loans?: ShareLoans,
    private readonly clock?: Clock,
  ) {}

  /** Whether this daemon may send another request to a back end now. */
  allows(service: ServiceDefinition, backEndId: string): boolean {
    return this.limiterFor(service)(backEndId);
  }

  /** Returns {@link ConnectionShare.allows} for one service, with the limit computed once. */
  limiterFor(service: ServiceDefinition): (backEndId: string) => boolean {
    const limit = this.maxConcurrentRequests(service);
    return (backEndId) => {
      const share = this.shareOf(limit, backEndId);
      const own = this.loads.ownRequests(backEndId);
      const borrowed = this.loans?.borrowed(backEndId) ?? 0;
      // Loans end by themselves and are renewed while they are needed.
      if (own >= share && borrowed > 0) this.loans?.noteShortage(backEndId);
      return own < this.withLoans(share, backEndId);
    };
  }

  /** Waits for a connection as {@link ConnectionQueue.wait} does, and borrows shares of other daemons meanwhile. */
  wait(request: ConnectionRequest, clock: Clock): Promise<boolean> {
    for (const backEndId of request.backEndIds) this.loans?.noteShortage(backEndId);
    return this.queue.wait(request, clock);
  }

  /** Part of this daemon's own share of a back end that it does not use and has not used lately. */
  spareOf(service: ServiceDefinition, backEndId: string): number {
    const share = this.shareOf(this.maxConcurrentRequests(service), backEndId);
    const isUsed = this.now() - (this.usedAt.get(backEndId) ?? -Infinity) < RECENT_USE_MS;
    return Math.max(0, share - Math.max(this.loads.ownRequests(backEndId), isUsed ? 1 : 0));
  }

  /** Records that a request to a back end has ended. @param ranMs Time for which it occupied its connection, in milliseconds. */
  noteEnded(service: ServiceDefinition, backEndId: string, ranMs: number): void {
    this.usedAt.set(backEndId, this.now());
    this.queue.noteEnded(service, backEndId, ranMs);
  }

  /** Removes the state of a back end that no longer exists. */
  forget(backEndId: string): void {
    this.usedAt.delete(backEndId);
  }

  private shareOf(limit: number, backEndId: string): number {
    return Math.min(limit, this.slots?.maxRequests(backEndId) ?? Infinity);
  }

  private withLoans(share: number, backEndId: string): number {
    if (this.loans === undefined || this.slots?.isHeld(backEndId) === true) return share;
    return Math.max(0, share - this.loans.lent(backEndId)) + this.loans.borrowed(backEndId);
  }

  private now(): number {
    return this.clock?.monotonic() ?? 0;
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
    const limits = backEndIds.map((id) => this.withLoans(this.shareOf(limit, id), id));
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
