/** Port: tests whether this daemon can exchange data with a back end over a new connection. */
import type { BackEnd } from '@woodbarrow/backends';

/** Tests the direct path to a back end. */
export interface PathProbe {
  /** Whether a new connection opened and a process answered over HTTP before the probe timed out. Never rejects. */
  canReach(backEnd: BackEnd): Promise<boolean>;
}
