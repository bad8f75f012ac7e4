/** Comparison of the positions that daemons have reached in the records of the store. */
import { compareStorePositions, type RecordPosition, type StorePosition } from '@woodbarrow/protocol';

/** Position that this daemon has reached. */
export type OwnPosition = StorePosition & Pick<RecordPosition, 'version'>;

/**
 * Whether another daemon's position is newer than this daemon's: by the order of the store, or by the highest
 * version of the records. A position without an era counts as one of the same era.
 */
export function isNewerPosition(other: RecordPosition, own: OwnPosition): boolean {
  const position = { era: other.era ?? own.era, revision: other.revision };
  if (compareStorePositions(position, own) > 0) return true;
  return other.version !== undefined && own.version !== undefined && other.version > own.version;
}
