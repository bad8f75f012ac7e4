/** What daemons send each other of the records that they follow: positions asked from, and updates in answer. */
import {
  compareStorePositions,
  type SentUpdate,
  type SourcePosition,
  type StorePosition,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { RecordPacker, unpack } from './record-packer.js';
import { isNewerPosition } from './record-position.js';
import type { RecordSet } from './record-set.js';
import { SentUpdates } from './sent-updates.js';

/** Options of {@link RecordTransfer}. */
export interface RecordTransferOptions {
  readonly sets: readonly RecordSet[];
  /** Kinds of records whose changes are passed on at once. */
  readonly urgentSources: readonly string[];
  readonly clock: Clock;
}

const INITIAL_POSITION: StorePosition = { era: 0, revision: 0 };

/** Transfer of one daemon's records. */
export class RecordTransfer {
  private readonly packer = new RecordPacker();
  private readonly sentUpdates: SentUpdates;

  constructor(private readonly options: RecordTransferOptions) {
    this.sentUpdates = new SentUpdates(options.clock);
  }

  /** How far this daemon has come, by kind. */
  positions(): SourcePosition[] {
    return this.options.sets.map((set) => set.position);
  }

  /** How far this daemon has come with the urgent kinds: the furthest of them. */
  newestUrgentPosition(): StorePosition {
    const urgent = this.options.sets.filter((set) => this.isUrgent(set.source));
    return urgent
      .map((set) => set.position)
      .reduce<StorePosition>(
        (newest, position) => (compareStorePositions(position, newest) > 0 ? position : newest),
        INITIAL_POSITION,
      );
  }

  /** Whether a daemon at other positions has an urgent record that is newer than the ones here. */
  isOutdatedBy(positions: readonly SourcePosition[]): boolean {
    return positions.some((position) => {
      const own = this.recordSetOf(position.source)?.position;
      return own !== undefined && this.isUrgent(position.source) && isNewerPosition(position, own);
    });
  }

  /** Whether a daemon at other positions lacks an urgent record, or has none at all. */
  hasUrgentUpdateFor(positions: readonly SourcePosition[]): boolean {
    return positions.some((position) => {
      const own = this.recordSetOf(position.source)?.position;
      if (own === undefined || (position.revision > 0 && !this.isUrgent(position.source))) return false;
      return isNewerPosition(own, { ...position, era: position.era ?? own.era });
    });
  }

  /**
   * What a daemon at other positions lacks.
   *
   * @param reader Set for a daemon that asks again and again: it is not sent the same anew while it comes.
   */
  updatesFor(positions: readonly SourcePosition[], reader?: string): SentUpdate[] {
    return positions.flatMap((position) => {
      const update = this.recordSetOf(position.source)?.updateFor(position);
      if (update === undefined) return [];
      if (reader !== undefined && !this.sentUpdates.maySend(reader, position)) return [];
      return [this.packer.pack(update)];
    });
  }

  /** Takes what another daemon sent. @throws what {@link unpack} throws. */
  merge(updates: readonly SentUpdate[]): void {
    for (const update of updates) this.recordSetOf(update.source)?.merge(unpack(update));
  }

  private recordSetOf(source: string): RecordSet | undefined {
    return this.options.sets.find((set) => set.source === source);
  }

  private isUrgent(source: string): boolean {
    return this.options.urgentSources.includes(source);
  }
}
