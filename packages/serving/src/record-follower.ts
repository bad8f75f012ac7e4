/** The records that say what the deployment is, followed in the store while this daemon is to do so itself. */
import { RecordSet, type FollowedRecords, type RecordHandlers } from '@woodbarrow/exchange';
import type { EventLog } from '@woodbarrow/observability';
import type { SourcePosition } from '@woodbarrow/protocol';
import type { Clock, Random } from '@woodbarrow/runtime';
import type { DeploymentFeed, DeploymentSink, FeedKind } from './ports.js';
import { RecordWatch } from './record-watch.js';

/** Options of {@link RecordFollower}. */
export interface RecordFollowerOptions {
  readonly feed: DeploymentFeed;
  readonly sink: DeploymentSink;
  /** Called whenever a newer record of an urgent kind has been seen. */
  readonly onUrgent: () => void;
  /** Called with the first listing of each kind after the store was restored from a copy, be it read or told by another daemon. */
  readonly onRestored: () => void;
  /** Called when the store has stopped to answer this daemon. */
  readonly onStoreLost: () => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** A record set and a watch for each kind. */
export class RecordFollower implements FollowedRecords {
  readonly sets: readonly RecordSet[];
  private readonly watches: readonly RecordWatch[];

  constructor(private readonly options: RecordFollowerOptions) {
    const { feed, clock, random, log, onStoreLost: onLost } = options;
    this.sets = feed.kinds.map((kind) => this.createSet(kind));
    // Whether to follow the store is decided once the others are known.
    this.watches = feed.kinds.flatMap(({ pauseMs, waitMs }, index) => {
      const set = this.sets[index];
      const wait = waitMs === undefined ? {} : { waitMs };
      const shared = { pauseMs, ...wait, store: feed.store, clock, random, log, onLost };
      return set === undefined ? [] : [new RecordWatch({ ...shared, set })];
    });
    this.followStore(false);
  }

  get isFollowing(): boolean {
    return this.watches.every((watch) => watch.isFollowing);
  }

  followStore(wanted: boolean): void {
    for (const watch of this.watches) watch.setWanted(wanted);
  }

  noteElsewhere(positions: readonly SourcePosition[]): void {
    for (const position of positions) {
      const index = this.sets.findIndex((set) => set.source === position.source);
      this.watches[index]?.noteElsewhere(position);
    }
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.watches.map((watch) => watch.run(signal)));
  }

  private createSet({ source, isUrgent, handlers, versionOf }: FeedKind): RecordSet {
    const { sink, onUrgent, onRestored } = this.options;
    const product = handlers(sink);
    const onList: RecordHandlers['onList'] = (records, origin) => {
      product.onList(records, origin);
      if (origin === 'restored_store') onRestored();
    };
    return new RecordSet(
      source,
      { ...product, onList },
      {
        ...(isUrgent ? { onNewer: onUrgent } : {}),
        ...(versionOf === undefined ? {} : { versionOf }),
      },
    );
  }
}
