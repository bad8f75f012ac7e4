/**
 * What daemons say to each other about the leases of zones: holders keep in contact with their witnesses, candidates
 * have a holder refused that is out of contact, and a daemon that was started again is told of leases recorded as its own.
 */
import {
  LeaseWitness,
  majorityOf,
  rankByRendezvous,
  CONTACT_LIFETIME_MS,
  type RefusedHolder,
  type StoredLease,
  type StoreLease,
  type WitnessId,
} from '@woodbarrow/coordination';
import type { Member } from '@woodbarrow/exchange';
import type { CallFailures } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  leaseContactMethod,
  leaseRefusalMethod,
  leaseResumeMethod,
  type LeaseRefusalAnswer,
  type LeaseRefusalMessage,
  type StorePosition,
} from '@woodbarrow/protocol';
import { sleep, type Clock } from '@woodbarrow/runtime';

/** A daemon with its present run. */
export interface RunningMember extends Member {
  readonly instance: number;
}

/** A daemon that is known, be it present or lost. */
export interface KnownMember extends RunningMember {
  readonly isPresent: boolean;
}

/** Options of {@link LeaseContacts}. */
export interface LeaseContactsOptions {
  readonly self: Member;
  /** This run of the process. */
  readonly instance: number;
  /** Daemons present, this one included. */
  readonly members: () => readonly RunningMember[];
  /** All daemons that have not left for good, this one included. */
  readonly knownMembers: () => readonly KnownMember[];
  /** Whether this daemon holds a lease and may still act under it. */
  readonly mayStillAct: (lease: string) => boolean;
  readonly peers: PeerNetwork;
  /** Called when another daemon says that a zone's lease is recorded as this machine's own. */
  readonly onResume: (zone: string) => void;
  readonly failures: CallFailures;
  readonly clock: Clock;
}

/** Witnesses of a lease where there are enough daemons: one may be lost. */
const WITNESS_COUNT = 3;
/** Milliseconds that a witness has to answer. */
const CALL_TIMEOUT_MS = 300;
/** Rounds in which a candidate asks for a refusal before it looks at the record again. */
const MAX_REFUSAL_ROUNDS = 3;
/** Least pause between two such rounds, in milliseconds. */
const MIN_ROUND_PAUSE_MS = 100;

/** Contacts of one daemon. */
export class LeaseContacts {
  private readonly witness: LeaseWitness;

  constructor(private readonly options: LeaseContactsOptions) {
    this.witness = new LeaseWitness(options.clock);
  }

  /** Starts answering. */
  start(): void {
    const { peers, instance, onResume } = this.options;
    peers.handle(leaseContactMethod, (message) => ({ accepted: this.witness.contact(message), instance }));
    peers.handle(leaseRefusalMethod, (message) => this.answerRefusalRequest(message));
    peers.handle(leaseResumeMethod, ({ zone }) => {
      onResume(zone);
      return {};
    });
  }

  /**
   * Witnesses for a lease held here: those named that still answer, then daemons of the zone, then others.
   *
   * @param zone Zone that the lease is for: its daemons share the fate of its workers' links.
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
   * Whether most witnesses of a lease may still answer: a daemon that was started again is another witness. Against waiting until they
   * have long been silent: coordinators whose witnesses had been restarted did not act for 1.9 s (84 demands turned away, a play with
   * all logs), and 0.25 s since (22).
   */
  canReachMajority({ witnesses }: StoreLease): boolean {
    const running = witnesses.filter((witness) => this.runningMember(witness) !== undefined);
    return witnesses.length === 0 || running.length >= majorityOf(witnesses);
  }

  /** Asks the witnesses of a lease held here to let it go on. */
  async contactWitnesses(name: string, lease: StoreLease): Promise<void> {
    const { clock, peers, failures } = this.options;
    const { era, revision } = lease.position;
    await Promise.all(
      lease.witnesses.map(async (witness) => {
        const member = this.runningMember(witness);
        if (member === undefined) return;
        const askedAt = clock.elapsed();
        const message = { lease: name, era, revision };
        const answer = await peers
          .call(member.address, leaseContactMethod, message, { timeoutMs: CALL_TIMEOUT_MS })
          .catch((error: unknown) => {
            // Noticed by the time since it last answered.
            failures.note('lease contact', witness.id, error);
            return undefined;
          });
        if (answer?.accepted === true && answer.instance === witness.instance)
          lease.contact.noteAnswer(witness, askedAt);
      }),
    );
  }

  /** Has the holder of a record refused by most of its witnesses; undefined when they do not agree in time. */
  async requestRefusal(
    name: string,
    { record, era, revision }: StoredLease,
    signal: AbortSignal,
  ): Promise<RefusedHolder | undefined> {
    const position = { era, revision };
    const needed = majorityOf(record.witnesses);
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
   * Has whoever holds a lease refused by every daemon that is known, as the store was restored and does not tell which are its witnesses; undefined
   * unless all agree.
   */
  async requestRefusalFromAll(name: string, position: StorePosition): Promise<RefusedHolder | undefined> {
    const known = this.options.knownMembers();
    // One that is lost may only be out of reach, and be a witness, or the holder.
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

  /** Tells the holder of a record to take its lease back, if it has been started again since. */
  notifyRestartedHolder(zone: string, { record }: StoredLease): boolean {
    const { members, peers, failures } = this.options;
    const holder = members().find(({ id }) => id === record.holder);
    if (holder === undefined || holder.instance === record.instance) return false;
    peers
      .call(holder.address, leaseResumeMethod, { zone }, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((error: unknown) => {
        // It is told again with the next look at the lease.
        failures.note('lease resume', holder.id, error);
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
      .call(address, leaseRefusalMethod, message, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((error: unknown) => {
        // A daemon that does not answer has not agreed.
        failures.note('lease refusal', id, error);
        return undefined;
      });
    return answer?.instance === instance ? answer : undefined;
  }

  /** A holder that may still act agrees to no refusal, its own included. */
  private answerRefusalRequest(message: LeaseRefusalMessage): LeaseRefusalAnswer {
    const { instance, mayStillAct } = this.options;
    if (mayStillAct(message.lease)) return { agreed: false, lastContactAgoMs: 0, instance };
    return { ...this.witness.refuse(message), instance };
  }

  /** The witness in the run in which it was named. */
  private runningMember({ id, instance }: WitnessId): RunningMember | undefined {
    return this.options.members().find((member) => member.id === id && member.instance === instance);
  }
}
