/** What daemons send each other of the records that they follow: positions asked from, and updates in answer. */
import type { SentUpdate, SourcePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { RecordPacker, unpack } from './packed-records.js';
import type { RecordSet } from './record-set.js';
import { SentUpdates } from './sent-updates.js';

/** Options of {@link RecordTransfer}. */
export interface RecordTransferOptions {
  readonly sets: readonly RecordSet[];
  /** Kinds of records whose changes are passed on at once. */
  readonly urgentSources: readonly string[];
  readonly clock: Clock;
}

/** Transfer of one daemon's records. */
export class RecordTransfer {
  private readonly packer = new RecordPacker();
  private readonly sent: SentUpdates;

  constructor(private readonly options: RecordTransferOptions) {
    this.sent = new SentUpdates(options.clock);
  }

  /** How far this daemon has come, by kind. */
  positions(): SourcePosition[] {
    return this.options.sets.map((set) => set.position);
  }

  /** Newest revision of the urgent kinds seen here; 0 before the first. */
  newestUrgent(): number {
    const urgent = this.options.sets.filter((set) => this.isUrgent(set.source));
    return Math.max(0, ...urgent.map((set) => set.position.revision));
  }

  /** Whether a daemon at other positions has an urgent record that is newer than all here. */
  isOutdatedBy(positions: readonly SourcePosition[]): boolean {
    return positions.some(({ source, revision }) => this.isUrgent(source) && revision > this.newestUrgent());
  }

  /** Whether a daemon at other positions lacks an urgent record, or has none at all. */
  hasUrgentFor(positions: readonly SourcePosition[]): boolean {
    return positions.some(({ source, revision }) => {
      const own = this.setOf(source)?.position.revision ?? 0;
      return own > revision && (revision === 0 || this.isUrgent(source));
    });
  }

  /**
   * What a daemon at other positions lacks.
   *
   * @param reader Set for a daemon that asks again and again: it is not sent the same anew while it comes.
   */
  updatesFor(positions: readonly SourcePosition[], reader?: string): SentUpdate[] {
    return positions.flatMap((position) => {
      const update = this.setOf(position.source)?.updateFor(position);
      if (update === undefined) return [];
      if (reader !== undefined && !this.sent.maySend(reader, position)) return [];
      return [this.packer.pack(update)];
    });
  }

  /** Takes what another daemon sent. @throws what {@link unpack} throws. */
  merge(updates: readonly SentUpdate[]): void {
    for (const update of updates) this.setOf(update.source)?.merge(unpack(update));
  }

  private setOf(source: string): RecordSet | undefined {
    return this.options.sets.find((set) => set.source === source);
  }

  private isUrgent(source: string): boolean {
    return this.options.urgentSources.includes(source);
  }
}
