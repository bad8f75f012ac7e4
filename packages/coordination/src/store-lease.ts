/**
 * A lease kept as one record of a linearizable store, changed only under its revision. The record says who
 * holds it and carries a fence that only rises. It does not run out in the store: whoever wants it must see it
 * unchanged for its whole lifetime first. A holder stops using it a pause earlier, so that two holders never
 * act within that pause of each other.
 */
import type { Clock } from '@woodbarrow/runtime';

/** What the store keeps of a lease. */
export interface LeaseRecord {
  /** Name of the machine that holds it; kept over restarts of its process. Empty when given back. */
  readonly holder: string;
  /** The holder's run. */
  readonly instance: number;
  /** Rises with every change of the holder or of its run. */
  readonly fence: number;
  /** Milliseconds that the record must be seen unchanged before another may take the lease. */
  readonly lifetimeMs: number;
  /** Counts renewals: the store takes a write that changes nothing for no change, and others would see none. */
  readonly renewal: number;
}

/** A record with the revision of its last change. */
export interface StoredLease {
  readonly record: LeaseRecord;
  readonly revision: number;
}

/** Port: the store. Every call may throw, and may then have been carried out, or may be later. */
export interface LeaseRecordStore {
  /** The record, or undefined when there is none. */
  read(name: string): Promise<StoredLease | undefined>;
  /** Writes the first record; undefined when there is one already. */
  create(name: string, record: LeaseRecord): Promise<StoredLease | undefined>;
  /** Replaces the record of the given revision; undefined when it has another one by now. */
  replace(name: string, record: LeaseRecord, revision: number): Promise<StoredLease | undefined>;
}

/** Word from a holder, passed on by daemons: its last write that the store confirmed. */
export interface LeaseConfirmation {
  /** Revision of the record after that write. */
  readonly revision: number;
  /** Monotonic time of this daemon at which the write had begun at the latest. */
  readonly at: number;
}

/** Options of {@link StoreLease}. */
export interface StoreLeaseOptions {
  /** Name of the record. */
  readonly name: string;
  /** Name of this machine. */
  readonly holder: string;
  /** This run of the process; differs between runs. */
  readonly instance: number;
  /** Milliseconds that others wait before they take it. @default 10000 */
  readonly lifetimeMs?: number;
  /** Milliseconds that must lie between the acts of two holders. */
  readonly handoverPauseMs: number;
  readonly store: LeaseRecordStore;
  readonly clock: Clock;
}

/** Result of {@link StoreLease.tryAcquire}. */
export type AcquireResult =
  | { readonly kind: 'held' }
  /** Another holds it, or held it; ask again after `retryAfterMs`. */
  | { readonly kind: 'waiting'; readonly holder: string; readonly retryAfterMs: number };

/**
 * With renewals each 2 s a holder acts on for 5 s or more while the store does not answer, longer than the outages of
 * the store that are common; a lost holder is replaced within 10 s of its last renewal.
 */
const DEFAULT_LIFETIME_MS = 10_000;
/** Allowance for clocks that run at different speeds, as a share of the lifetime. */
const DRIFT_SHARE = 0.02;
/** Pause before a record that changed under us is looked at again, in milliseconds. */
const CONFLICT_RETRY_MS = 300;

/** One daemon's view of one lease. */
export class StoreLease {
  private stored: StoredLease | undefined;
  /** Monotonic start of the last write or read-back that confirmed this daemon as the holder. */
  private confirmedAt = -Infinity;
  /** Monotonic time before which a new holder must not act. */
  private actFrom = 0;
  private isHolder = false;
  private observed: { readonly revision: number; readonly at: number } | undefined;
  private readonly lifetimeMs: number;

  constructor(private readonly options: StoreLeaseOptions) {
    this.lifetimeMs = options.lifetimeMs ?? DEFAULT_LIFETIME_MS;
  }

  /** The fence to act under; 0 while it was never held. */
  get fence(): number {
    return this.stored?.record.fence ?? 0;
  }

  /** Whether this daemon is the holder as far as it knows, if perhaps not allowed to act now. */
  get isHeld(): boolean {
    return this.isHolder;
  }

  /** Whether this daemon may act as the holder at this moment. */
  mayAct(): boolean {
    const now = this.options.clock.monotonic();
    return this.isHolder && now >= this.actFrom && now < this.actUntil();
  }

  /** Milliseconds until this daemon may act; 0 when it may, Infinity when it is not the holder. */
  actsInMs(): number {
    if (!this.isHolder) return Infinity;
    const now = this.options.clock.monotonic();
    return now >= this.actUntil() ? Infinity : Math.max(0, this.actFrom - now);
  }

  /** Milliseconds since the store last confirmed this daemon as the holder. */
  confirmedAgoMs(): number {
    return this.options.clock.monotonic() - this.confirmedAt;
  }

  /** Revision of the record that this daemon last wrote or read back as the holder; 0 before the first. */
  get revision(): number {
    return this.stored?.revision ?? 0;
  }

  /**
   * Takes the lease if that is allowed now.
   *
   * @param told What the holder told of its last confirmed write: where the record still is as that write left it, its
   *   lifetime is counted from then on instead of from when it was first read here.
   * @throws what the store throws.
   */
  async tryAcquire(told?: LeaseConfirmation): Promise<AcquireResult> {
    const { store, clock, name, handoverPauseMs } = this.options;
    const seen = await store.read(name);
    const now = clock.monotonic();
    if (seen === undefined) {
      const created = await store.create(name, this.ownRecord(1));
      return created === undefined ? this.waitFor('', CONFLICT_RETRY_MS) : this.becomeHolder(created, now);
    }
    const { record, revision } = seen;
    const isOwn = record.holder === this.options.holder;
    if (!isOwn && record.holder !== '') {
      const leftMs = this.unchangedLeftMs(revision, record.lifetimeMs, now, told);
      if (leftMs > 0) return this.waitFor(record.holder, leftMs);
    }
    // Kept also when the write is not answered: it may be carried out all the same.
    this.actFrom = now + (record.holder === '' ? handoverPauseMs : 0);
    const replaced = await store.replace(name, this.ownRecord(record.fence + 1), revision);
    if (replaced === undefined) return this.waitFor(record.holder, CONFLICT_RETRY_MS);
    return this.becomeHolder(replaced, now);
  }

  /**
   * Confirms the lease in the store, by a write: others watch for changes of the record, so reading that it is
   * unchanged proves nothing. A write without an answer is found by reading the record and followed by another.
   *
   * @returns false when another holds it now.
   * @throws what the store throws; the lease then stays as it was.
   */
  async renew(): Promise<boolean> {
    if (await this.confirmByWrite()) return true;
    if (!this.isHolder) return false;
    const seen = await this.options.store.read(this.options.name);
    const isStillOurs =
      seen?.record.holder === this.options.holder && seen.record.instance === this.options.instance;
    if (!isStillOurs) {
      this.isHolder = false;
      return false;
    }
    this.stored = seen;
    await this.confirmByWrite();
    return true;
  }

  /** Gives the lease back, so that others need not wait for its lifetime. @throws what the store throws. */
  async release(): Promise<void> {
    if (!this.isHolder || this.stored === undefined) return;
    const { record, revision } = this.stored;
    this.isHolder = false;
    await this.options.store.replace(this.options.name, { ...record, holder: '' }, revision);
  }

  private async confirmByWrite(): Promise<boolean> {
    const { store, clock, name } = this.options;
    if (!this.isHolder || this.stored === undefined) return false;
    const startedAt = clock.monotonic();
    const { record, revision } = this.stored;
    const renewed = await store.replace(name, { ...record, renewal: record.renewal + 1 }, revision);
    if (renewed !== undefined) this.confirm(renewed, startedAt);
    return renewed !== undefined;
  }

  private confirm(stored: StoredLease, at: number): void {
    this.stored = stored;
    this.confirmedAt = at;
  }

  private becomeHolder(stored: StoredLease, confirmedAt: number): AcquireResult {
    this.confirm(stored, confirmedAt);
    this.isHolder = true;
    this.observed = undefined;
    return { kind: 'held' };
  }

  private waitFor(holder: string, retryAfterMs: number): AcquireResult {
    return { kind: 'waiting', holder, retryAfterMs };
  }

  private unchangedLeftMs(
    revision: number,
    lifetimeMs: number,
    now: number,
    told: LeaseConfirmation | undefined,
  ): number {
    if (this.observed?.revision !== revision) this.observed = { revision, at: now };
    if (told?.revision === revision) this.observed = { revision, at: Math.min(this.observed.at, told.at) };
    return this.observed.at + lifetimeMs * (1 + DRIFT_SHARE) - now;
  }

  private actUntil(): number {
    return this.confirmedAt + this.lifetimeMs - this.options.handoverPauseMs;
  }

  private ownRecord(fence: number): LeaseRecord {
    const { holder, instance } = this.options;
    return { holder, instance, fence, lifetimeMs: this.lifetimeMs, renewal: 0 };
  }
}
