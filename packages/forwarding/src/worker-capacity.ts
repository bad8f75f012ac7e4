/**
 * Bound on the requests in progress on a worker. The counts of other daemons are up to a report interval old, and all
 * daemons see the same free slots; near the bound each daemon therefore takes only its share of them per interval.
 */
import type { Clock, Random } from '@woodbarrow/runtime';

/** Interval at which daemons report their work to each other, in milliseconds; shares are drawn anew after it. */
export const LOAD_REPORT_INTERVAL_MS = 300;
/**
 * Share of the slots below which every daemon may send freely, unless the requests expected within a report interval
 * would fill the rest. With 16 slots and runs of 1.5 s, about three slots are
 * filled and freed within a report interval, so that the last quarter absorbs what the counts do not show yet.
 */
const UNRESTRICTED_SLOT_SHARE = 0.75;
/** Share of the free slots for less urgent requests while more urgent ones wait, so that batch work is completed. */
export const LESS_URGENT_SHARE = 0.25;

/** Known use of a worker, over all daemons. */
export interface WorkerUse {
  readonly requests: number;
  readonly heldTokens: number;
  readonly slots: number;
  readonly cacheTokens: number;
}

/** Requests that may be sent to a worker within a report interval, besides the one that is considered. */
export interface Competition {
  /** Number of daemons, this one included. */
  readonly daemons: number;
  /** Requests of the same priority that wait at this daemon, the considered one included. */
  readonly own: number;
  /** Expected requests of other daemons that are as urgent, more urgent and less urgent. */
  readonly equal: number;
  readonly moreUrgent: number;
  readonly lessUrgent: number;
  /**
   * Requests that are expected at other daemons for any holder of the models. All daemons see the same counts and
   * choose the same cheapest holder, so that it may receive all of them.
   */
  readonly arrivals: number;
  /** Runs on the worker that are expected to end within a report interval. */
  readonly ending: number;
}

/** Returns the number of free slots; 0 if the prompt cache would overflow. @param tokens Tokens of the request. */
export function freeSlots({ requests, heldTokens, slots, cacheTokens }: WorkerUse, tokens: number): number {
  // A request that is larger than the cache is sent to an idle worker, since no other place will ever suit it.
  if (requests > 0 && heldTokens + tokens > cacheTokens) return 0;
  return Math.max(0, slots - requests);
}

/** Returns the mean number of free slots that this daemon may take for one priority in a report interval. */
export function shareOfFree(free: number, competition: Competition): number {
  const { daemons, own, equal, moreUrgent, lessUrgent, ending } = competition;
  if (daemons <= 1) return free;
  // Slots that become free within the interval count by half: on average they are free for half of it.
  const room = free + ending / 2;
  const reserved = lessUrgent > 0 ? room * LESS_URGENT_SHARE : 0;
  const left = moreUrgent > 0 ? Math.max(room * LESS_URGENT_SHARE, room - moreUrgent) : room - reserved;
  // Most daemons have no request for a given worker, so an equal share of all daemons would leave slots unused.
  return left * Math.max(1 / daemons, own / (own + equal));
}

interface Draw {
  readonly at: number;
  remaining: number;
}

/** Draws of this daemon's shares, by worker and priority. */
export class WorkerCapacity {
  private readonly draws = new Map<string, Draw>();

  constructor(
    private readonly random: Random,
    private readonly clock: Clock,
  ) {}

  /** Whether this daemon may send one more request to a worker now. */
  allows(
    backEndId: string,
    use: WorkerUse,
    tokens: number,
    priority: number,
    competition: () => Competition,
  ): boolean {
    const free = freeSlots(use, tokens);
    if (free <= 0) return false;
    const isBelowBound = use.requests < use.slots * UNRESTRICTED_SLOT_SHARE;
    const draw = this.drawOf(backEndId, priority, free, isBelowBound, competition);
    return draw.remaining > 0;
  }

  /** Records that a slot of a worker was taken. */
  noteTaken(backEndId: string, priority: number): void {
    const draw = this.draws.get(drawKey(backEndId, priority));
    if (draw !== undefined) draw.remaining -= 1;
  }

  /** Records that a slot that was taken was not used. */
  noteReturned(backEndId: string, priority: number): void {
    const draw = this.draws.get(drawKey(backEndId, priority));
    if (draw !== undefined) draw.remaining += 1;
  }

  private drawOf(
    backEndId: string,
    priority: number,
    free: number,
    isBelowBound: boolean,
    competition: () => Competition,
  ): Draw {
    const now = this.clock.monotonic();
    const key = drawKey(backEndId, priority);
    const current = this.draws.get(key);
    const isCurrent = current !== undefined && now - current.at < LOAD_REPORT_INTERVAL_MS;
    if (isCurrent && (isBelowBound || current.remaining < Infinity)) return current;
    if (current === undefined) this.removeExpired(now);
    const view = competition();
    // A single daemon knows all counts exactly, and the free slots alone bound it.
    const isUnrestricted = view.daemons <= 1 || (isBelowBound && free > view.arrivals);
    const remaining = isUnrestricted ? Infinity : Math.floor(shareOfFree(free, view) + this.random.next());
    const draw = { at: now, remaining };
    this.draws.set(key, draw);
    return draw;
  }

  private removeExpired(now: number): void {
    for (const [key, { at }] of this.draws) {
      if (now - at >= LOAD_REPORT_INTERVAL_MS) this.draws.delete(key);
    }
  }
}

function drawKey(backEndId: string, priority: number): string {
  return `${String(priority)} ${backEndId}`;
}
