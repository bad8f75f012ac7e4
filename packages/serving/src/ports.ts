/** Ports of a serving daemon: interfaces that the surrounding deployment implements. */
import type { BackEnd } from '@woodbarrow/backends';
import type { LeaseRecordStore } from '@woodbarrow/coordination';
import type { ListingOrigin, RecordHandlers } from '@woodbarrow/exchange';
import type { ForwardingConfiguration, WireDialect } from '@woodbarrow/forwarding';
import type { RecordEntry, StorePosition, StreamOriginEntry } from '@woodbarrow/protocol';
import type { ProcessProbe, QuarantineEntry, QuarantineStore } from '@woodbarrow/quarantine';
import type { HealthClient, OrderClient } from '@woodbarrow/residency';
import type { BackendClient, Clock, ConnectionProbe, Random, Transport } from '@woodbarrow/runtime';
import type { StreamRecordStore } from '@woodbarrow/streams';

export type { RecordEntry, StorePosition, StreamOriginEntry };
export type { StoredVersionRecord, StreamRecordStore, VersionRecord } from '@woodbarrow/streams';

/** Receives the records of the deployment. Methods are called in the order of the changes. */
export interface DeploymentSink {
  configuration(configuration: ForwardingConfiguration): void;
  /** Replaces the set of back ends. */
  backEndsListed(backEnds: readonly BackEnd[], origin: ListingOrigin): void;
  backEndChanged(backEnd: BackEnd): void;
  /** @param name Name of the record, which is the same for each run of the worker. */
  backEndGone(name: string): void;
  /** Replaces the set of quarantined contents. */
  quarantineListed(records: readonly QuarantineEntry[], origin: ListingOrigin): void;
  contentQuarantined(record: QuarantineEntry): void;
  quarantineLifted(content: string): void;
}

/** All records of one kind at a position of the store. */
export interface RecordListing {
  readonly records: readonly RecordEntry[];
  /** Position of the store from which to watch for changes. */
  readonly at: StorePosition;
}

/** One change of a record. */
export interface RecordChange {
  readonly record: RecordEntry;
  readonly gone: boolean;
}

/** Result of a watch. */
export type WatchResult =
  | { readonly kind: 'changes'; readonly changes: readonly RecordChange[]; readonly at: StorePosition }
  /** The changes since the revision are no longer available: list again. */
  | { readonly kind: 'history_gone' };

/** Store whose records can be listed and watched. Calls may reject. */
export interface RecordSource {
  /** Lists all records of a kind. @param limitMs Time after which a call of the listing is given up. @default up to the source */
  listAll(kind: string, limitMs?: number): Promise<RecordListing>;
  /** Waits at most `waitMs` milliseconds for changes after a revision. */
  watch(kind: string, revision: number, waitMs: number, signal: AbortSignal): Promise<WatchResult>;
}

/** One kind of record that describes the deployment. */
export interface FeedKind {
  /** Kind of the records in the store. */
  readonly source: string;
  /** Whether changes are forwarded to other daemons immediately. */
  readonly isUrgent: boolean;
  /** Pause after a watch returned changes, in milliseconds, so that the next watch returns several changes in one response. */
  readonly pauseMs: number;
  /** Maximum time that a watch waits for a change, in milliseconds. @default 1000 */
  readonly waitMs?: number;
  /** Returns the increasing version contained in a record, or undefined if it has none. @default records have no version */
  readonly versionOf?: (record: RecordEntry) => number | undefined;
  /** Creates the handlers that decode records and pass them to the sink. */
  readonly handlers: (sink: DeploymentSink) => RecordHandlers;
}

/** Store and kinds of records from which a daemon reads the deployment. */
export interface DeploymentFeed {
  readonly store: RecordSource;
  readonly kinds: readonly FeedKind[];
}

/** Entry of a daemon in the member registry. */
export interface RegisteredMember {
  readonly id: string;
  /** Peer address, as `ip:port`. */
  readonly address: string;
  readonly zone: string;
  /** Capacity of its machine, in hundredths of a core. */
  readonly capacity: number;
}

/** Registry through which daemons discover each other. Calls may reject. */
export interface MemberRegistry {
  /** Returns the members that have joined; the latest may be missing for some seconds. */
  list(): Promise<RegisteredMember[]>;
  /** Adds or updates the entry of a member. Resolves with `new` if no member of this name has ever joined. */
  join(member: RegisteredMember): Promise<'new' | 'known' | undefined>;
  /**
   * Returns all members that joined before the call; undefined if some may be missing, as the store may have been restored from a
   * copy or an entry cannot be read. @default the latest members cannot be told
   */
  listCurrent?(): Promise<RegisteredMember[] | undefined>;
}

/** External dependencies of a daemon. */
export interface ServingPorts {
  /**
   * Whether the event loop of the process serves this daemon alone. Where several daemons, clients or workers share it, its delay says
   * nothing about one daemon, and none refuses requests for it. @default true
   */
  readonly hasOwnEventLoop?: boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly client: BackendClient & ConnectionProbe;
  readonly dialect: WireDialect;
  readonly orders: OrderClient;
  readonly probe: ProcessProbe;
  readonly health: HealthClient;
  readonly quarantine: QuarantineStore;
  readonly leases: LeaseRecordStore;
  readonly registry: MemberRegistry;
  readonly streamRecords: StreamRecordStore;
  readonly feed: DeploymentFeed;
  /** Calls to the store since the start, by operation, kind of record and outcome. */
  readonly storeCalls: () => ReadonlyMap<string, number>;
  /** Era of the store in its last response. */
  readonly storeEra: () => number;
  /** Answers of back ends since the start that did not name the call in progress on their connection, by their match with it. */
  readonly unmatchedAnswers: () => ReadonlyMap<string, number>;
  /** Number of records read since the start that could not be decoded, by kind. */
  readonly invalidRecords: () => ReadonlyMap<string, number>;
}
