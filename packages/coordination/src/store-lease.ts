/**
 * A lease kept as one record of a linearizable store, changed only under its revision. The record says who
 * holds it and carries a fence that only rises. It does not run out in the store: whoever wants it must see it
 * unchanged for its whole lifetime first. A holder stops using it a pause earlier, so that two holders never
 * act within that pause of each other. Where the record names witnesses, the holder acts only in contact with most of
 * them, and may be replaced sooner once most of them have refused it (`lease-witness.ts`).
 */
import type { Clock } from '@woodbarrow/runtime';
import { HolderContact } from './holder-contact.js';
import { areSameWitnesses, CONTACT_LIFETIME_MS, type WitnessId } from './lease-witness.js';

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
  /** Daemons that the holder must be in contact with; none where there are too few. */
  readonly witnesses: readonly WitnessId[];
  /** Milliseconds after this write began before which the holder must not act; a restart of it waits them again. */
  readonly pauseMs: number;
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
  /**
   * Witnesses to name with the next write, given those named now and those of them that have stopped answering.
   * @default none
   */
  readonly chooseWitnesses?: (
    named: readonly WitnessId[],
    silent: readonly WitnessId[],
  ) => readonly WitnessId[];
  readonly store: LeaseRecordStore;
  readonly clock: Clock;
}

/** A holder that most of its witnesses have refused. */
export interface RefusedHolder {
  /** Revision of the record under which it was refused. */
  readonly revision: number;
  /** Least time since any witness that refused it had answered it, in milliseconds. */
  readonly lastContactAgoMs: number;
}

/** Result of {@link StoreLease.tryAcquire}. */
export type AcquireResult =
  | { readonly kind: 'held' }
  /** Another holds it, or held it; ask again after `retryAfterMs`. */
  | {
      readonly kind: 'waiting';
      readonly retryAfterMs: number;
      /** The record that stands in the way, when there is one. */
      readonly stored?: StoredLease;
    };

/**
 * With renewals each 2 s a holder acts on for 5 s or more while the store does not answer, longer than the outages of
 * the store that are common; a lost holder is replaced within 10 s of its last renewal.
 */
const DEFAULT_LIFETIME_MS = 10_000;
/** Allowance for clocks that run at different speeds, as a share of the lifetime. */
const DRIFT_SHARE = 0.02;
/** Pause before a record that changed under us is looked at again, in milliseconds. */
const CONFLICT_RETRY_MS = 300;
/** Time for which an act of a holder may be on its way when it is refused, in milliseconds: the limit of an order. */
const ACT_UNDER_WAY_MS = 500;
/** A witness that has not answered for this long is replaced at the next renewal, in milliseconds: two rounds. */
export const SILENT_WITNESS_MS = 900;
/** Pause before it is looked again whether witnesses have answered, in milliseconds. */
const CONTACT_LOOK_MS = 50;

/** One daemon's view of one lease. */
export class StoreLease {
  private stored: StoredLease | undefined;
  /** Start, in elapsed time, of the last write or read-back that confirmed this daemon as the holder. */
  private confirmedAt = -Infinity;
  /** Monotonic time before which a new holder must not act. */
  private actFrom = 0;
  private isHolder = false;
  private observed: { readonly revision: number; readonly at: number } | undefined;
  /** A write that names other witnesses has been sent and not confirmed: either set may stand in the record. */
  private witnessesUncertain = false;
  private readonly lifetimeMs: number;
  /** What the witnesses have answered. */
  readonly contact: HolderContact;

  constructor(private readonly options: StoreLeaseOptions) {
    this.lifetimeMs = options.lifetimeMs ?? DEFAULT_LIFETIME_MS;
    this.contact = new HolderContact(options.clock);
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
    const { clock } = this.options;
    const isTooEarly = clock.monotonic() < this.actFrom;
    return this.isHolder && !isTooEarly && clock.elapsed() < this.actUntil() && this.isInContact();
  }

  /** Milliseconds until this daemon may act; 0 when it may, Infinity when it is not the holder. */
  actsInMs(): number {
    if (!this.isHolder) return Infinity;
    const { clock } = this.options;
    if (clock.elapsed() >= this.actUntil()) return Infinity;
    return Math.max(this.isInContact() ? 0 : CONTACT_LOOK_MS, this.actFrom - clock.monotonic());
  }

  /** Milliseconds since the store last confirmed this daemon as the holder. */
  confirmedAgoMs(): number {
    return this.options.clock.elapsed() - this.confirmedAt;
  }

  /** Witnesses that the record names, as far as known here. */
  get witnesses(): readonly WitnessId[] {
    return this.stored?.record.witnesses ?? [];
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
   * @param refused Set when most witnesses of the record have refused its holder.
   * @throws what the store throws.
   */
  async tryAcquire(told?: LeaseConfirmation, refused?: RefusedHolder): Promise<AcquireResult> {
    const { store, clock, name } = this.options;
    const seen = await store.read(name);
    // What others may still use is waited for by the steady clock, what this daemon may use lapses by the elapsed time.
    const now = clock.monotonic();
    const readAt = clock.elapsed();
    if (seen === undefined) {
      const created = await store.create(name, this.ownRecord(1, 0));
      return created === undefined ? this.waitFor(CONFLICT_RETRY_MS) : this.becomeHolder(created, readAt);
    }
    const { record, revision } = seen;
    const isOthers = record.holder !== this.options.holder && record.holder !== '';
    const leftMs = isOthers ? this.unchangedLeftMs(revision, record.lifetimeMs, now, told) : 0;
    const isRefused = refused?.revision === revision;
    if (leftMs > 0 && !isRefused) return this.waitFor(leftMs, seen);
    // Kept also when the write is not answered: it may be carried out all the same.
    const pauseMs = leftMs > 0 && isRefused ? this.pauseAfterRefusalMs(refused) : this.pauseAfter(record);
    this.actFrom = Math.max(this.actFrom, now + pauseMs);
    const replaced = await store.replace(name, this.ownRecord(record.fence + 1, pauseMs), revision);
    if (replaced === undefined) return this.waitFor(CONFLICT_RETRY_MS);
    return this.becomeHolder(replaced, readAt);
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
    const startedAt = clock.elapsed();
    const { record, revision } = this.stored;
    const witnesses = this.witnessesToName();
    this.witnessesUncertain ||= !areSameWitnesses(witnesses, record.witnesses);
    const pauseMs = clock.monotonic() >= this.actFrom ? 0 : record.pauseMs;
    const renewal = record.renewal + 1;
    const renewed = await store.replace(name, { ...record, renewal, witnesses, pauseMs }, revision);
    if (renewed !== undefined) this.confirm(renewed, startedAt);
    return renewed !== undefined;
  }

  private confirm(stored: StoredLease, at: number): void {
    this.stored = stored;
    this.confirmedAt = at;
    this.witnessesUncertain = false;
    this.contact.name(stored.record.witnesses);
  }

  private isInContact(): boolean {
    return !this.witnessesUncertain && this.contact.isFresh;
  }

  private witnessesToName(): readonly WitnessId[] {
    return (
      this.options.chooseWitnesses?.(
        this.stored?.record.witnesses ?? [],
        this.contact.silentWitnesses(SILENT_WITNESS_MS),
      ) ?? []
    );
  }

  /** Time before the first act after a record without a living holder, or this machine's own from a former run. */
  private pauseAfter({ holder, pauseMs }: LeaseRecord): number {
    if (holder === '') return this.options.handoverPauseMs;
    return holder === this.options.holder ? pauseMs : 0;
  }

  /** The holder before may have acted until its contact lapsed, and that act may be on its way still. */
  private pauseAfterRefusalMs({ lastContactAgoMs }: RefusedHolder): number {
    const lapsedAgoMs = Math.max(0, lastContactAgoMs - CONTACT_LIFETIME_MS);
    return Math.max(0, this.options.handoverPauseMs + ACT_UNDER_WAY_MS - lapsedAgoMs);
  }

  private becomeHolder(stored: StoredLease, confirmedAt: number): AcquireResult {
    this.confirm(stored, confirmedAt);
    this.isHolder = true;
    this.observed = undefined;
    return { kind: 'held' };
  }

  private waitFor(retryAfterMs: number, stored?: StoredLease): AcquireResult {
    return { kind: 'waiting', retryAfterMs, ...(stored === undefined ? {} : { stored }) };
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

  private ownRecord(fence: number, pauseMs: number): LeaseRecord {
    const { holder, instance } = this.options;
    return {
      holder,
      instance,
      fence,
      lifetimeMs: this.lifetimeMs,
      renewal: 0,
      witnesses: this.witnessesToName(),
      pauseMs: Math.ceil(pauseMs),
    };
  }
}
