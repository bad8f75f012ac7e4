/** Records where streams began, keeps copies for other daemons and looks streams up. */
import type { OriginLookup, StreamOrigin, StreamOrigins } from '@woodbarrow/forwarding';
import {
  findStreamOriginMethod,
  keepStreamOriginsMethod,
  type FindStreamOriginAnswer,
  type KeepStreamOriginsMessage,
} from '@woodbarrow/protocol';
import type { ObservedVersions } from './observed-versions.js';
import type { OriginRecorder } from './origin-recorder.js';
import type { RecordedStreams } from './recorded-streams.js';
import { toEntry, toOrigin } from './origin-entries.js';
import {
  OriginReplication,
  copyCandidates,
  type OriginReplicationOptions,
  type StreamPeer,
} from './origin-replication.js';
import { OriginTable } from './origin-table.js';

/** Timeout of a lookup at another daemon, in milliseconds. Clients wait for it. */
const FIND_TIMEOUT_MS = 250;

/** Options of {@link StreamOriginService}. */
export interface StreamOriginServiceOptions extends OriginReplicationOptions {
  readonly versions: ObservedVersions;
  /** Whether the back ends that this daemon knows are current: it follows the store, or another daemon that does. */
  readonly isViewCurrent: () => boolean;
  readonly recorded: RecordedStreams;
  readonly originRecorder: OriginRecorder;
}

/** Number of streams known, and counts since the start. */
export interface StreamOriginTotals {
  readonly streams: number;
  /** Streams not stored since the table was full. */
  readonly dropped: number;
}

/** Origins of streams at one daemon. */
export class StreamOriginService implements StreamOrigins {
  private readonly table: OriginTable;
  private readonly replication: OriginReplication;

  constructor(private readonly options: StreamOriginServiceOptions) {
    this.table = new OriginTable(options.clock);
    this.replication = new OriginReplication(options);
  }

  /** Starts handling the calls of other daemons. The peer network must be listening. */
  start(): void {
    const { peers } = this.options;
    peers.handle(keepStreamOriginsMethod, (message) => this.keep(message));
    peers.handle(findStreamOriginMethod, ({ streamId }) => this.answer(streamId));
  }

  get totals(): StreamOriginTotals {
    return { streams: this.table.size, dropped: this.table.dropped };
  }

  record(streamId: string, origin: StreamOrigin, retainMs: number): void {
    if (streamId === '') return;
    const stored = this.table.put(streamId, origin, retainMs);
    if (stored === undefined) return;
    this.replication.add(streamId, stored);
    this.options.originRecorder.add(streamId, stored);
  }

  async find(streamId: string): Promise<OriginLookup> {
    const own = this.table.get(streamId);
    if (own !== undefined) return { kind: 'known', origin: own.origin, source: 'own' };
    const candidates = copyCandidates(streamId, this.options.members(), this.options.self);
    return new Promise((resolve) => {
      const unknown = { kind: 'unknown', asked: candidates.length, answered: 0 } as const;
      let answered = 0;
      let remaining = candidates.length;
      if (remaining === 0) resolve(unknown);
      for (const peer of candidates) {
        void this.ask(peer, streamId).then((answer) => {
          if (answer?.origin !== undefined)
            resolve({ kind: 'known', origin: toOrigin(answer.origin), source: 'peer' });
          if (answer !== undefined) answered += 1;
          remaining -= 1;
          if (remaining === 0) resolve({ ...unknown, answered });
        });
      }
    });
  }

  hasNoVersions(service: string): boolean {
    return this.options.versions.hasNone(service);
  }

  onlyVersion(service: string, withinMs: number): string | undefined {
    const { versions, isViewCurrent } = this.options;
    return isViewCurrent() ? versions.onlyWithin(service, withinMs) : undefined;
  }

  async onlyVersionRecorded(service: string): Promise<string | undefined> {
    const { recorded, isViewCurrent } = this.options;
    return isViewCurrent() ? recorded.onlyVersion(service) : undefined;
  }

  findRecorded(streamId: string): Promise<StreamOrigin | undefined> {
    return this.options.recorded.find(streamId);
  }

  /** Gives streams with too few copies another holder. @param peerId Daemon that has appeared or was restarted. */
  notePeerUp(peerId: string): void {
    this.replication.notePeerUp(peerId);
  }

  notePeerDown(peerId: string): void {
    this.replication.notePeerDown(peerId);
  }

  private async ask(peer: StreamPeer, streamId: string): Promise<FindStreamOriginAnswer | undefined> {
    const { peers, failures } = this.options;
    try {
      const options = { timeoutMs: FIND_TIMEOUT_MS };
      return await peers.call(peer.address, findStreamOriginMethod, { streamId }, options);
    } catch (error) {
      // The other candidates are asked at the same time.
      failures.record('find_stream_origin', peer.id, error);
      return undefined;
    }
  }

  private keep({ entries }: KeepStreamOriginsMessage): Record<string, never> {
    for (const entry of entries) this.table.put(entry.i, toOrigin(entry), entry.r);
    return {};
  }

  private answer(streamId: string): FindStreamOriginAnswer {
    const stored = this.table.get(streamId);
    return stored === undefined ? {} : { origin: toEntry(streamId, stored, this.options.clock.monotonic()) };
  }
}
