/**
 * A lease kept as one record of a linearizable store, changed only under its revision. The record says who
 * holds it and carries a fence that only rises. It does not run out in the store: whoever wants it must see it
 * unchanged for its whole lifetime first. A holder stops using it a pause earlier, so that two holders never
 * act within that pause of each other. Where the record names witnesses, the holder acts only in contact with most of
 * them, and may be replaced sooner once most of them have refused it (`lease-witness.ts`).
 *
 * A store that is restored from a copy may show an earlier holder, or none, and gives revisions out again. So a record says in which era of the store it
 * was written. One of an earlier era is a leftover: it tells nothing of who held the lease last. Its holder goes on only if it may still
 * act, since nobody can have replaced it then, and writes its record anew; anybody else waits a whole lifetime in the new era, or until
 * every daemon has refused whoever it was. A write that was meant for one era and carried out in another confirms nothing.
 */
import type { StorePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { HolderContact } from './holder-contact.js';
import {
  firstFenceOf,
  isFromEarlierEra,
  isSamePosition,
  nextFence,
  type LeaseRecord,
  type LeaseRecordStore,
  type StoredLease,
} from './lease-record.js';
import { areSameWitnesses, CONTACT_LIFETIME_MS, type WitnessId } from './lease-witness.js';

/** Word from a holder, passed on by daemons: its last write that the store confirmed; the position is that of the record after it. */
export interface LeaseConfirmation extends StorePosition {
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

/** A holder that has been refused; the position is that of the record under which it was, with revision 0 where there was none. */
export interface RefusedHolder extends StorePosition {
  /** Most of the witnesses that its record names, or every daemon, whoever it may have named. */
  readonly by: 'witnesses' | 'everybody';
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
      /**
       * Set where the store was restored and does not tell who held the lease last: it may be taken sooner once everybody has refused that one
       * under this position.
       */
      readonly unknownHolderAt?: StorePosition;
    };

/**
 * With renewals each 2 s a holder acts on for 5 s or more while the store does not answer, longer than the outages of
 * the store that are common; a lost holder is replaced within 10 s of its last renewal.
 */
const DEFAULT_LIFETIME_MS = 10_000;
/** Allowance for clocks that run at different speeds, as a share of the lifetime. */
const CLOCK_DRIFT_SHARE = 0.02;
/**
 * Time for which an era must have been known before everybody is asked to refuse whoever held a lease before it, in milliseconds: longer than a call to the
 * store may take, so that no daemon still waits for the answer that makes it a holder, and enough for a daemon that has just started to hear of all others.
 */
const ERA_SETTLING_MS = 2000;
/** Pause before a record that changed under us is looked at again, in milliseconds. */
const CONFLICT_RETRY_MS = 300;
/** Time for which an act of a holder may be on its way when it is refused, in milliseconds: the limit of an order. */
const IN_FLIGHT_ACTION_MS = 500;
/** A witness that has not answered for this long is replaced at the next renewal, in milliseconds: two rounds. */
export const WITNESS_UNRESPONSIVE_AFTER_MS = 900;
/** Pause before it is looked again whether witnesses have answered, in milliseconds. */
const CONTACT_POLL_INTERVAL_MS = 50;

/** One daemon's view of one lease. */
export class StoreLease {
  private stored: StoredLease | undefined;
  /** Start, in elapsed time, of the last write or read-back that confirmed this daemon as the holder. */
  private confirmedAt = -Infinity;
  /** Monotonic time before which a new holder must not act. */
  private mayActFrom = 0;
  private isHolder = false;
  /** The record that stands in the way, and since when it has been seen unchanged, in monotonic time. */
  private observed: LeaseConfirmation | undefined;
  /** A write that names other witnesses has been sent and not confirmed: either set may stand in the record. */
  private hasUnconfirmedWitnesses = false;
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
    const isTooEarly = clock.monotonic() < this.mayActFrom;
    return this.isHolder && !isTooEarly && clock.elapsed() < this.mayActUntil() && this.isInContact();
  }

  /** Milliseconds until this daemon may act; 0 when it may, Infinity when it is not the holder. */
  actsInMs(): number {
    if (!this.isHolder) return Infinity;
    const { clock } = this.options;
    if (clock.elapsed() >= this.mayActUntil()) return Infinity;
    return Math.max(this.isInContact() ? 0 : CONTACT_POLL_INTERVAL_MS, this.mayActFrom - clock.monotonic());
  }

  /** Whether this daemon holds the lease, and its lifetime has not run out. */
  get mayStillAct(): boolean {
    return this.isHolder && this.options.clock.elapsed() < this.mayActUntil();
  }

  /** Milliseconds since the store last confirmed this daemon as the holder. */
  confirmedAgoMs(): number {
    return this.options.clock.elapsed() - this.confirmedAt;
  }

  /** Witnesses that the record names, as far as known here. */
  get witnesses(): readonly WitnessId[] {
    return this.stored?.record.witnesses ?? [];
  }

  /** Position of the record that this daemon last wrote or read back as the holder. */
  get position(): StorePosition {
    const { era = 0, revision = 0 } = this.stored ?? {};
    return { era, revision };
  }

  /**
   * Takes the lease if that is allowed now.
   *
   * @param reported What the holder told of its last confirmed write: where the record still is as that write left it, its
   *   lifetime is counted from then on instead of from when it was first read here.
   * @param refused Set when most witnesses of the record have refused its holder.
   * @throws what the store throws.
   */
  async tryAcquire(reported?: LeaseConfirmation, refused?: RefusedHolder): Promise<AcquireResult> {
    const { store, clock, name } = this.options;
    const current = await store.read(name);
    // What others may still use is waited for by the steady clock, what this daemon may use lapses by the elapsed time.
    const now = clock.monotonic();
    const readAt = clock.elapsed();
    if (current === undefined) return this.acquireWithoutRecord(readAt, refused);
    if (isFromEarlierEra(current)) return this.acquireFromEarlierEra(current, readAt, refused);
    const { record, revision } = current;
    const isHeldByOther = record.holder !== this.options.holder && record.holder !== '';
    const remainingMs = isHeldByOther ? this.remainingLifetimeMs(current, now, reported) : 0;
    const isRefused = refused?.by === 'witnesses' && isSamePosition(refused, current);
    if (remainingMs > 0 && !isRefused) return this.waitFor(remainingMs, current);
    // Kept also when the write is not answered: it may be carried out all the same.
    const pauseMs =
      remainingMs > 0 && isRefused ? this.pauseAfterRefusalMs(refused) : this.pauseAfterHolderMs(record);
    this.mayActFrom = Math.max(this.mayActFrom, now + pauseMs);
    const newRecord = this.createRecord(nextFence(current), pauseMs, current.era);
    return this.becomeHolder(newRecord, await store.replace(name, newRecord, revision), readAt);
  }

  /** Takes a lease without a record. A store that was restored may have lost it while its holder may still act. */
  private async acquireWithoutRecord(
    readAt: number,
    refused: RefusedHolder | undefined,
  ): Promise<AcquireResult> {
    const { store, name } = this.options;
    const { era, knownForMs } = store.currentEra();
    const position = { era, revision: 0 };
    const remainingMs = this.lifetimeMs * (1 + CLOCK_DRIFT_SHARE) - knownForMs;
    const pauseMs = remainingMs > 0 ? this.pauseAfterUnknownHolderMs(position, refused) : 0;
    if (pauseMs === undefined) return this.waitForUnknownHolder(position, remainingMs);
    this.mayActFrom = Math.max(this.mayActFrom, this.options.clock.monotonic() + pauseMs);
    const newRecord = this.createRecord(firstFenceOf(era), pauseMs, era);
    return this.becomeHolder(newRecord, await store.create(name, newRecord), readAt);
  }

  /** Takes a lease whose record is from before the store was restored: whoever held it last has stopped after a lifetime in this era. */
  private async acquireFromEarlierEra(
    current: StoredLease,
    readAt: number,
    refused: RefusedHolder | undefined,
  ): Promise<AcquireResult> {
    const { store, name, clock } = this.options;
    const now = clock.monotonic();
    const position = { era: current.era, revision: current.revision };
    const remainingMs = this.remainingLifetimeMs(current, now, undefined);
    const pauseMs = remainingMs > 0 ? this.pauseAfterUnknownHolderMs(position, refused) : 0;
    if (pauseMs === undefined) return this.waitForUnknownHolder(position, remainingMs);
    this.mayActFrom = Math.max(this.mayActFrom, now + pauseMs);
    const newRecord = this.createRecord(nextFence(current), pauseMs, current.era);
    return this.becomeHolder(newRecord, await store.replace(name, newRecord, current.revision), readAt);
  }

  /** Time before the first act after everybody has refused whoever held the lease; undefined where they have not. */
  private pauseAfterUnknownHolderMs(
    position: StorePosition,
    refused: RefusedHolder | undefined,
  ): number | undefined {
    if (refused?.by !== 'everybody' || !isSamePosition(refused, position)) return undefined;
    return this.pauseAfterRefusalMs(refused);
  }

  private waitForUnknownHolder(position: StorePosition, remainingMs: number): AcquireResult {
    const settlesInMs = ERA_SETTLING_MS - this.options.store.currentEra().knownForMs;
    if (settlesInMs > 0) return this.waitFor(Math.min(remainingMs, settlesInMs));
    return { kind: 'waiting', retryAfterMs: remainingMs, unknownHolderAt: position };
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
    const current = await this.options.store.read(this.options.name);
    if (current === undefined || isFromEarlierEra(current)) return this.rewriteAfterRestore(current);
    const isStillHeldHere =
      current.record.holder === this.options.holder && current.record.instance === this.options.instance;
    if (!isStillHeldHere) {
      this.isHolder = false;
      return false;
    }
    this.stored = current;
    await this.confirmByWrite();
    return true;
  }

  /**
   * Writes the record anew in a store that was restored. While most witnesses answer and the lifetime runs, nobody else can have taken the lease in the
   * era before, and in this one others wait for a lifetime.
   */
  private async rewriteAfterRestore(current: StoredLease | undefined): Promise<boolean> {
    const { store, name, clock } = this.options;
    const startedAt = clock.elapsed();
    if (this.stored === undefined || startedAt >= this.mayActUntil()) {
      this.isHolder = false;
      return false;
    }
    if (!this.isInContact()) return true;
    const era = current?.era ?? store.currentEra().era;
    const { record } = this.stored;
    const newRecord = { ...record, era, renewal: record.renewal + 1, pauseMs: this.remainingPauseMs(record) };
    const stored =
      current === undefined
        ? await store.create(name, newRecord)
        : await store.replace(name, newRecord, current.revision);
    if (stored?.era === era) this.markConfirmed(stored, startedAt);
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
    const { record, revision, era } = this.stored;
    // The revision may have been given out again for the record of another holder.
    if (era !== store.currentEra().era) return false;
    const witnesses = this.selectWitnesses();
    this.hasUnconfirmedWitnesses ||= !areSameWitnesses(witnesses, record.witnesses);
    const newRecord = {
      ...record,
      era,
      renewal: record.renewal + 1,
      witnesses,
      pauseMs: this.remainingPauseMs(record),
    };
    const renewed = await store.replace(name, newRecord, revision);
    if (renewed?.era !== era) return false;
    this.markConfirmed(renewed, startedAt);
    return true;
  }

  /** Pause that a restart of this process would have to wait again. */
  private remainingPauseMs({ pauseMs }: LeaseRecord): number {
    return this.options.clock.monotonic() >= this.mayActFrom ? 0 : pauseMs;
  }

  private markConfirmed(stored: StoredLease, at: number): void {
    this.stored = stored;
    this.confirmedAt = at;
    this.hasUnconfirmedWitnesses = false;
    this.contact.setWitnesses(stored.record.witnesses);
  }

  private isInContact(): boolean {
    return !this.hasUnconfirmedWitnesses && this.contact.isFresh;
  }

  private selectWitnesses(): readonly WitnessId[] {
    return (
      this.options.chooseWitnesses?.(
        this.stored?.record.witnesses ?? [],
        this.contact.unresponsiveWitnesses(WITNESS_UNRESPONSIVE_AFTER_MS),
      ) ?? []
    );
  }

  /** Time before the first act after a record without a living holder, or this machine's own from a former run. */
  private pauseAfterHolderMs({ holder, pauseMs }: LeaseRecord): number {
    if (holder === '') return this.options.handoverPauseMs;
    return holder === this.options.holder ? pauseMs : 0;
  }

  /** The holder before may have acted until its contact lapsed, and that act may be on its way still. */
  private pauseAfterRefusalMs({ lastContactAgoMs }: RefusedHolder): number {
    const lapsedAgoMs = Math.max(0, lastContactAgoMs - CONTACT_LIFETIME_MS);
    return Math.max(0, this.options.handoverPauseMs + IN_FLIGHT_ACTION_MS - lapsedAgoMs);
  }

  /** @param requested What was to be written. @param stored What was, if anything: in another era than it was meant for it confirms nothing. */
  private becomeHolder(
    requested: LeaseRecord,
    stored: StoredLease | undefined,
    confirmedAt: number,
  ): AcquireResult {
    if (stored === undefined || stored.era !== requested.era) return this.waitFor(CONFLICT_RETRY_MS);
    this.markConfirmed(stored, confirmedAt);
    this.isHolder = true;
    this.observed = undefined;
    return { kind: 'held' };
  }

  private waitFor(retryAfterMs: number, stored?: StoredLease): AcquireResult {
    return { kind: 'waiting', retryAfterMs, ...(stored === undefined ? {} : { stored }) };
  }

  private remainingLifetimeMs(
    { record, era, revision }: StoredLease,
    now: number,
    reported: LeaseConfirmation | undefined,
  ): number {
    const position = { era, revision };
    let since = now;
    if (this.observed !== undefined && isSamePosition(this.observed, position)) since = this.observed.at;
    if (reported !== undefined && isSamePosition(reported, position)) since = Math.min(since, reported.at);
    this.observed = { ...position, at: since };
    return since + Math.max(record.lifetimeMs, this.lifetimeMs) * (1 + CLOCK_DRIFT_SHARE) - now;
  }

  private mayActUntil(): number {
    return this.confirmedAt + this.lifetimeMs - this.options.handoverPauseMs;
  }

  private createRecord(fence: number, pauseMs: number, era: number): LeaseRecord {
    const { holder, instance } = this.options;
    return {
      holder,
      instance,
      fence,
      lifetimeMs: this.lifetimeMs,
      renewal: 0,
      witnesses: this.selectWitnesses(),
      pauseMs: Math.ceil(pauseMs),
      era,
    };
  }
}
