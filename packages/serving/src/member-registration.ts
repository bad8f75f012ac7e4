/** Registers a daemon in the member registry, and polls the registry until other daemons are present. */
import { errorMessage } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, Wakeup, type Clock, type Random } from '@woodbarrow/runtime';
import type { MemberRegistry, RegisteredMember } from './ports.js';

/** Options of {@link MemberRegistration}. */
export interface MemberRegistrationOptions {
  readonly self: RegisteredMember;
  readonly registry: MemberRegistry;
  /** Whether the whole deployment starts for the first time, so that the registry is still being filled. */
  readonly isFirstStart: boolean;
  /** Number of daemons that the membership reports as present, this one included. */
  readonly presentCount: () => number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Interval between polls of the registry while no other daemon is present. */
const REGISTRY_POLL_INTERVAL_MS = 700;
/**
 * Backoff after a failed poll of the registry. It is short because the daemon serves no requests before the
 * first successful poll: with 700 ms, seven daemons restarted during an outage of the store refused 14 to 29
 * more requests after its return.
 */
const FAILED_POLL_BACKOFF = { initialMs: 100, maximumMs: 400 };
/**
 * Time after which a daemon that has found no other assumes that it is the only one. Longer than the
 * difference between the starts of daemons (0.3 s) and the staleness of registry listings (one or two
 * seconds) together.
 */
const SINGLE_DAEMON_TIMEOUT_MS = 2500;
/**
 * Time after which the registry is assumed complete when the whole deployment starts for the first time:
 * daemons start within 0.3 s of each other, and a listing may be a second old.
 */
const FIRST_START_SETTLE_MS = 1500;
/**
 * Maximum random delay before registering again after the store was restored: simultaneous writes would use up the write quota
 * that leases need.
 */
const REJOIN_MAX_JITTER_MS = 5000;
/** Maximum time between two checks whether the store was restored. */
const RESTORE_CHECK_INTERVAL_MS = 60_000;
/** Time after the start during which registered daemons count as present although the membership has not contacted them yet. */
const PROVISIONAL_MEMBER_TTL_MS = 5000;

/** Keeps one daemon registered and provides the addresses of others. */
export class MemberRegistration {
  private listedMembers: readonly RegisteredMember[] = [];
  private isRegistered = false;
  private isFirst = false;
  private joinOutcome: 'new' | 'known' | undefined;
  /** Whether the registry was assumed complete when it was last read. */
  private wasCompleteAtLastPoll = false;
  private readonly startedAt: number;
  private readonly restoredWakeup = new Wakeup();

  constructor(private readonly options: MemberRegistrationOptions) {
    this.startedAt = options.clock.monotonic();
  }

  /** Addresses of other daemons through which to join the membership. */
  get seeds(): readonly string[] {
    return this.listedMembers.map(({ address }) => address);
  }

  /** Whether the other daemons of the deployment are known, or assumed not to exist. */
  get isGroupKnown(): boolean {
    if (this.ageMs > SINGLE_DAEMON_TIMEOUT_MS) return true;
    return this.wasCompleteAtLastPoll && this.listedMembers.length > 0;
  }

  /** Whether this process is the first that ever joined the deployment. Becomes true once this is certain, for one process at most. */
  get isFirstMember(): boolean {
    return this.isFirst;
  }

  /** Whether no process of this name had joined the deployment before this one. */
  get isNewMember(): boolean {
    return this.joinOutcome === 'new';
  }

  /** Whether witnesses of leases held here can be chosen: other daemons are present, or assumed not to exist. */
  get hasResolvedPeers(): boolean {
    if (this.ageMs > SINGLE_DAEMON_TIMEOUT_MS) return true;
    return this.isGroupKnown && this.options.presentCount() > 1;
  }

  /** Registered daemons that count as present until the membership has contacted them; empty some time after the start. */
  get provisionalMembers(): readonly RegisteredMember[] {
    return this.ageMs < PROVISIONAL_MEMBER_TTL_MS ? this.listedMembers : [];
  }

  /** Registers again after the store was restored from a copy, which may lack this daemon: daemons that start later would not find it. */
  noteRestored(): void {
    this.isRegistered = false;
    this.restoredWakeup.wake();
  }

  /** Registers, polls until other daemons are present, and registers again whenever the store was restored, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    await this.pollUntilPeersPresent(signal);
    while (!signal.aborted) {
      if (this.isRegistered) await this.restoredWakeup.wait(clock, RESTORE_CHECK_INTERVAL_MS, signal);
      if (this.isRegistered) continue;
      await sleep(clock, random.between(0, REJOIN_MAX_JITTER_MS), signal);
      await this.pollUntilPeersPresent(signal);
    }
  }

  private async pollUntilPeersPresent(signal: AbortSignal): Promise<void> {
    const { clock, presentCount } = this.options;
    let failures = 0;
    while (!signal.aborted) {
      failures = (await this.tryPoll(failures === 0)) ? 0 : failures + 1;
      if (failures === 0 && this.isRegistered && this.wasCompleteAtLastPoll && presentCount() > 1) return;
      await sleep(clock, this.delayAfter(failures), signal);
    }
  }

  private async tryPoll(isFirst: boolean): Promise<boolean> {
    try {
      await this.poll();
      return true;
    } catch (error) {
      if (isFirst) this.options.log.warned('register_failed', { cause: errorMessage(error) });
      return false;
    }
  }

  private delayAfter(failures: number): number {
    return failures === 0
      ? REGISTRY_POLL_INTERVAL_MS
      : backoffDelay(FAILED_POLL_BACKOFF, failures - 1, this.options.random);
  }

  /** Reads the registry, which costs less than a write, and registers this daemon unless it is listed. */
  private async poll(): Promise<void> {
    const { self, registry, presentCount } = this.options;
    if (presentCount() <= 1 || this.listedMembers.length === 0 || !this.wasCompleteAtLastPoll) {
      this.wasCompleteAtLastPoll = this.isRegistryComplete;
      const members = await registry.list();
      this.listedMembers = members.filter(({ address }) => address !== self.address);
      this.isRegistered ||= members.some(({ id, address }) => id === self.id && address === self.address);
      if (this.isRegistered) this.joinOutcome ??= 'known';
    }
    if (this.isRegistered) return;
    const outcome = await registry.join(self);
    this.isRegistered = true;
    this.joinOutcome ??= outcome;
    if (outcome === 'new' && this.listedMembers.length === 0) await this.checkFirst();
  }

  /** Of several daemons that join at the same time, at most one finds itself alone in a listing made after it joined. */
  private async checkFirst(): Promise<void> {
    const { self, registry } = this.options;
    const members = await registry.listCurrent?.();
    this.isFirst = members?.length === 1 && members[0]?.id === self.id;
  }

  private get isRegistryComplete(): boolean {
    return !this.options.isFirstStart || this.ageMs > FIRST_START_SETTLE_MS;
  }

  private get ageMs(): number {
    return this.options.clock.monotonic() - this.startedAt;
  }
}
