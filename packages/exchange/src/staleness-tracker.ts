/** How long others have been known to have a newer record than this daemon. */
import type { RecordPosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { isNewerPosition, type OwnPosition } from './record-position.js';

/** Compares this daemon's position with those that others tell, in any order. */
export class BehindTracker {
  private newest: OwnPosition | undefined;
  private staleSince = 0;

  constructor(
    private readonly clock: Clock,
    private readonly ownPosition: () => OwnPosition,
  ) {}

  /** Another daemon has come this far. One that is itself behind says nothing about this daemon. */
  note(position: RecordPosition): void {
    const ownPosition = this.ownPosition();
    if (!isNewerPosition(position, ownPosition)) return;
    if (!this.isBehind) this.staleSince = this.clock.monotonic();
    const observed = { ...position, era: position.era ?? ownPosition.era };
    if (this.newest === undefined || isNewerPosition(observed, this.newest)) this.newest = observed;
  }

  /** Whether another daemon has a newer record. */
  get isBehind(): boolean {
    return this.newest !== undefined && isNewerPosition(this.newest, this.ownPosition());
  }

  /** Milliseconds since which this daemon has been behind; 0 when it is not. */
  get behindMs(): number {
    return this.isBehind ? this.clock.monotonic() - this.staleSince : 0;
  }

  /** Begins to measure anew. */
  restart(): void {
    this.staleSince = this.clock.monotonic();
  }
}
