/** How long others have been known to have a newer record than this daemon. */
import type { RecordPosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { isAhead, type OwnPosition } from './record-position.js';

/** Compares this daemon's position with those that others tell, in any order. */
export class BehindTracker {
  private ahead: OwnPosition | undefined;
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly own: () => OwnPosition,
  ) {}

  /** Another daemon has come this far. One that is itself behind says nothing about this daemon. */
  note(position: RecordPosition): void {
    const own = this.own();
    if (!isAhead(position, own)) return;
    if (!this.isBehind) this.since = this.clock.monotonic();
    const told = { ...position, era: position.era ?? own.era };
    if (this.ahead === undefined || isAhead(told, this.ahead)) this.ahead = told;
  }

  /** Whether another daemon has a newer record. */
  get isBehind(): boolean {
    return this.ahead !== undefined && isAhead(this.ahead, this.own());
  }

  /** Milliseconds since which this daemon has been behind; 0 when it is not. */
  get behindMs(): number {
    return this.isBehind ? this.clock.monotonic() - this.since : 0;
  }

  /** Begins to measure anew. */
  restart(): void {
    this.since = this.clock.monotonic();
  }
}
