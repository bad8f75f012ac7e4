/**
 * A lease that is one record of a linearizable store, replaced only under its current revision. The record
 * names the holder and carries an increasing fence. It does not expire in the store: another daemon must
 * observe it unchanged for its whole lifetime before taking the lease. The holder stops acting one handover
 * pause before that, so actions of two holders are at least a pause apart. Where the record names witnesses,
 * the holder acts only while in contact with a majority of them, and may be replaced earlier once a majority
 * has refused it (see `lease-witness.ts`).
 *
 * A store restored from a copy may show an earlier holder or none, and reuses revisions. Each record
 * therefore carries the era of the store in which it was written. A record of an earlier era does not
 * identify the last holder. That holder may continue, and write its record again, only while it is still
 * allowed to act, because nothing can have replaced it by then. Other daemons wait for a whole lifetime in
 * the new era, or until every daemon has refused the unknown holder. A write intended for one era but carried
 * out in another does not confirm the lease.
 */
import type { StorePosition } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';
import { handoverPause, type HandoverPauseReason } from './handover-pause.js';
import { HolderContact } from './holder-contact.js';
import {
  firstFenceOfEra,
  isFromEarlierEra,
  isSamePosition,
  nextFence,
  type LeaseRecord,
  type LeaseRecordStore,
  type StoredLease,
} from './lease-record.js';
import { areSameWitnesses, CLOCK_DRIFT_SHARE, type WitnessId } from './lease-witness.js';

/**
 * A holder's report, passed on by other daemons, of its last confirmed write, with the position of the
 * written record.
 */
export interface LeaseConfirmation extends StorePosition {
  /** Latest possible start of the write, in this daemon's monotonic time. */
  readonly at: number;
}

export interface StoreLeaseOptions {
  /** Name of the lease's record. */
  readonly name: string;
  /** Name of this machine. */
  readonly holder: string;
  /** Identifies this run of the process. */
  readonly instance: number;
  /** Milliseconds that other daemons wait before they take the lease. @default 10000 */
  readonly lifetimeMs?: number;
  /** Minimum time between the actions of two holders, in milliseconds. */
  readonly handoverPauseMs: number;
  /**
   * Chooses the witnesses for the next write from the current ones and those of them that are unresponsive.
   * @default no witnesses
   */
  readonly chooseWitnesses?: (
    current: readonly WitnessId[],
    unresponsive: readonly WitnessId[],
  ) => readonly WitnessId[];
  readonly store: LeaseRecordStore;
  readonly clock: Clock;
}

/**
 * A holder that has been refused, with the position of its record; the revision is 0 where there was no
 * record.
 */
export interface RefusedHolder extends StorePosition {
  /** Whether a majority of the record's witnesses refused the holder, or every daemon refused any holder. */
  readonly by: 'witnesses' | 'everybody';
  /** Shortest time since any refusing witness last accepted a request of the holder, in milliseconds. */
  readonly lastContactAgoMs: number;
}

export type AcquireResult =
  | { readonly kind: 'held' }
  /** Another daemon holds the lease or may still hold it; retry after `retryAfterMs`. */
  | {
      readonly kind: 'waiting';
      readonly retryAfterMs: number;
      /** The record that prevents the acquisition, if there is one. */
      readonly stored?: StoredLease;
      /**
       * Set where the store was restored and the last holder is unknown: the lease may be taken earlier once
       * every daemon has refused that holder under this position.
       */
      readonly unknownHolderAt?: StorePosition;
    };

/**
 * Lets a holder continue through short outages of the store, and still replaces a lost holder within 10 s of
 * its last renewal. With renewals every 2 s and a handover pause of 3 s, a holder acts for at least 5 s while
 * the store does not respond.
 */
const DEFAULT_LIFETIME_MS = 10_000;
/**
 * Milliseconds for which an era must have been observed before every daemon is asked to refuse the previous
 * holder. Longer than a call to the store, so that no daemon still waits for a response that would make it
 * the holder, and long enough for a daemon that has just started to discover all others.
 */
const ERA_SETTLING_MS = 2000;
/** Pause before a retry after the record was changed concurrently, in milliseconds. */
const CONFLICT_RETRY_MS = 300;
/**
 * Milliseconds without an answer after which a witness is replaced at the next renewal: two rounds of
 * requests.
 */
export const WITNESS_UNRESPONSIVE_AFTER_MS = 900;
/** Interval at which contact with the witnesses is checked, in milliseconds. */
const CONTACT_POLL_INTERVAL_MS = 50;

/** State of one lease on one daemon. */
export class StoreLease {
  private stored: StoredLease | undefined;
  /** Start of the last write or read that confirmed this daemon as the holder, in elapsed time. */
  private confirmedAt = -Infinity;
  /** Monotonic time before which a new holder must not act. */
  private mayActFrom = 0;
  private pausedBy: HandoverPauseReason = 'none';
  private isHolder = false;
  private isFirst = false;
  /** Position of the last record read, with the latest possible time of its write in monotonic time. */
  private observed: LeaseConfirmation | undefined;
  /** Whether a write with other witnesses was sent and not confirmed: the record may name either set. */
  private hasUnconfirmedWitnesses = false;
  private readonly lifetimeMs: number;
  readonly contact: HolderContact;

  constructor(private readonly options: StoreLeaseOptions) {
    this.lifetimeMs = options.lifetimeMs ?? DEFAULT_LIFETIME_MS;
    this.contact = new HolderContact(options.clock);
  }

  /** Fencing token of this daemon's actions; 0 before it first held the lease. */
  get fence(): number {
    return this.stored?.record.fence ?? 0;
  }

  /** Whether this daemon is the holder as far as it knows; it may not be allowed to act now. */
  get isHeld(): boolean {
    return this.isHolder;
  }

  /** Whether the lease had no holder before this one, so that nobody else can have acted under it. */
  get isFirstHold(): boolean {
    return this.isHolder && this.isFirst;
  }

  /** Whether this daemon may act as the holder now. */
  mayAct(): boolean {
    const { clock } = this.options;
    const isTooEarly = clock.monotonic() < this.mayActFrom;
    return this.isHolder && !isTooEarly && clock.elapsed() < this.mayActUntil() && this.isInContact();
  }

  /**
   * Milliseconds until this daemon may act; 0 when it may act now, Infinity when it does not hold the lease
   * or its lifetime has ended.
   */
  actsInMs(): number {
    if (!this.isHolder) return Infinity;
    const { clock } = this.options;
    if (clock.elapsed() >= this.mayActUntil()) return Infinity;
    return Math.max(this.isInContact() ? 0 : CONTACT_POLL_INTERVAL_MS, this.mayActFrom - clock.monotonic());
  }

  /** Whether this daemon holds the lease and its lifetime has not ended. */
  get isWithinLifetime(): boolean {
    return this.isHolder && this.options.clock.elapsed() < this.mayActUntil();
  }

  /** Which evidence determined the time before which this daemon must not act after it acquired the lease. */
  get pauseReason(): HandoverPauseReason {
    return this.pausedBy;
  }

  /** Milliseconds since the store last confirmed this daemon as the holder. */
  confirmedAgoMs(): number {
    return this.options.clock.elapsed() - this.confirmedAt;
  }

  /** Witnesses in the last observed record. */
  get witnesses(): readonly WitnessId[] {
    return this.stored?.record.witnesses ?? [];
  }

  /** Position of the last record that this daemon wrote, or read back, as the holder. */
  get position(): StorePosition {
    const { era = 0, revision = 0 } = this.stored ?? {};
    return { era, revision };
  }

  /**
   * Acquires the lease if that is allowed now.
   *
   * @param reported The holder's report of its last confirmed write. If the record is unchanged since then,
   * its lifetime is counted from that write rather than from the first read here.
   * @param refused Set when the holder has been refused.
   * @throws Errors of the store.
   */
  async tryAcquire(reported?: LeaseConfirmation, refused?: RefusedHolder): Promise<AcquireResult> {
    const { store, clock, name } = this.options;
    const current = await store.read(name);
    // Waiting for other holders uses the monotonic clock; this daemon's own validity uses the elapsed clock.
    const now = clock.monotonic();
    const readAt = clock.elapsed();
    if (current === undefined) return this.acquireWithoutRecord(readAt, refused);
    if (isFromEarlierEra(current)) return this.acquireFromEarlierEra(current, readAt, refused);
    this.observe(current, now, reported);
    const { record, revision } = current;
    const isHeldByOther = record.holder !== this.options.holder && record.holder !== '';
    const remainingMs = isHeldByOther ? this.remainingLifetimeMs(current, now) : 0;
    const isRefused = refused?.by === 'witnesses' && isSamePosition(refused, current);
    if (remainingMs > 0 && !isRefused) return this.waitFor(remainingMs, current);
    const pauseMs = this.pauseAfter(now, remainingMs > 0 ? refused : undefined, current);
    const newRecord = this.createRecord(nextFence(current), pauseMs, current.era);
    return this.becomeHolder(newRecord, await store.replace(name, newRecord, revision), readAt);
  }

  /**
   * Acquires a lease without a record. A restored store may have lost the record of a holder that may still
   * act.
   */
  private async acquireWithoutRecord(
    readAt: number,
    refused: RefusedHolder | undefined,
  ): Promise<AcquireResult> {
    const { store, name } = this.options;
    const { era, observedForMs } = store.currentEra();
    const position = { era, revision: 0 };
    const remainingMs = this.lifetimeMs * (1 + CLOCK_DRIFT_SHARE) - observedForMs;
    const refusal = remainingMs > 0 ? refusalByEverybody(position, refused) : undefined;
    if (remainingMs > 0 && refusal === undefined) return this.waitForUnknownHolder(position, remainingMs);
    const pauseMs = this.pauseAfter(this.options.clock.monotonic(), refusal);
    const newRecord = this.createRecord(firstFenceOfEra(era), pauseMs, era);
    const isFirst = observedForMs === Infinity;
    return this.becomeHolder(newRecord, await store.create(name, newRecord), readAt, isFirst);
  }

  /**
   * Acquires a lease whose record precedes a restore of the store. Any earlier holder has stopped after one
   * lifetime in the new era.
   */
  private async acquireFromEarlierEra(
    current: StoredLease,
    readAt: number,
    refused: RefusedHolder | undefined,
  ): Promise<AcquireResult> {
    const { store, name, clock } = this.options;
    const now = clock.monotonic();
    const position = { era: current.era, revision: current.revision };
    this.observe(current, now);
    const remainingMs = this.remainingLifetimeMs(current, now);
    const refusal = remainingMs > 0 ? refusalByEverybody(position, refused) : undefined;
    if (remainingMs > 0 && refusal === undefined) return this.waitForUnknownHolder(position, remainingMs);
    const pauseMs = this.pauseAfter(now, refusal, current);
    const newRecord = this.createRecord(nextFence(current), pauseMs, current.era);
    return this.becomeHolder(newRecord, await store.replace(name, newRecord, current.revision), readAt);
  }

  /**
   * Moves the time before which this daemon must not act to what is now known of earlier holders, and returns the
   * remaining pause in milliseconds. It stays in effect if the write that follows is not answered, since that may
   * still be carried out.
   */
  private pauseAfter(now: number, refused: RefusedHolder | undefined, replaced?: StoredLease): number {
    const { handoverPauseMs, holder } = this.options;
    const { actsFrom, reason } = handoverPause({
      now,
      handoverPauseMs,
      ...(refused === undefined ? {} : { lastContactAgoMs: refused.lastContactAgoMs }),
      ...(replaced === undefined
        ? {}
        : {
            replaced: {
              record: replaced.record,
              writtenBefore: this.observed?.at ?? now,
              isOwn: replaced.record.holder === holder,
            },
          }),
    });
    if (actsFrom > this.mayActFrom) {
      this.mayActFrom = actsFrom;
      this.pausedBy = reason;
    }
    return Math.max(0, this.mayActFrom - now);
  }

  private waitForUnknownHolder(position: StorePosition, remainingMs: number): AcquireResult {
    const settlesInMs = ERA_SETTLING_MS - this.options.store.currentEra().observedForMs;
    if (settlesInMs > 0) return this.waitFor(Math.min(remainingMs, settlesInMs));
    return { kind: 'waiting', retryAfterMs: remainingMs, unknownHolderAt: position };
  }

  /**
   * Confirms the lease by a write. A read is not sufficient, because other daemons watch the record for
   * changes. If the write is not confirmed, reads the record and writes again.
   *
   * @returns false when another daemon holds the lease.
   * @throws Errors of the store; the lease then stays unchanged.
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
   * Writes the record again after a restore of the store. While a majority of witnesses answers and the
   * lifetime has not ended, no other daemon can have taken the lease in the previous era, and in the new one
   * others wait for a lifetime.
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
    const newRecord = { ...record, era, renewal: record.renewal + 1, pauseMs: this.remainingPauseMs() };
    const stored =
      current === undefined
        ? await store.create(name, newRecord)
        : await store.replace(name, newRecord, current.revision);
    if (stored?.era === era) this.markConfirmed(stored, startedAt);
    return true;
  }

  /**
   * Releases the lease, so that other daemons need not wait for its lifetime. This daemon does not act from the call on.
   *
   * @param settleActions Waits for the actions in progress; resolves with the milliseconds for which one that got no
   * answer may still take effect.
   * @throws Errors of the store.
   */
  async release(settleActions: () => Promise<number> = () => Promise.resolve(0)): Promise<void> {
    if (!this.isHolder || this.stored === undefined) return;
    this.isHolder = false;
    const inFlightMs = Math.ceil(await settleActions());
    const { record, revision } = this.stored;
    const afterActionMs = inFlightMs > 0 ? this.options.handoverPauseMs + inFlightMs : 0;
    const pauseMs = Math.max(this.remainingPauseMs(), afterActionMs);
    await this.options.store.replace(this.options.name, { ...record, holder: '', pauseMs }, revision);
  }

  private async confirmByWrite(): Promise<boolean> {
    const { store, clock, name } = this.options;
    if (!this.isHolder || this.stored === undefined) return false;
    const startedAt = clock.elapsed();
    const { record, revision, era } = this.stored;
    // After a restore, the revision may belong to the record of another holder.
    if (era !== store.currentEra().era) return false;
    const witnesses = this.selectWitnesses();
    this.hasUnconfirmedWitnesses ||= !areSameWitnesses(witnesses, record.witnesses);
    const newRecord = {
      ...record,
      era,
      renewal: record.renewal + 1,
      witnesses,
      pauseMs: this.remainingPauseMs(),
    };
    const renewed = await store.replace(name, newRecord, revision);
    if (renewed?.era !== era) return false;
    this.markConfirmed(renewed, startedAt);
    return true;
  }

  /** Milliseconds for which this daemon still waits for earlier holders; its successor may have to as well. */
  private remainingPauseMs(): number {
    return Math.ceil(Math.max(0, this.mayActFrom - this.options.clock.monotonic()));
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

  /**
   * Becomes the holder if the write was confirmed in the era that it was intended for.
   *
   * @param requested Record that was to be written.
   * @param stored Record that the store returned; undefined after a conflict.
   */
  private becomeHolder(
    requested: LeaseRecord,
    stored: StoredLease | undefined,
    confirmedAt: number,
    isFirst = false,
  ): AcquireResult {
    if (stored === undefined || stored.era !== requested.era) return this.waitFor(CONFLICT_RETRY_MS);
    this.markConfirmed(stored, confirmedAt);
    this.isHolder = true;
    this.isFirst = isFirst;
    this.observed = undefined;
    return { kind: 'held' };
  }

  private waitFor(retryAfterMs: number, stored?: StoredLease): AcquireResult {
    return { kind: 'waiting', retryAfterMs, ...(stored === undefined ? {} : { stored }) };
  }

  /** Notes that a record has been read, or was reported by its holder. */
  private observe(
    { era, revision }: StoredLease,
    now: number,
    reported: LeaseConfirmation | undefined = undefined,
  ): void {
    const position = { era, revision };
    let at = now;
    if (this.observed !== undefined && isSamePosition(this.observed, position)) at = this.observed.at;
    if (reported !== undefined && isSamePosition(reported, position)) at = Math.min(at, reported.at);
    this.observed = { ...position, at };
  }

  /** Milliseconds until the last record read has been observed unchanged for its lifetime. */
  private remainingLifetimeMs({ record }: StoredLease, now: number): number {
    const since = this.observed?.at ?? now;
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

/** Returns the refusal if every daemon has refused any holder under the position. */
function refusalByEverybody(
  position: StorePosition,
  refused: RefusedHolder | undefined,
): RefusedHolder | undefined {
  return refused?.by === 'everybody' && isSamePosition(refused, position) ? refused : undefined;
}
