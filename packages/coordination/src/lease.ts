/** A held lease: how long it is certainly valid, its fence, and its replicated records. */
import { WoodbarrowError } from '@woodbarrow/errors';
import { writeMethod, type LeaseRecord, type VoterSet } from '@woodbarrow/protocol';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { Clock } from '@woodbarrow/runtime';
import { callVoters, isMajority } from './voter-calls.js';

/** Fences are epoch times this plus term, so that they grow with both. */
export const TERMS_PER_EPOCH = 65_536;
/** Orders that can be numbered under one lease. */
const ORDERS_PER_TERM = 1_048_576;

/** Key of the record that says that all earlier records are known. */
const COMPLETE_KEY = '$complete';

/** What a lease is made from. */
export interface LeaseOptions {
  readonly peers: PeerNetwork;
  readonly clock: Clock;
  readonly set: VoterSet;
  readonly term: number;
  /** Elapsed time until which the lease is certainly valid. */
  readonly validUntil: number;
  /** Newest records of a majority of voters. */
  readonly records: readonly LeaseRecord[];
  /** Milliseconds to wait for the voters on a write. */
  readonly writeTimeoutMs: number;
}

/** A lease held by this daemon, until {@link Lease.isValid} says otherwise. */
export class Lease {
  /** Grows with every change of holder; back ends refuse orders with a lower one. */
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

  /** Whether the lease is certainly held now. Ask immediately before each act that needs it. */
  get isValid(): boolean {
    return !this.ended && this.options.clock.elapsed() < this.validUntil;
  }

  /** Milliseconds for which the lease is certainly held if it is not extended. */
  get remainingMs(): number {
    return this.ended ? 0 : Math.max(0, this.validUntil - this.options.clock.elapsed());
  }

  /** Whether the records contain everything ever written under this group's leases. */
  get isComplete(): boolean {
    return this.complete;
  }

  /** Live records by key, without this module's own. */
  values(): Map<string, object> {
    const values = new Map<string, object>();
    for (const [key, record] of this.records) {
      if (record.value !== null && key !== COMPLETE_KEY) values.set(key, record.value);
    }
    return values;
  }

  /** Throws `lease_lost` unless the lease is certainly held now. */
  assertValid(): void {
    if (!this.isValid)
      throw new WoodbarrowError('lease_lost', `lease on ${this.set.group} is not held any more`);
  }

  /** A number for the next order under this lease: higher than all before it, and than those of earlier leases. */
  nextOrderNumber(): number {
    this.orderCount += 1;
    if (this.orderCount >= ORDERS_PER_TERM) this.end();
    return this.fence * ORDERS_PER_TERM + this.orderCount;
  }

  /**
   * Extends the lease; called by the candidate that renews it. A lease that has lapsed on this side stays so: whoever
   * worked under it may have stopped at that moment.
   */
  extend(validUntil: number): void {
    if (this.isValid) this.validUntil = Math.max(this.validUntil, validUntil);
  }

  /** Resolves when the lease is ended on this side, by handing over or by giving up. */
  get whenEnded(): Promise<void> {
    return this.endedPromise;
  }

  /** Ends the lease on this side. */
  end(): void {
    this.ended = true;
    this.resolveEnded();
  }

  /**
   * Takes over the records of the epoch before, which end with its voters, and replicates them in this one.
   *
   * @throws WoodbarrowError `lease_lost` when no majority took them.
   */
  async carryOver(records: readonly LeaseRecord[]): Promise<void> {
    await this.write(new Map(records.map((record) => [record.key, record.value])));
    this.complete = records.some((record) => record.key === COMPLETE_KEY);
  }

  /** Records that all earlier records are known, or have been made good by other means. */
  async markComplete(): Promise<void> {
    await this.write(new Map([[COMPLETE_KEY, {}]]));
    this.complete = true;
  }

  /**
   * Replicates values to a majority of voters; null deletes.
   *
   * @throws WoodbarrowError `lease_lost` when no majority accepted: the values may or may not last.
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
      throw new WoodbarrowError('lease_lost', `write to ${set.group} reached ${String(accepted)} voters`);
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
