/** A worker process that serves requests, as described by its record in the object store. */
import type { AdapterCopy } from './model-name.js';

/** A model loaded on a worker, with its loaded adapters. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly AdapterCopy[];
}

/** Names of the models whose weights a worker can load from its own memory or disk, without the weight store. */
export interface NearbyCopies {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** One incarnation of a worker; a restart creates a new one. */
export interface BackEnd {
  /** Unique for each incarnation. */
  readonly id: string;
  /** Name of the worker; a restarted worker may keep it. */
  readonly name: string;
  /** Wall clock time at which this incarnation started, in milliseconds; absent if the worker does not report it. */
  readonly startedAt?: number;
  readonly service: string;
  /**
   * Version of the software that the worker runs, not of the weights. Events of two versions do not fit into one stream. Absent if
   * the worker does not name it.
   */
  readonly softwareVersion?: string;
  /** Address as `ip:port`; may be reused by another worker after this incarnation has ended. */
  readonly address: string;
  readonly zone: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the worker is leaving and accepts no new requests. */
  readonly draining: boolean;
  readonly models: readonly HeldModel[];
  readonly nearby: NearbyCopies;
}

/** An empty {@link NearbyCopies}. */
export const NO_NEARBY_COPIES: NearbyCopies = { inMemory: [], onDisk: [] };
