/** Puts together what one daemon knows of where streams began: in memory, at other daemons, and in the store. */
import type { BackendDirectory } from '@woodbarrow/backends';
import { takeUpPeriodMs, type ForwardingConfiguration } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock } from '@woodbarrow/runtime';
import {
  ObservedVersions,
  OriginRecorder,
  RecordedStreams,
  StreamOriginService,
  VersionRecorder,
  type StreamPeer,
  type StreamRecordStore,
} from '@woodbarrow/streams';

/** Dependencies of {@link assembleStreamOrigins}. */
export interface StreamOriginsOptions {
  readonly self: string;
  /** Returns the daemons that are present; this one may be among them. */
  readonly members: () => readonly StreamPeer[];
  readonly configuration: () => ForwardingConfiguration | undefined;
  readonly directory: BackendDirectory;
  /** Whether the back ends that this daemon knows are current. */
  readonly isViewCurrent: () => boolean;
  /** Whether no back end served before this daemon started. */
  readonly knowsHistory: () => boolean;
  readonly records: StreamRecordStore;
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Origins of streams, and the tasks that record them in the store. */
export interface AssembledStreamOrigins {
  readonly service: StreamOriginService;
  /** Records versions and origins until `signal` aborts. */
  readonly record: (signal: AbortSignal) => Promise<void>;
  readonly recordTotals: () => OriginRecorder['totals'];
}

export function assembleStreamOrigins(options: StreamOriginsOptions): AssembledStreamOrigins {
  const { self, members, configuration, records, clock, log } = options;
  const versions = new ObservedVersions(options.directory, clock, options.knowsHistory);
  const periodOf = (service: string): number | undefined =>
    takeUpPeriodOf(configuration()?.routes ?? [], service);
  const originRecorder = new OriginRecorder({
    self,
    versions,
    takeUpPeriodMs: periodOf,
    memberCount: () => members().length,
    records,
    clock,
    log,
  });
  const versionRecorder = new VersionRecorder({ ...options, versions, takeUpPeriodMs: periodOf });
  const recorded = new RecordedStreams({ records, versions, clock, log });
  const service = new StreamOriginService({ ...options, versions, recorded, originRecorder });
  const record = async (signal: AbortSignal): Promise<void> => {
    await Promise.all([versionRecorder.run(signal), originRecorder.run(signal)]);
  };
  return { service, record, recordTotals: () => originRecorder.totals };
}

/** Returns the longest period in which a stream of the service may be taken up; undefined if no stream of it may. */
function takeUpPeriodOf(routes: ForwardingConfiguration['routes'], service: string): number | undefined {
  const periods = routes
    .filter(
      ({ kind, targets }) => kind === 'resumable_stream' && targets.some((to) => to.service === service),
    )
    .map(takeUpPeriodMs);
  return periods.length === 0 ? undefined : Math.max(...periods);
}
