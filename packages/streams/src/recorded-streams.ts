/** Reads the records about streams that earlier runs of the daemons have stored. */
import { errorMessage } from '@woodbarrow/errors';
import type { StreamOrigin } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import type { Clock } from '@woodbarrow/runtime';
import type { ObservedVersions } from './observed-versions.js';
import { toOrigin } from './origin-entries.js';
import type { StoredVersionRecord, StreamRecordStore } from './stream-records.js';

/** Options of {@link RecordedStreams}. */
export interface RecordedStreamsOptions {
  readonly records: StreamRecordStore;
  readonly versions: ObservedVersions;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Milliseconds for which one read serves all lookups, so that a flood of them costs a read a second. */
const READ_LIFETIME_MS = 1000;

interface Read<T> {
  readonly at: number;
  /** Undefined where the store did not answer. */
  readonly result: Promise<T | undefined>;
}

/** Records about streams, read on demand. Never rejects. */
export class RecordedStreams {
  private readonly versionReads = new Map<string, Read<StoredVersionRecord | 'none'>>();
  private originRead: Read<ReadonlyMap<string, StreamOrigin>> | undefined;

  constructor(private readonly options: RecordedStreamsOptions) {}

  /** Returns the only version at which a stream of the service can have begun; undefined if there are several or it is not known. */
  async onlyVersion(service: string): Promise<string | undefined> {
    const { records, versions, clock } = this.options;
    let read = this.versionReads.get(service);
    if (read === undefined || this.isOutdated(read)) {
      read = {
        at: clock.monotonic(),
        result: this.tolerate(records.readVersions(service).then((stored) => stored ?? 'none')),
      };
      this.versionReads.set(service, read);
    }
    const stored = await read.result;
    if (stored === undefined || stored === 'none' || !stored.isCurrent) return undefined;
    return versions.onlyWith(service, stored.record.versions);
  }

  /** Returns where a stream began; undefined if no daemon has stored it. */
  async find(streamId: string): Promise<StreamOrigin | undefined> {
    const { records, clock } = this.options;
    let read = this.originRead;
    if (read === undefined || this.isOutdated(read)) {
      const toMap = records
        .readOrigins()
        .then((entries) => new Map(entries.map((entry) => [entry.i, toOrigin(entry)])));
      read = { at: clock.monotonic(), result: this.tolerate(toMap) };
      this.originRead = read;
    }
    return (await read.result)?.get(streamId);
  }

  private isOutdated({ at }: Read<unknown>): boolean {
    return this.options.clock.monotonic() - at >= READ_LIFETIME_MS;
  }

  private async tolerate<T>(read: Promise<T>): Promise<T | undefined> {
    try {
      return await read;
    } catch (error) {
      this.options.log.warned('stream_records_unread', { cause: errorMessage(error) });
      return undefined;
    }
  }
}
