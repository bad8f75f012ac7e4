/**
 * Copies the origins of the streams that this daemon began to other daemons, so that they outlive it. Rendezvous hashing of the stream's id
 * selects the daemons; where one does not answer, the next one takes its place.
 */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import { keepStreamOriginsMethod, type StreamOriginEntry } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { toEntry } from './origin-entries.js';
import type { StoredOrigin } from './origin-table.js';

/** Number of other daemons that keep a copy of each stream. */
export const COPY_COUNT = 2;
/** Number of daemons, in the order of preference, that may keep a copy. Lookups ask all of them, whose views of the group may differ. */
export const CANDIDATE_COUNT = 8;
/** Time for which new streams are collected into one message, in milliseconds. */
const BATCH_MS = 5;
const KEEP_TIMEOUT_MS = 500;
/** Interval at which expired streams are removed, in milliseconds. */
const PRUNE_INTERVAL_MS = 5000;

/** A daemon that may keep copies. */
export interface StreamPeer {
  readonly id: string;
  /** Peer address. */
  readonly address: string;
}

/** Options of {@link OriginReplication}. */
export interface OriginReplicationOptions {
  readonly self: string;
  /** Returns the daemons that are present; this one may be among them. */
  readonly members: () => readonly StreamPeer[];
  readonly peers: PeerNetwork;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** A stream that this daemon began. */
interface ReplicatedStream {
  stored: StoredOrigin;
  /** Daemons that keep a copy, or are being sent one. */
  readonly holders: Set<string>;
  /** Daemons that did not take a copy. */
  readonly failed: Set<string>;
}

/** Streams addressed to one daemon. */
interface Batch {
  readonly peer: StreamPeer;
  readonly streamIds: string[];
}

/** Returns the daemons that may keep copies of a stream, the preferred ones first. */
export function copyCandidates(
  streamId: string,
  members: readonly StreamPeer[],
  self: string,
): readonly StreamPeer[] {
  const others = members.filter(({ id }) => id !== self);
  return rankByRendezvous(streamId, others).slice(0, CANDIDATE_COUNT);
}

/** Replicates the streams of one daemon. */
export class OriginReplication {
  private readonly streams = new Map<string, ReplicatedStream>();
  /** Streams that may lack copies. */
  private readonly pending = new Set<string>();
  private isFlushScheduled = false;
  private prunedAt = -Infinity;

  constructor(private readonly options: OriginReplicationOptions) {}

  /** Copies a stream that was stored, or is kept for longer than before. */
  add(streamId: string, stored: StoredOrigin): void {
    const known = this.streams.get(streamId);
    if (known === undefined) this.streams.set(streamId, { stored, holders: new Set(), failed: new Set() });
    else {
      known.stored = stored;
      known.holders.clear();
    }
    this.schedule(streamId);
  }

  /** Gives streams with too few copies another holder once a daemon has appeared. */
  notePeerUp(peerId: string): void {
    for (const [streamId, { holders, failed }] of this.streams) {
      failed.delete(peerId);
      // A restarted daemon has lost its copies.
      holders.delete(peerId);
      if (holders.size < COPY_COUNT) this.schedule(streamId);
    }
  }

  /** Replaces the copies of a daemon that is gone. */
  notePeerDown(peerId: string): void {
    for (const [streamId, { holders }] of this.streams) if (holders.delete(peerId)) this.schedule(streamId);
  }

  private schedule(streamId: string): void {
    this.pending.add(streamId);
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.clock.schedule(BATCH_MS, () => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    const batches = new Map<string, Batch>();
    for (const streamId of this.pending) this.addToBatches(streamId, batches);
    this.pending.clear();
    for (const batch of batches.values()) void this.send(batch);
    this.removeExpired();
  }

  private addToBatches(streamId: string, batches: Map<string, Batch>): void {
    const stream = this.streams.get(streamId);
    if (stream === undefined) return;
    const { self, members } = this.options;
    for (const peer of copyCandidates(streamId, members(), self)) {
      if (stream.holders.size >= COPY_COUNT) return;
      if (stream.holders.has(peer.id) || stream.failed.has(peer.id)) continue;
      stream.holders.add(peer.id);
      const batch = batches.get(peer.id) ?? { peer, streamIds: [] };
      batch.streamIds.push(streamId);
      batches.set(peer.id, batch);
    }
  }

  private async send({ peer, streamIds }: Batch): Promise<void> {
    const { self, peers, failures } = this.options;
    const entries = streamIds.flatMap((streamId) => this.entryOf(streamId));
    try {
      const options = { timeoutMs: KEEP_TIMEOUT_MS, isAdaptive: true };
      await peers.call(peer.address, keepStreamOriginsMethod, { from: self, entries }, options);
    } catch (error) {
      failures.record('keep_stream_origins', peer.id, error);
      for (const streamId of streamIds) {
        const stream = this.streams.get(streamId);
        stream?.holders.delete(peer.id);
        stream?.failed.add(peer.id);
        this.schedule(streamId);
      }
    }
  }

  private entryOf(streamId: string): StreamOriginEntry[] {
    const stored = this.streams.get(streamId)?.stored;
    return stored === undefined ? [] : [toEntry(streamId, stored, this.options.clock.monotonic())];
  }

  private removeExpired(): void {
    const now = this.options.clock.monotonic();
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    for (const [streamId, { stored }] of this.streams)
      if (stored.expiresAt <= now) this.streams.delete(streamId);
  }
}
