/**
 * Positions in the changes of the platform's store. The store numbers its changes by revision; when it is restored from a copy, it numbers anew from
 * an earlier revision and raises its era. Revisions are comparable within one era only.
 */

/** A point in the changes of the store. */
export interface StorePosition {
  /** Rises by one each time that the store is restored from a copy; 0 where the store tells of none. */
  readonly era: number;
  /** Rises with each change within the era. */
  readonly revision: number;
}

/** Orders positions: negative where the left one is earlier, 0 where they are the same. */
export function compareStorePositions(left: StorePosition, right: StorePosition): number {
  return left.era === right.era ? left.revision - right.revision : left.era - right.era;
}
