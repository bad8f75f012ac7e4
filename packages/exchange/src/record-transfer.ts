/**
 * Transfers store records between daemons: a daemon sends its positions and receives the updates after them.
 */
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

export interface RecordTransferOptions {
  readonly sets: readonly RecordSet[];
  /** Kinds of records whose changes are forwarded immediately. */
  readonly urgentSources: readonly string[];
  readonly clock: Clock;
}

const INITIAL_POSITION: StorePosition = { era: 0, revision: 0 };

/** Transfers the records of one daemon. */
export class RecordTransfer {
  private readonly packer = new RecordPacker();
  private readonly sentUpdates: SentUpdates;

  constructor(private readonly options: RecordTransferOptions) {
    this.sentUpdates = new SentUpdates(options.clock);
  }

  /** Positions of this daemon, by kind. */
  positions(): SourcePosition[] {
    return this.options.sets.map((set) => set.position);
  }

  /** Newest position among the urgent kinds. */
  newestUrgentPosition(): StorePosition {
    const urgent = this.options.sets.filter((set) => this.isUrgent(set.source));
    return urgent
      .map((set) => set.position)
      .reduce<StorePosition>(
        (newest, position) => (compareStorePositions(position, newest) > 0 ? position : newest),
        INITIAL_POSITION,
      );
  }

  /** Whether a daemon at the given positions has a newer urgent record than this one. */
  isOutdatedBy(positions: readonly SourcePosition[]): boolean {
    return positions.some((position) => {
      const own = this.recordSetOf(position.source)?.position;
      return own !== undefined && this.isUrgent(position.source) && isNewerPosition(position, own);
    });
  }

  /** Whether a daemon at the given positions lacks an urgent record, or has no records of a kind at all. */
  hasUrgentUpdateFor(positions: readonly SourcePosition[]): boolean {
    return positions.some((position) => {
      const own = this.recordSetOf(position.source)?.position;
      if (own === undefined || (position.revision > 0 && !this.isUrgent(position.source))) return false;
      return isNewerPosition(own, { ...position, era: position.era ?? own.era });
    });
  }

  /**
   * Returns the updates for a daemon at the given positions.
   *
   * @param reader Name of a daemon that asks repeatedly; an update that may still be in transit is not sent
   * to it again.
   */
  updatesFor(positions: readonly SourcePosition[], reader?: string): SentUpdate[] {
    return positions.flatMap((position) => {
      const update = this.recordSetOf(position.source)?.updateFor(position);
      if (update === undefined) return [];
      if (reader !== undefined && !this.sentUpdates.maySend(reader, position)) return [];
      return [this.packer.pack(update)];
    });
  }

  /**
   * Merges updates from another daemon.
   *
   * @throws Errors of {@link unpack}.
   */
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
