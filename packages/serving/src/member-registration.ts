/** Enters a daemon into the register of daemons, and finds others through it until it knows some. */
import { messageOf } from '@woodbarrow/errors';
import type { EventLog } from '@woodbarrow/observability';
import { backoffDelay, sleep, Wakeup, type Clock, type Random } from '@woodbarrow/runtime';
import type { MemberRegistry, RegisteredMember } from './ports.js';

/** Options of {@link MemberRegistration}. */
export interface MemberRegistrationOptions {
  readonly self: RegisteredMember;
  readonly registry: MemberRegistry;
  /** The whole deployment starts for the first time: the register fills only now. */
  readonly isFirstStart: boolean;
  /** Daemons present as the membership knows them, this one included. */
  readonly presentCount: () => number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Pause between two looks at the register while this daemon is alone, in milliseconds. */
const REGISTRY_POLL_INTERVAL_MS = 700;
/**
 * Pause before another look at a register that could not be read, in milliseconds. Nothing is served before it has been: with 700 ms, seven
 * daemons that were all restarted while the store was away refused 14 to 29 requests more after its return.
 */
const FAILED_POLL_BACKOFF = { initialMs: 100, maximumMs: 400 };
/**
 * Time after which a daemon that has found no other believes that it is alone, in milliseconds. Daemons start within
 * 0.3 s of each other, and the register may be told with a delay of a second or two.
 */
const SINGLE_DAEMON_TIMEOUT_MS = 2500;
/**
 * Time after which the register names nearly all daemons of a deployment that starts for the first time, in milliseconds:
 * they start within 0.3 s, and a listing may be a second old.
 */
const FIRST_START_SETTLE_MS = 1500;
/**
 * Time over which daemons enter themselves again after the store was restored, in milliseconds: all of them at once would take the writes that
 * the store allows from leases.
 */
const REJOIN_MAX_JITTER_MS = 5000;
/** While nothing happens, it is looked again so often whether the store was restored, in milliseconds. */
const RESTORE_CHECK_INTERVAL_MS = 60_000;
/** Time after the start in which registered daemons count that the membership has not met yet, in milliseconds. */
const PROVISIONAL_MEMBER_TTL_MS = 5000;

/** Registration of one daemon. */
export class MemberRegistration {
  private listedMembers: readonly RegisteredMember[] = [];
  private isRegistered = false;
  /** Whether the register was filled when it was last read. */
  private wasCompleteAtLastPoll = false;
  private readonly startedAt: number;
  private readonly restoredWakeup = new Wakeup();

  constructor(private readonly options: MemberRegistrationOptions) {
    this.startedAt = options.clock.monotonic();
  }

  /** Addresses of other daemons to begin with. */
  get seeds(): readonly string[] {
    return this.listedMembers.map(({ address }) => address);
  }

  /** Whether it is known what group of daemons this one belongs to, be it a group of one. */
  get isGroupKnown(): boolean {
    if (this.ageMs > SINGLE_DAEMON_TIMEOUT_MS) return true;
    return this.wasCompleteAtLastPoll && this.listedMembers.length > 0;
  }

  /** Whether the daemons that are to vouch for what this one holds can be named: some have been met, or there are none. */
  get hasResolvedPeers(): boolean {
    if (this.ageMs > SINGLE_DAEMON_TIMEOUT_MS) return true;
    return this.isGroupKnown && this.options.presentCount() > 1;
  }

  /** Registered daemons that may be counted as present until the membership has met them; none after a while. */
  get provisionalMembers(): readonly RegisteredMember[] {
    return this.ageMs < PROVISIONAL_MEMBER_TTL_MS ? this.listedMembers : [];
  }

  /** The store was restored from a copy, which may lack this daemon: those that start later would never hear of it. */
  noteRestored(): void {
    this.isRegistered = false;
    this.restoredWakeup.wake();
  }

  /** Registers and looks for others until some are present, and registers anew whenever the store was restored, until `signal` aborts. */
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
      if (isFirst) this.options.log.warned('register_failed', { cause: messageOf(error) });
      return false;
    }
  }

  private delayAfter(failures: number): number {
    return failures === 0
      ? REGISTRY_POLL_INTERVAL_MS
      : backoffDelay(FAILED_POLL_BACKOFF, failures - 1, this.options.random);
  }

  /** Reads the register, which costs less than a write, and enters this daemon where it does not stand there yet. */
  private async poll(): Promise<void> {
    const { self, registry, presentCount } = this.options;
    if (presentCount() <= 1 || this.listedMembers.length === 0 || !this.wasCompleteAtLastPoll) {
      this.wasCompleteAtLastPoll = this.isRegistryComplete;
      const members = await registry.list();
      this.listedMembers = members.filter(({ address }) => address !== self.address);
      this.isRegistered ||= members.some(({ id, address }) => id === self.id && address === self.address);
    }
    if (this.isRegistered) return;
    await registry.join(self);
    this.isRegistered = true;
  }

  private get isRegistryComplete(): boolean {
    return !this.options.isFirstStart || this.ageMs > FIRST_START_SETTLE_MS;
  }

  private get ageMs(): number {
    return this.options.clock.monotonic() - this.startedAt;
  }
}
