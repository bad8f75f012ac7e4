/** Comparison of how far daemons have come with records of the store. */
import { compareStorePositions, type RecordPosition, type StorePosition } from '@woodbarrow/protocol';

/** How far this daemon has come. */
export type OwnPosition = StorePosition & Pick<RecordPosition, 'version'>;

/**
 * Whether a position told by another daemon lies ahead of this daemon's: by the store's order, or by the highest version that the
 * records carry themselves. A daemon that tells of no era counts as in the same one.
 */
export function isNewerPosition(other: RecordPosition, own: OwnPosition): boolean {
  const position = { era: other.era ?? own.era, revision: other.revision };
  if (compareStorePositions(position, own) > 0) return true;
  return other.version !== undefined && own.version !== undefined && other.version > own.version;
}
