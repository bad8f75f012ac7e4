/** Tracks for how long other daemons have had newer records than this one. */
import type { RecordPosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { isNewerPosition, type OwnPosition } from './record-position.js';

/** Compares this daemon's position with the positions of others, observed in any order. */
export class StalenessTracker {
  private newest: OwnPosition | undefined;
  private staleSince = 0;

  constructor(
    private readonly clock: Clock,
    private readonly ownPosition: () => OwnPosition,
  ) {}

  /** Observes another daemon's position. One that is not newer is ignored. */
  observe(position: RecordPosition): void {
    const ownPosition = this.ownPosition();
    if (!isNewerPosition(position, ownPosition)) return;
    if (!this.isStale) this.staleSince = this.clock.monotonic();
    const observed = { ...position, era: position.era ?? ownPosition.era };
    if (this.newest === undefined || isNewerPosition(observed, this.newest)) this.newest = observed;
  }

  /** Whether another daemon has a newer record. */
  get isStale(): boolean {
    return this.newest !== undefined && isNewerPosition(this.newest, this.ownPosition());
  }

  /** Milliseconds for which this daemon has been stale; 0 when it is not. */
  get staleForMs(): number {
    return this.isStale ? this.clock.monotonic() - this.staleSince : 0;
  }

  /** Restarts the measurement of the stale time. */
  restartTimer(): void {
    this.staleSince = this.clock.monotonic();
  }
}
