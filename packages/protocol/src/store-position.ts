/**
 * Positions in the change log of the platform's store. Each change increments the revision. A restore from a backup continues from an
 * earlier revision and increments the era, so revisions are comparable within one era only.
 */

/** A position in the change log of the store. */
export interface StorePosition {
  /** Incremented each time the store is restored from a backup; 0 if the store reports no era. */
  readonly era: number;
  /** Increases with each change within an era. */
  readonly revision: number;
}

/** Compares two positions: negative if `left` is earlier, 0 if they are equal, positive if `left` is later. */
export function compareStorePositions(left: StorePosition, right: StorePosition): number {
  return left.era === right.era ? left.revision - right.revision : left.era - right.era;
}
