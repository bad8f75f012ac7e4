/** Follows the records that describe the deployment, reading the store only while this daemon is selected to do so. */
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
  /** Called when a newer record of an urgent kind is received. */
  readonly onUrgent: () => void;
  /**
   * Called with the first listing of each kind after the store was restored from a copy, whether read from the store or
   * received from a peer.
   */
  readonly onRestored: () => void;
  /** Called when the store stops responding to this daemon. */
  readonly onStoreLost: () => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Maintains a record set and a watch for each kind of record. */
export class RecordFollower implements FollowedRecords {
  readonly sets: readonly RecordSet[];
  private readonly watches: readonly RecordWatch[];

  constructor(private readonly options: RecordFollowerOptions) {
    const { feed, clock, random, log, onStoreLost: onLost } = options;
    this.sets = feed.kinds.map((kind) => this.createSet(kind));
    // The exchange enables the watches once the other daemons are known.
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

  observePositions(positions: readonly SourcePosition[]): void {
    for (const position of positions) {
      const index = this.sets.findIndex((set) => set.source === position.source);
      this.watches[index]?.observePosition(position);
    }
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.watches.map((watch) => watch.run(signal)));
  }

  private createSet({ source, isUrgent, handlers, versionOf }: FeedKind): RecordSet {
    const { sink, onUrgent, onRestored } = this.options;
    const deploymentHandlers = handlers(sink);
    const onList: RecordHandlers['onList'] = (records, origin) => {
      deploymentHandlers.onList(records, origin);
      if (origin === 'restored_store') onRestored();
    };
    return new RecordSet(
      source,
      { ...deploymentHandlers, onList },
      {
        ...(isUrgent ? { onNewer: onUrgent } : {}),
        ...(versionOf === undefined ? {} : { versionOf }),
      },
    );
  }
}
