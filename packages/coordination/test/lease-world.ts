/** Machines that stand for one lease of a simulated store, renew it, and act whenever they may. */
import { isDeepStrictEqual } from 'node:util';
import { expect } from 'chai';
import type { StorePosition } from '@woodbarrow/protocol';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  LeaseWitness,
  majorityOf,
  StoreLease,
  type LeaseConfirmation,
  type LeaseRecord,
  type LeaseRecordStore,
  type RefusalAnswer,
  type RefusedHolder,
  type StoredLease,
  type WitnessId,
} from '../src/index.js';

const NAME = 'zone-a';
export const LIFETIME_MS = 1200;
export const PAUSE_MS = 300;

/** What may go wrong with a call, each with its share of the calls. */
export interface Trouble {
  readonly refused: number;
  readonly answerLost: number;
  readonly appliedLate: number;
}

export const NO_TROUBLE: Trouble = { refused: 0, answerLost: 0, appliedLate: 0 };

/** The record as the store keeps it. */
interface KeptLease {
  readonly record: LeaseRecord;
  readonly revision: number;
}

/** Era of a store that has not been restored. */
const FIRST_ERA = 0;

/** A linearizable store on virtual time; calls take time both ways. */
class SimulatedStore {
  trouble = NO_TROUBLE;
  /** Machines that it does not answer. */
  readonly cutOff = new Set<string>();
  private kept: KeptLease | undefined;
  private revision = 0;
  private era = FIRST_ERA;

  constructor(
    private readonly world: SimulatedWorld,
    private readonly random: Random,
  ) {}

  /** The record as it is, to be restored; undefined before the first. */
  takeCopy(): KeptLease | undefined {
    return this.kept;
  }

  /** Becomes what it was: writes since are gone, their revisions are given out again, and the era rises. */
  restore(copy: KeptLease | undefined): void {
    this.kept = copy;
    this.revision = copy?.revision ?? 0;
    this.era += 1;
  }

  /** The store as seen by one process. */
  client(process: SimulatedProcess): LeaseRecordStore {
    const known = { era: FIRST_ERA, since: -Infinity };
    const noteEra = (era: number): void => {
      if (era <= known.era) return;
      known.since = process.monotonic();
      known.era = era;
    };
    const call = async (apply: () => KeptLease | undefined): Promise<StoredLease | undefined> => {
      const { era, kept } = await this.call(process, () => ({ era: this.era, kept: apply() }));
      noteEra(era);
      return kept === undefined ? undefined : { ...kept, era };
    };
    return {
      currentEra: () => ({ era: known.era, knownForMs: process.monotonic() - known.since }),
      read: () => call(() => this.kept),
      create: (_name, record) => call(() => (this.kept === undefined ? this.write(record) : undefined)),
      replace: (_name, record, revision) =>
        call(() => (this.kept?.revision === revision ? this.write(record) : undefined)),
    };
  }

  /** A write that changes nothing leaves the revision as it is. */
  private write(record: LeaseRecord): KeptLease {
    if (this.kept !== undefined && isDeepStrictEqual(this.kept.record, record)) return this.kept;
    this.revision += 1;
    this.kept = { record, revision: this.revision };
    return this.kept;
  }

  private call<T>(process: SimulatedProcess, apply: () => T): Promise<T> {
    const fate = this.random.next();
    const { refused, answerLost, appliedLate } = this.trouble;
    return new Promise((resolve, reject) => {
      const fail = (): void => {
        process.deliver(() => {
          reject(new Error('no answer'));
        });
      };
      const there = this.random.between(1, 20);
      if (fate < refused || this.cutOff.has(process.name)) {
        this.world.schedule(there, fail);
      } else if (fate < refused + answerLost) {
        this.world.schedule(there, () => void apply());
        this.world.schedule(200, fail);
      } else if (fate < refused + answerLost + appliedLate) {
        this.world.schedule(this.random.between(300, 3000), () => void apply());
        this.world.schedule(200, fail);
      } else {
        this.world.schedule(there, () => {
          const result = apply();
          this.world.schedule(this.random.between(1, 20), () => {
            process.deliver(() => {
              resolve(result);
            });
          });
        });
      }
    });
  }
}

/** One act of a holder. */
interface Act {
  readonly at: number;
  readonly machine: string;
  readonly fence: number;
}

/** One run of a machine. */
interface Run {
  readonly instance: number;
  readonly process: SimulatedProcess;
  readonly witness: LeaseWitness;
  readonly lease: StoreLease;
}

/** Time that a word between machines takes at most, in milliseconds. */
const LONGEST_WORD_MS = 60;
/** Time after which a machine that has not answered is not waited for, in milliseconds. */
const ANSWER_LIMIT_MS = 200;

/** Machines that stand for the lease, renew it, and act whenever they may. */
export class LeaseWorld {
  readonly world = new SimulatedWorld();
  readonly random: Random;
  readonly store: SimulatedStore;
  readonly acts: Act[] = [];
  readonly runsOf = new Map<string, Run>();
  /** Machines that no word reaches or leaves; the store still answers them. */
  readonly cutOff = new Set<string>();
  /** What each machine was last told of the holder's confirmed writes. */
  private readonly told = new Map<string, LeaseConfirmation>();
  private runs = 0;

  /** @param witnessed Whether holders name all other machines as witnesses. */
  constructor(
    seed: number,
    private readonly witnessed = false,
    private readonly lifetimeMs = LIFETIME_MS,
  ) {
    this.random = new Random(seed);
    this.store = new SimulatedStore(this.world, this.random.fork());
  }

  /** Starts a machine's process, or starts it again after its end. */
  start(machine: string, handover = true): SimulatedProcess {
    this.runsOf.get(machine)?.process.kill();
    const clockRate = this.random.between(0.995, 1.005);
    const process = new SimulatedProcess(this.world, { name: machine, zone: 'a', region: 'r', clockRate });
    this.runs += 1;
    const instance = this.runs;
    const lease = new StoreLease({
      name: NAME,
      holder: machine,
      instance,
      lifetimeMs: this.lifetimeMs,
      chooseWitnesses: () => this.othersOf(machine),
      handoverPauseMs: handover ? PAUSE_MS : 0,
      store: this.store.client(process),
      clock: process,
    });
    const run = { instance, process, witness: new LeaseWitness(process), lease };
    this.runsOf.set(machine, run);
    this.stand(process, machine, lease);
    this.act(process, machine, lease);
    if (this.witnessed) this.keepContact(machine, run);
    return process;
  }

  /** Ends the process of a machine. */
  kill(machine: string): void {
    this.runsOf.get(machine)?.process.kill();
  }

  /** A machine gives the lease back, if it holds it. */
  release(machine: string): void {
    // The store may be in trouble: then others wait for the lifetime.
    void this.runsOf
      .get(machine)
      ?.lease.release()
      .catch(() => undefined);
  }

  private othersOf(machine: string): WitnessId[] {
    if (!this.witnessed) return [];
    const others = [...this.runsOf].filter(([name]) => name !== machine);
    return others.map(([id, { instance }]) => ({ id, instance }));
  }

  /** Asks a witness and hands its answer over, or undefined when none comes in time. */
  private ask<T>(
    from: string,
    witness: WitnessId,
    request: (witness: LeaseWitness) => T,
    answered: (answer: T | undefined) => void,
  ): void {
    const sender = this.runsOf.get(from)?.process;
    const receiver = this.runsOf.get(witness.id);
    let settled = false;
    const settle = (answer: T | undefined): void => {
      if (settled) return;
      settled = true;
      sender?.deliver(() => {
        answered(answer);
      });
    };
    this.world.schedule(ANSWER_LIMIT_MS, () => {
      settle(undefined);
    });
    const isCut = (): boolean => this.cutOff.has(from) || this.cutOff.has(witness.id);
    if (isCut()) return;
    this.world.schedule(this.random.between(1, LONGEST_WORD_MS), () => {
      receiver?.process.deliver(() => {
        const answer = request(receiver.witness);
        this.world.schedule(this.random.between(1, LONGEST_WORD_MS), () => {
          if (!isCut() && receiver.instance === witness.instance) settle(answer);
        });
      });
    });
  }

  private keepContact(machine: string, run: Run): void {
    const { process, lease } = run;
    for (const witness of lease.isHeld ? lease.witnesses : []) {
      const askedAt = process.monotonic();
      const message = { lease: NAME, ...lease.position };
      this.ask(
        machine,
        witness,
        (asked) => asked.contact(message),
        (accepted) => {
          if (accepted === true) lease.contact.noteAnswer(witness, askedAt);
        },
      );
    }
    process.schedule(this.random.between(200, 400), () => {
      this.keepContact(machine, run);
    });
  }

  /** Has the holder of a record refused by most of its witnesses. */
  private refuse(
    machine: string,
    { record, era, revision }: StoredLease,
  ): Promise<RefusedHolder | undefined> {
    const agreed: RefusalAnswer[] = [];
    let open = record.witnesses.length;
    return new Promise((resolve) => {
      if (open === 0) resolve(undefined);
      for (const witness of record.witnesses) {
        this.ask(
          machine,
          witness,
          (asked) => asked.refuse({ lease: NAME, era, revision }),
          (answer) => {
            if (answer?.agreed === true) agreed.push(answer);
            open -= 1;
            if (open > 0) return;
            const isRefused = agreed.length >= majorityOf(record.witnesses);
            const lastContactAgoMs = Math.min(...agreed.map((each) => each.lastContactAgoMs));
            resolve(isRefused ? { era, revision, by: 'witnesses', lastContactAgoMs } : undefined);
          },
        );
      }
    });
  }

  /** Takes the lease, also from a holder that its witnesses refuse. */
  private async acquire(machine: string, lease: StoreLease): Promise<void> {
    const result = await lease.tryAcquire(this.told.get(machine));
    if (result.kind === 'held') return;
    const { stored, unknownHolderAt } = result;
    let refused: RefusedHolder | undefined;
    if (stored !== undefined) refused = await this.refuse(machine, stored);
    else if (unknownHolderAt !== undefined && this.witnessed)
      refused = await this.refuseEverywhere(machine, unknownHolderAt);
    if (refused !== undefined) await lease.tryAcquire(undefined, refused);
  }

  /** Has whoever holds the lease refused by every machine that was ever started, be it killed since. */
  private async refuseEverywhere(
    machine: string,
    position: StorePosition,
  ): Promise<RefusedHolder | undefined> {
    const everybody = [...this.runsOf].map(([id, { instance }]) => ({ id, instance }));
    const answers = await Promise.all(everybody.map((asked) => this.askToRefuse(machine, asked, position)));
    if (!answers.every((answer) => answer?.agreed === true)) return undefined;
    const lastContactAgoMs = Math.min(...answers.map((answer) => answer?.lastContactAgoMs ?? 0));
    return { ...position, by: 'everybody', lastContactAgoMs };
  }

  private askToRefuse(
    machine: string,
    asked: WitnessId,
    position: StorePosition,
  ): Promise<RefusalAnswer | undefined> {
    const refuse = (witness: LeaseWitness): RefusalAnswer =>
      this.runsOf.get(asked.id)?.lease.mayStillAct === true
        ? { agreed: false, lastContactAgoMs: 0 }
        : witness.refuse({ lease: NAME, ...position });
    return new Promise((resolve) => {
      this.ask(machine, asked, refuse, resolve);
    });
  }

  private stand(process: SimulatedProcess, machine: string, lease: StoreLease): void {
    const step = async (): Promise<void> => {
      try {
        if (lease.isHeld) {
          await lease.renew();
          this.tell(machine, lease);
        } else await this.acquire(machine, lease);
      } catch {
        // Asked again at the next step.
      }
      // Holders renew rarely: contact and time alone must stop them.
      const pauseMs =
        this.witnessed && lease.isHeld ? this.random.between(600, 1400) : this.random.between(50, 250);
      process.schedule(pauseMs, () => void step());
    };
    process.schedule(this.random.between(0, 50), () => void step());
  }

  /** The holder tells all others of its last confirmed write; the word takes a while. */
  private tell(sender: string, lease: StoreLease): void {
    const { position } = lease;
    const agoMs = lease.confirmedAgoMs();
    for (const [name, { process }] of this.runsOf) {
      if (name === sender) continue;
      this.world.schedule(this.random.between(1, 400), () => {
        process.deliver(() => {
          this.told.set(name, { ...position, at: process.monotonic() - agoMs });
        });
      });
    }
  }

  private act(process: SimulatedProcess, machine: string, lease: StoreLease): void {
    process.schedule(7, () => {
      if (lease.mayAct()) this.acts.push({ at: this.world.now, machine, fence: lease.fence });
      this.act(process, machine, lease);
    });
  }

  /** Fences only rise, and two machines never act within the pause of each other. */
  check(pauseMs: number): void {
    for (let index = 1; index < this.acts.length; index += 1) {
      const before = this.acts[index - 1] as Act;
      const after = this.acts[index] as Act;
      expect(after.fence, `fence at ${String(after.at)}`).to.be.at.least(before.fence);
      if (after.machine === before.machine) continue;
      expect(after.fence).to.be.greaterThan(before.fence);
      expect(after.at - before.at, `acts of ${before.machine} and ${after.machine}`).to.be.at.least(pauseMs);
    }
  }
}

/** Lifetime of a lease that witnesses must end, in milliseconds. */
export const LONG_LIFETIME_MS = 60_000;

/** Four machines after two seconds, one of which holds the lease for long. */
export async function heldByOne(seed: number): Promise<{ lease: LeaseWorld; holder: string }> {
  const lease = new LeaseWorld(seed, true, LONG_LIFETIME_MS);
  for (const machine of ['a', 'b', 'c', 'd']) lease.start(machine);
  await lease.world.run(2000);
  return { lease, holder: lease.acts[0]?.machine ?? '' };
}
