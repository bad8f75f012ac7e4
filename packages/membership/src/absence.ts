/** What a member's view says about daemons that are not in it: whether a run has ended, and whether a daemon may return. */
import type { Incarnation } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { isPresent, type MemberTable } from './member-table.js';

/** Judges absent daemons by one view. */
export class Absence {
  /** Monotonic time since which the view has had another present member; undefined while it has none. */
  private connectedSince: number | undefined;

  /** @param learningMs Milliseconds in contact with others after which a member has learned of all others. */
  constructor(
    private readonly table: MemberTable,
    private readonly clock: Clock,
    private readonly learningMs: number,
  ) {}

  /** Must be called after each change of the view. */
  update(): void {
    if (this.table.presentCount <= 1) this.connectedSince = undefined;
    else this.connectedSince ??= this.clock.monotonic();
  }

  /** See `Membership.hasEnded`. */
  hasEnded({ id, instance }: Incarnation): boolean {
    const record = this.table.get(id);
    if (record === undefined) return this.connectedMs() >= this.learningMs;
    return record.instance > instance || (record.instance === instance && !isPresent(record));
  }

  /** See `Membership.mayReturn`. */
  mayReturn(id: string, limitMs: number): boolean {
    const record = this.table.get(id);
    if (record === undefined) return this.connectedMs() < limitMs;
    const absentMs = this.clock.monotonic() - (this.table.changedAt(id) ?? 0);
    return record.status === 'dead' && absentMs < limitMs;
  }

  /** Milliseconds for which the view has had other members without interruption; 0 if it has none. */
  private connectedMs(): number {
    return this.connectedSince === undefined ? 0 : this.clock.monotonic() - this.connectedSince;
  }
}
