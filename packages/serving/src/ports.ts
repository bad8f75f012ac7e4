/** Ports of a serving daemon: what the deployment around it provides. */
import type { BackEnd } from '@woodbarrow/backends';
import type { LeaseRecordStore } from '@woodbarrow/coordination';
import type { ListingOrigin, RecordHandlers } from '@woodbarrow/exchange';
import type { ForwardingConfiguration, WireDialect } from '@woodbarrow/forwarding';
import type { RecordEntry, StorePosition } from '@woodbarrow/protocol';
import type { ProcessProbe, QuarantineEntry, QuarantineStore } from '@woodbarrow/quarantine';
import type { OrderClient } from '@woodbarrow/residency';
import type { BackendClient, Clock, Random, Transport } from '@woodbarrow/runtime';

export type { RecordEntry, StorePosition };

/** Receives what the deployment says; called in the order of the changes. */
export interface DeploymentSink {
  configuration(configuration: ForwardingConfiguration): void;
  /** All back ends there are; others are gone. */
  backEndsListed(backEnds: readonly BackEnd[], origin: ListingOrigin): void;
  backEndChanged(backEnd: BackEnd): void;
  /** @param name Name of its record, whichever run of the worker it was of. */
  backEndGone(name: string): void;
  /** All contents that must not be run; others may. */
  quarantineListed(records: readonly QuarantineEntry[], origin: ListingOrigin): void;
  contentQuarantined(record: QuarantineEntry): void;
  quarantineLifted(content: string): void;
}

/** All records of a kind. */
export interface RecordListing {
  readonly records: readonly RecordEntry[];
  /** Position of the store from which changes are to be watched. */
  readonly at: StorePosition;
}

/** One change of a record. */
export interface RecordChange {
  readonly record: RecordEntry;
  readonly gone: boolean;
}

/** What a watch brought. */
export type WatchResult =
  | { readonly kind: 'changes'; readonly changes: readonly RecordChange[]; readonly at: StorePosition }
  /** The history since the revision is gone: list again. */
  | { readonly kind: 'history_gone' };

/** A store that can be listed and watched. Calls may throw. */
export interface RecordSource {
  listAll(kind: string): Promise<RecordListing>;
  /** Waits for changes after a revision, for `waitMs` at most. */
  watch(kind: string, revision: number, waitMs: number, signal: AbortSignal): Promise<WatchResult>;
}

/** One kind of records that say what the deployment is. */
export interface FeedKind {
  /** Kind of the records in the store. */
  readonly source: string;
  /** Whether changes are passed on to other daemons at once. */
  readonly isUrgent: boolean;
  /** Pause after a watch brought changes, so that changes close to each other come in one answer, in milliseconds. */
  readonly pauseMs: number;
  /** Time that a watch waits for a change, in milliseconds. @default 2500 */
  readonly waitMs?: number;
  /** Version that a record carries itself and that only rises; undefined where it carries none. @default no record carries one */
  readonly versionOf?: (record: RecordEntry) => number | undefined;
  /** Turns records into what the deployment says. */
  readonly handlers: (sink: DeploymentSink) => RecordHandlers;
}

/** Source of configuration and back ends. */
export interface DeploymentFeed {
  readonly store: RecordSource;
  readonly kinds: readonly FeedKind[];
}

/** A daemon as it stands in the register. */
export interface RegisteredMember {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
  readonly zone: string;
  /** What its machine bears, in hundredths of a core. */
  readonly capacity: number;
}

/** Register of daemons, through which they find each other. Calls may throw. */
export interface MemberRegistry {
  /** Members that have joined; the newest may be missing for some seconds. */
  list(): Promise<RegisteredMember[]>;
  join(member: RegisteredMember): Promise<void>;
}

/** Everything outside a daemon. */
export interface ServingPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly client: BackendClient;
  readonly dialect: WireDialect;
  readonly orders: OrderClient;
  readonly probe: ProcessProbe;
  readonly quarantine: QuarantineStore;
  readonly leases: LeaseRecordStore;
  readonly registry: MemberRegistry;
  readonly feed: DeploymentFeed;
  /** Calls to the store since the start, by operation, kind of record and outcome. */
  readonly storeCalls: () => ReadonlyMap<string, number>;
  /** Era of the store as its answers last told. */
  readonly storeEra: () => number;
  /** Records read since the start that could not be decoded, by kind. */
  readonly invalidRecords: () => ReadonlyMap<string, number>;
}
