/**
 * Messages between daemons about the leases of zones: holders stay in contact with their witnesses,
 * candidates have an unresponsive holder refused, and a restarted daemon is notified of leases recorded as
 * its own.
 */
import {
  LeaseWitness,
  majoritySize,
  rankByRendezvous,
  CONTACT_LIFETIME_MS,
  type RefusedHolder,
  type StoredLease,
  type StoreLease,
  type WitnessId,
} from '@woodbarrow/coordination';
import type { Member } from '@woodbarrow/exchange';
import type { CallFailures } from '@woodbarrow/observability';
import { MAX_ADAPTIVE_TIMEOUT_MS, OpenCalls, type PeerNetwork } from '@woodbarrow/peering';
import {
  leaseContactMethod,
  leaseRefusalMethod,
  leaseResumeMethod,
  type LeaseContactAnswer,
  type LeaseRefusalAnswer,
  type LeaseRefusalMessage,
  type StorePosition,
} from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';

/** A daemon and its current process instance. */
export interface RunningMember extends Member {
  readonly instance: number;
}

/** A daemon that is known, whether present or lost. */
export interface KnownMember extends RunningMember {
  readonly isPresent: boolean;
}

/** Options of {@link LeaseContacts}. */
export interface LeaseContactsOptions {
  readonly self: Member;
  /** Identifies this run of the process. */
  readonly instance: number;
  /** Returns the daemons present, this one included. */
  readonly members: () => readonly RunningMember[];
  /** Returns all daemons that have not left for good, this one included. */
  readonly knownMembers: () => readonly KnownMember[];
  /** Whether this daemon holds a lease and may still act under it. */
  readonly mayStillAct: (lease: string) => boolean;
  readonly peers: PeerNetwork;
  /** Called when another daemon reports that a zone's lease is recorded as held by this daemon. */
  readonly onResume: (zone: string) => void;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** Number of witnesses of a lease if there are enough daemons; tolerates the loss of one. */
const WITNESS_COUNT = 3;
/** Timeout of a call to another daemon, in milliseconds. */
const CALL_TIMEOUT_MS = 300;
/** Rounds in which a candidate requests a refusal before it reads the lease record again. */
const MAX_REFUSAL_ROUNDS = 3;
/** Minimum pause between two such rounds, in milliseconds. */
const MIN_ROUND_PAUSE_MS = 100;

/** Answer of a witness; valid from the time at which it was asked, in elapsed time. */
interface ContactAnswer extends LeaseContactAnswer {
  readonly askedAt: number;
}

/** Sends and answers the lease messages of one daemon. */
export class LeaseContacts {
  private readonly witness: LeaseWitness;
  private readonly openContacts: OpenCalls<ContactAnswer>;

  constructor(private readonly options: LeaseContactsOptions) {
    this.witness = new LeaseWitness(options.clock);
    this.openContacts = new OpenCalls(options.clock);
  }

  /** Registers the message handlers. */
  start(): void {
    const { peers, instance, onResume } = this.options;
    peers.handle(leaseContactMethod, (message) => ({
      accepted: this.witness.confirmContact(message),
      instance,
    }));
    peers.handle(leaseRefusalMethod, (message) => this.answerRefusalRequest(message));
    peers.handle(leaseResumeMethod, ({ zone }) => {
      onResume(zone);
      return {};
    });
  }

  /**
   * Chooses witnesses for a lease held here: responsive current witnesses first, then daemons of the zone,
   * then others.
   *
   * @param zone Zone of the lease. Its daemons share the network links of its workers, so they are preferred.
   */
  chooseWitnesses(
    zone: string,
    named: readonly WitnessId[],
    unresponsive: readonly WitnessId[],
  ): readonly WitnessId[] {
    const { self, members } = this.options;
    const isUnresponsive = ({ id }: RunningMember): boolean =>
      unresponsive.some((witness) => witness.id === id);
    const usable = members().filter((member) => member.id !== self.id && !isUnresponsive(member));
    const isNamed = (member: RunningMember): boolean =>
      named.some(({ id, instance }) => id === member.id && instance === member.instance);
    const rank = (member: RunningMember): number =>
      (isNamed(member) ? 2 : 0) + (member.zone === zone ? 1 : 0);
    const ranked = rankByRendezvous(`witness ${zone}`, usable).sort(
      (left, right) => rank(right) - rank(left),
    );
    const count = ranked.length >= WITNESS_COUNT ? WITNESS_COUNT : Math.min(1, ranked.length);
    return ranked.slice(0, count).map(({ id, instance }) => ({ id, instance }));
  }

  /**
   * Whether a majority of a lease's witnesses can still answer. A restarted daemon does not count as the
   * witness it was before. Lets the holder name new witnesses at once instead of waiting for a timeout: a
   * coordinator whose witnesses have restarted cannot act for 0.25 s, against 1.9 s with the timeout.
   */
  canReachMajority({ witnesses }: StoreLease): boolean {
    const running = witnesses.filter((witness) => this.runningMember(witness) !== undefined);
    return witnesses.length === 0 || running.length >= majoritySize(witnesses);
  }

  /** Contacts the witnesses of a lease held here so that the holder may keep acting. */
  async contactWitnesses(name: string, lease: StoreLease): Promise<void> {
    const { clock, peers, failures } = this.options;
    const { era, revision } = lease.position;
    const options = { timeoutMs: MAX_ADAPTIVE_TIMEOUT_MS, isAdaptive: true };
    await Promise.all(
      lease.witnesses.map(async (witness) => {
        const member = this.runningMember(witness);
        if (member === undefined) return;
        const contact = async (): Promise<ContactAnswer | undefined> => {
          const askedAt = clock.elapsed();
          try {
            const message = { lease: name, era, revision };
            const answer = await peers.call(member.address, leaseContactMethod, message, options);
            return { ...answer, askedAt };
          } catch (error) {
            // A missing answer shows in the time since the witness last answered.
            failures.record('lease contact', witness.id, error);
            return undefined;
          }
        };
        const accept = ({ accepted, instance, askedAt }: ContactAnswer): void => {
          if (accepted && instance === witness.instance) lease.contact.recordAnswer(witness, askedAt);
        };
        const subject = `${name} ${String(era)} ${String(revision)} ${witness.id} ${String(witness.instance)}`;
        const answer = await this.openContacts.ask(subject, CALL_TIMEOUT_MS, contact, accept);
        if (answer !== undefined) accept(answer);
      }),
    );
  }

  /**
   * Requests a majority of a lease's witnesses to refuse its holder; undefined when they do not agree in
   * time.
   */
  async requestRefusal(
    name: string,
    { record, era, revision }: StoredLease,
    signal: AbortSignal,
  ): Promise<RefusedHolder | undefined> {
    const position = { era, revision };
    const needed = majoritySize(record.witnesses);
    if (record.witnesses.length === 0) return undefined;
    for (let round = 0; round < MAX_REFUSAL_ROUNDS && !signal.aborted; round += 1) {
      const answers = await Promise.all(
        record.witnesses.map((witness) => this.requestWitnessRefusal(name, position, witness)),
      );
      const received = answers.filter((answer) => answer !== undefined);
      if (received.length < needed) return undefined;
      const agreed = received.filter((answer) => answer.agreed);
      const lastContactAgoMs = Math.min(...received.map((answer) => answer.lastContactAgoMs));
      if (agreed.length >= needed) {
        return {
          ...position,
          by: 'witnesses',
          lastContactAgoMs: Math.min(...agreed.map((answer) => answer.lastContactAgoMs)),
        };
      }
      const pauseMs = Math.max(MIN_ROUND_PAUSE_MS, CONTACT_LIFETIME_MS - lastContactAgoMs);
      await sleep(this.options.clock, pauseMs, signal);
    }
    return undefined;
  }

  /**
   * Requests every known daemon to refuse the holder of a lease, as a restored store does not record its
   * witnesses; undefined unless all agree.
   */
  async requestRefusalFromAll(name: string, position: StorePosition): Promise<RefusedHolder | undefined> {
    const known = this.options.knownMembers();
    // A lost daemon may only be unreachable, and may be a witness or the holder.
    if (!known.every(({ isPresent }) => isPresent)) return undefined;
    const answers = await Promise.all(
      known.map((member) => this.requestMemberRefusal(name, position, member)),
    );
    const agreed = answers.filter((answer) => answer?.agreed === true);
    if (agreed.length < known.length) return undefined;
    return {
      ...position,
      by: 'everybody',
      lastContactAgoMs: Math.min(...agreed.map((answer) => answer?.lastContactAgoMs ?? 0)),
    };
  }

  /**
   * Notifies the recorded holder of a lease to resume it, if it has restarted since. Returns whether it has.
   */
  notifyRestartedHolder(zone: string, { record }: StoredLease): boolean {
    const { members, peers, failures } = this.options;
    const holder = members().find(({ id }) => id === record.holder);
    if (holder === undefined || holder.instance === record.instance) return false;
    peers
      .call(holder.address, leaseResumeMethod, { zone }, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((error: unknown) => {
        // The next check of the lease notifies it again.
        failures.record('lease resume', holder.id, error);
      });
    return true;
  }

  private async requestWitnessRefusal(
    name: string,
    position: StorePosition,
    witness: WitnessId,
  ): Promise<LeaseRefusalAnswer | undefined> {
    const { self, instance } = this.options;
    if (witness.id === self.id && witness.instance !== instance) return undefined;
    const member = this.runningMember(witness);
    return member === undefined ? undefined : this.requestMemberRefusal(name, position, member);
  }

  private async requestMemberRefusal(
    name: string,
    position: StorePosition,
    { id, address, instance }: RunningMember,
  ): Promise<LeaseRefusalAnswer | undefined> {
    const { peers, self, failures } = this.options;
    const message = { lease: name, ...position };
    if (id === self.id) return this.answerRefusalRequest(message);
    const answer = await peers
      .call(address, leaseRefusalMethod, message, { timeoutMs: CALL_TIMEOUT_MS, isAdaptive: true })
      .catch((error: unknown) => {
        // A daemon that does not answer has not agreed.
        failures.record('lease refusal', id, error);
        return undefined;
      });
    return answer?.instance === instance ? answer : undefined;
  }

  /** Answers a refusal request. A holder that may still act does not agree. */
  private answerRefusalRequest(message: LeaseRefusalMessage): LeaseRefusalAnswer {
    const { instance, mayStillAct } = this.options;
    if (mayStillAct(message.lease)) return { agreed: false, lastContactAgoMs: 0, instance };
    return { ...this.witness.refuse(message), instance };
  }

  /** Returns the witness if it still runs the instance that was named. */
  private runningMember({ id, instance }: WitnessId): RunningMember | undefined {
    return this.options.members().find((member) => member.id === id && member.instance === instance);
  }
}
