/** Requests that wait until this daemon may open another connection to one of their back ends. */
import type { ServiceDefinition } from '@woodbarrow/backends';
import { leastBy, type CancelTimer, type Clock } from '@woodbarrow/runtime';

/** A request that needs a connection. */
export interface ConnectionRequest {
  readonly service: ServiceDefinition;
  /** Back ends that it could be sent to. */
  readonly backEndIds: readonly string[];
  /** Requests with lower numbers go first. */
  readonly priority: number;
  /** Monotonic time of its arrival; of equal priority, the earliest goes first. */
  readonly arrivedAt: number;
  /** Monotonic time by which it must have been sent. */
  readonly until: number;
  readonly signal: AbortSignal;
}

interface Waiter extends ConnectionRequest {
  readonly resolve: (isAvailable: boolean) => void;
}

/**
 * Interval at which waiting requests look for connections, in milliseconds. The share of this daemon also grows without an
 * event here: when other daemons are lost, or when the limit of the service is raised.
 */
const SHARE_POLL_MS = 100;
/** Weight of the latest run in the average duration of runs. */
const RUN_WEIGHT = 0.2;

/** Queue of one daemon. */
export class ConnectionQueue {
  private readonly waiting = new Set<Waiter>();
  /** Average time for which a request occupies a connection in milliseconds, by service. */
  private readonly averageRunMs = new Map<string, number>();

  /**
   * @param concurrencyOf Maximum number of concurrent requests to these back ends of a service together.
   * @param hasConnection Whether another request may be sent to a back end of a service now.
   */
  constructor(
    private readonly concurrencyOf: (service: ServiceDefinition, backEndIds: readonly string[]) => number,
    private readonly hasConnection: (service: ServiceDefinition, backEndId: string) => boolean,
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.waiting.size;
  }

  /**
   * Waits for a connection. Resolves with false at once if this request is not expected to end in time behind those ahead of
   * it, and otherwise when the time is up or the request is aborted.
   */
  async wait(request: ConnectionRequest, clock: Clock): Promise<boolean> {
    const isHopeless = clock.monotonic() + this.expectedTimeMs(request) > request.until;
    if (isHopeless || request.signal.aborted) return false;
    let cancelPoll: CancelTimer = () => undefined;
    return new Promise<boolean>((resolve) => {
      const onAbort = (): void => {
        waiter.resolve(false);
      };
      const waiter: Waiter = {
        ...request,
        resolve: (isAvailable) => {
          this.waiting.delete(waiter);
          cancelPoll();
          request.signal.removeEventListener('abort', onAbort);
          resolve(isAvailable);
        },
      };
      const poll = (): void => {
        const remainingMs = request.until - clock.monotonic();
        if (this.isAvailableFor(waiter)) waiter.resolve(true);
        else if (remainingMs <= 0) waiter.resolve(false);
        else cancelPoll = clock.schedule(Math.min(SHARE_POLL_MS, remainingMs), poll);
      };
      this.waiting.add(waiter);
      request.signal.addEventListener('abort', onAbort);
      poll();
    });
  }

  /**
   * Wakes the first request that waits for a connection to a back end, after one of its requests has ended.
   *
   * @param ranMs Time for which that request occupied its connection, in milliseconds.
   */
  noteEnded(service: ServiceDefinition, backEndId: string, ranMs: number): void {
    const averageMs = this.averageRunMs.get(service.name) ?? ranMs;
    this.averageRunMs.set(service.name, averageMs + RUN_WEIGHT * (ranMs - averageMs));
    const candidates = [...this.waiting].filter(({ backEndIds }) => backEndIds.includes(backEndId));
    const mostUrgent = Math.min(...candidates.map(({ priority }) => priority));
    const first = leastBy(
      candidates.filter(({ priority }) => priority === mostUrgent),
      ({ arrivedAt }) => arrivedAt,
    );
    if (first !== undefined && this.hasConnection(first.service, backEndId)) first.resolve(true);
  }

  /** Wakes the requests for whose back ends there are connections, the most urgent first, after the share of this daemon has grown. */
  wakeAvailable(): void {
    const inOrder = [...this.waiting].sort(
      (left, right) => left.priority - right.priority || left.arrivedAt - right.arrivedAt,
    );
    for (const waiter of inOrder) if (this.isAvailableFor(waiter)) waiter.resolve(true);
  }

  private isAvailableFor({ service, backEndIds }: ConnectionRequest): boolean {
    return backEndIds.some((id) => this.hasConnection(service, id));
  }

  /** Expected time to the end of a new request, behind those that wait for the same back ends and are at least as urgent. */
  private expectedTimeMs({ service, backEndIds, priority }: ConnectionRequest): number {
    const ahead = [...this.waiting].filter(
      (waiter) => waiter.priority <= priority && waiter.backEndIds.some((id) => backEndIds.includes(id)),
    );
    const concurrency = this.concurrencyOf(service, backEndIds);
    const runMs = this.averageRunMs.get(service.name) ?? 0;
    return ((ahead.length + 1) * runMs) / concurrency + runMs;
  }
}
