/**
 * Listings of one kind of records. A listing that is not answered in time counts as failed, but stays open while the next one
 * is tried: a store that is slow, rather than silent, answers it later.
 */
import { WoodbarrowError } from '@woodbarrow/errors';
import { settleWithin, type Clock } from '@woodbarrow/runtime';
import type { RecordListing, RecordSource } from './ports.js';

/** Time after which a listing counts as failed, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1500;
/** Time for which a listing stays open, in milliseconds; a slower store is not heard. */
const OPEN_LIMIT_MS = 6000;

/** Listings in progress. */
export class OverlappingListings {
  private readonly open = new Set<Promise<RecordListing>>();
  /** Answer to a listing that had counted as failed; undefined once it was used. */
  private late: RecordListing | undefined;

  constructor(
    private readonly store: RecordSource,
    private readonly kind: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns a listing, which may have been requested by an earlier call.
   *
   * @throws WoodbarrowError `platform_unavailable` when none is answered in time, or the error of the new one.
   */
  async next(): Promise<RecordListing> {
    const first = this.takeLate() ?? (await this.firstAnswer());
    this.open.clear();
    return first;
  }

  private async firstAnswer(): Promise<RecordListing> {
    const earlier = [...this.open].map(ignoreFailure);
    const listing = this.store.listAll(this.kind, OPEN_LIMIT_MS);
    const settled = await settleWithin(this.clock, ANSWER_TIMEOUT_MS, Promise.race([listing, ...earlier]));
    if (!settled.timedOut) return settled.value;
    this.keepOpen(listing);
    throw new WoodbarrowError(
      'platform_unavailable',
      `no response to the listing of ${this.kind} within ${String(ANSWER_TIMEOUT_MS)} ms`,
    );
  }

  private keepOpen(listing: Promise<RecordListing>): void {
    this.open.add(listing);
    listing.then(
      (answer) => {
        if (this.open.delete(listing)) this.late = answer;
      },
      // The failure was reported when the listing was not answered in time.
      () => this.open.delete(listing),
    );
  }

  private takeLate(): RecordListing | undefined {
    const { late } = this;
    this.late = undefined;
    return late;
  }
}

/** Returns a promise that stays pending if `listing` fails. */
function ignoreFailure(listing: Promise<RecordListing>): Promise<RecordListing> {
  return listing.catch(() => new Promise<never>(() => undefined));
}
