/** A held majority lease: its validity, its fence and its replicated records. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { writeMethod, type LeaseRecord, type VoterSet } from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock } from '@woodbarrow/runtime';
import { callVoters, isMajority } from './voter-calls.js';

/** Factor of the epoch in a fence (epoch * factor + term), so that fences increase with both. */
export const TERMS_PER_EPOCH = 65_536;
/** Maximum number of orders under one lease. */
const ORDERS_PER_TERM = 1_048_576;

/** Key of the record that marks the records as complete. */
const COMPLETE_KEY = '$complete';

export interface LeaseOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly set: VoterSet;
  readonly term: number;
  /** Elapsed time until which the lease is valid. */
  readonly validUntil: number;
  /** Newest records of a majority of voters. */
  readonly records: readonly LeaseRecord[];
  /** Timeout of a write in milliseconds. */
  readonly writeTimeoutMs: number;
}

/** A lease held by this daemon while {@link Lease.isValid} is true. */
export class Lease {
  /** Fencing token; increases with every change of holder. Back ends refuse orders with a lower one. */
  readonly fence: number;
  readonly term: number;
  readonly set: VoterSet;
  private readonly records = new Map<string, LeaseRecord>();
  private validUntil: number;
  private sequence = 0;
  private orderCount = 0;
  private ended = false;
  private complete: boolean;
  private resolveEnded: () => void = () => undefined;
  private readonly endedPromise = new Promise<void>((resolve) => {
    this.resolveEnded = resolve;
  });

  constructor(private readonly options: LeaseOptions) {
    this.set = options.set;
    this.term = options.term;
    this.fence = options.set.epoch * TERMS_PER_EPOCH + options.term;
    this.validUntil = options.validUntil;
    for (const record of options.records) this.records.set(record.key, record);
    this.complete = this.records.has(COMPLETE_KEY);
  }

  /** Whether the lease is valid now. Must be checked immediately before each action under the lease. */
  get isValid(): boolean {
    return !this.ended && this.options.clock.elapsed() < this.validUntil;
  }

  /** Milliseconds until the lease expires unless it is extended. */
  get remainingMs(): number {
    return this.ended ? 0 : Math.max(0, this.validUntil - this.options.clock.elapsed());
  }

  /** Whether the records include everything that was ever written under this group's leases. */
  get isComplete(): boolean {
    return this.complete;
  }

  /** Stored values by key, without the internal completeness marker. */
  values(): Map<string, object> {
    const values = new Map<string, object>();
    for (const [key, record] of this.records) {
      if (record.value !== null && key !== COMPLETE_KEY) values.set(key, record.value);
    }
    return values;
  }

  /** Throws `lease_lost` unless the lease is valid now. */
  assertValid(): void {
    if (!this.isValid)
      throw new WoodbarrowError('lease_lost', `the lease on ${this.set.group} is no longer held`);
  }

  /**
   * Returns a number for the next order, higher than all earlier ones of this lease and of earlier leases.
   */
  nextOrderNumber(): number {
    this.orderCount += 1;
    if (this.orderCount >= ORDERS_PER_TERM) this.end();
    return this.fence * ORDERS_PER_TERM + this.orderCount;
  }

  /**
   * Extends the lease after a renewal. An expired lease stays expired, since work under it may have stopped.
   */
  extend(validUntil: number): void {
    if (this.isValid) this.validUntil = Math.max(this.validUntil, validUntil);
  }

  /** Resolves when this daemon ends the lease, by handover or after losing it. */
  get whenEnded(): Promise<void> {
    return this.endedPromise;
  }

  /** Ends the lease on this daemon. */
  end(): void {
    this.ended = true;
    this.resolveEnded();
  }

  /**
   * Replicates the records of the previous epoch in this one.
   *
   * @throws WoodbarrowError `lease_lost` when no majority accepted them.
   */
  async carryOver(records: readonly LeaseRecord[]): Promise<void> {
    await this.write(new Map(records.map((record) => [record.key, record.value])));
    this.complete = records.some((record) => record.key === COMPLETE_KEY);
  }

  /** Marks the records as complete: all earlier ones are present, or their loss has been handled. */
  async markComplete(): Promise<void> {
    await this.write(new Map([[COMPLETE_KEY, {}]]));
    this.complete = true;
  }

  /**
   * Replicates values to a majority of voters; null deletes a key.
   *
   * @throws WoodbarrowError `lease_lost` when no majority accepted: the values may or may not persist.
   */
  async write(values: ReadonlyMap<string, object | null>): Promise<void> {
    this.assertValid();
    const records = [...values].map(([key, value]) => this.nextRecord(key, value));
    const { peers, set, term, writeTimeoutMs } = this.options;
    const answers = await callVoters(
      peers,
      set,
      writeMethod,
      (seat) => ({ seat, term, records }),
      writeTimeoutMs,
    );
    const accepted = answers.filter((answer) => answer.accepted).length;
    if (!isMajority(accepted, set)) {
      throw new WoodbarrowError(
        'lease_lost',
        `write to ${set.group} was accepted by only ${String(accepted)} voters`,
      );
    }
  }

  private nextRecord(key: string, value: object | null): LeaseRecord {
    this.sequence += 1;
    const record = { key, term: this.term, sequence: this.sequence, value };
    if (value === null) this.records.delete(key);
    else this.records.set(key, record);
    return record;
  }
}
