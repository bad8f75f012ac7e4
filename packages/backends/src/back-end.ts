/** One run of a worker, as its record in the object store describes it. */
import type { AdapterCopy } from './model-name.js';

/** A model resident on a worker, with its adapters. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly AdapterCopy[];
}

/** Copies of weights that a worker can load without the weight store. */
export interface NearbyCopies {
  readonly inMemory: readonly string[];
  readonly onDisk: readonly string[];
}

/** One incarnation of a worker; a restarted worker is another one. */
export interface BackEnd {
  /** Unique for each incarnation. */
  readonly id: string;
  /** Name under which it answers; a worker that starts again may keep it. */
  readonly name: string;
  /** Time of day at which this incarnation started, in milliseconds; absent where it does not tell. */
  readonly startedAt?: number;
  readonly service: string;
  /** `ip:port`; given to other workers once this one is gone. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Takes no new requests. */
  readonly draining: boolean;
  readonly models: readonly HeldModel[];
  readonly nearby: NearbyCopies;
}

/** No copies at hand. */
export const NO_NEARBY_COPIES: NearbyCopies = { inMemory: [], onDisk: [] };
