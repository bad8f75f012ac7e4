/**
 * This daemon's share of the slots of brittle back ends, which fall over when they decline many requests. Counts of other daemons'
 * requests are too old to rely on near the limit, so each daemon keeps to a fixed share; the shares add up to the slots.
 */
import type { BackendDirectory, LoadTracker } from '@woodbarrow/backends';
import { rankByRendezvous, type Candidate } from '@woodbarrow/coordination';
import type { Clock } from '@woodbarrow/runtime';

/** Longest time for which a back end that declined a request is left alone, in milliseconds. */
const MAX_HOLD_MS = 4000;
/** Share of the slots in use up to which a daemon without a share sends single requests. */
const MAX_USED_SHARE_FOR_EXTRA = 0.5;

/** Options of {@link SlotShare}. */
export interface SlotShareOptions {
  readonly daemon: string;
  /** Returns the daemons that send requests, this one included; the same array while they do not change. */
  readonly members: () => readonly Candidate[];
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  /** Returns the requests that a back end may decline in a second; undefined if it is not brittle. */
  readonly declinesPerSecond: (backEndId: string) => number | undefined;
  readonly clock: Clock;
}

interface CachedShare {
  readonly members: readonly Candidate[];
  readonly slots: number;
  readonly share: number;
}

/** Bounds on requests in progress at brittle back ends. */
export class SlotShare {
  private readonly shares = new Map<string, CachedShare>();
  /** Monotonic time until which nothing is sent to a brittle back end that has declined a request. */
  private readonly heldUntil = new Map<string, number>();

  constructor(private readonly options: SlotShareOptions) {}

  /** Maximum number of concurrent requests of this daemon to a back end; undefined if it is not brittle. */
  maxRequests(backEndId: string): number | undefined {
    const { declinesPerSecond, directory, loads } = this.options;
    if (declinesPerSecond(backEndId) === undefined) return undefined;
    const slots = directory.get(backEndId)?.slots ?? 0;
    if (this.isHeld(backEndId)) return 0;
    const share = this.shareOf(backEndId, slots);
    if (share > 0) return share;
    return loads.loadOf(backEndId).requests <= slots * MAX_USED_SHARE_FOR_EXTRA ? 1 : 0;
  }

  /** Whether a back end is left alone after it declined a request. */
  isHeld(backEndId: string): boolean {
    return (this.heldUntil.get(backEndId) ?? -Infinity) > this.options.clock.monotonic();
  }

  /** Leaves a brittle back end alone after it declined a request, so that all daemons together cause few more. */
  noteDeclined(backEndId: string): void {
    const { declinesPerSecond, members, clock } = this.options;
    const allowed = declinesPerSecond(backEndId);
    if (allowed === undefined) return;
    const holdMs = (1000 * members().length) / Math.max(1, allowed);
    this.heldUntil.set(backEndId, clock.monotonic() + Math.min(MAX_HOLD_MS, holdMs));
  }

  /** Removes the state of a back end that no longer exists. */
  forget(backEndId: string): void {
    this.shares.delete(backEndId);
    this.heldUntil.delete(backEndId);
  }

  /** The slots that remain after an equal division go to the first daemons of an order that differs for each back end. */
  private shareOf(backEndId: string, slots: number): number {
    const members = this.options.members();
    const cached = this.shares.get(backEndId);
    if (cached?.members === members && cached.slots === slots) return cached.share;
    const count = Math.max(1, members.length);
    const ranked = rankByRendezvous(`slots ${backEndId}`, members);
    const rank = ranked.findIndex(({ id }) => id === this.options.daemon);
    const remaining = slots % count;
    const share = Math.floor(slots / count) + (rank >= 0 && rank < remaining ? 1 : 0);
    this.shares.set(backEndId, { members, slots, share });
    return share;
  }
}
