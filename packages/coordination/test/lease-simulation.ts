/** Simulation of machines that compete for one store lease, renew it, and act while they may. */
import { isDeepStrictEqual } from 'node:util';
import { expect } from 'chai';
import type { StorePosition } from '@woodbarrow/protocol';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  LeaseWitness,
  majoritySize,
  StoreLease,
  type LeaseConfirmation,
  type LeaseRecord,
  type LeaseRecordStore,
  type RefusalAnswer,
  type RefusedHolder,
  type StoredLease,
  type WitnessId,
} from '../src/index.js';

const LEASE_NAME = 'zone-a';
export const LIFETIME_MS = 1200;
export const PAUSE_MS = 300;

/** Faults of store calls, each with its share of the calls. */
export interface StoreFaults {
  readonly refused: number;
  readonly answerLost: number;
  readonly appliedLate: number;
}

export const NO_FAULTS: StoreFaults = { refused: 0, answerLost: 0, appliedLate: 0 };

/** The record as it is stored. */
interface StoredRecord {
  readonly record: LeaseRecord;
  readonly revision: number;
}

/** Era of a store that has not been restored. */
const FIRST_ERA = 0;

/** A linearizable store in virtual time; calls and responses take time. */
class SimulatedStore {
  faults = NO_FAULTS;
  /** Machines whose calls fail. */
  readonly unreachableMachines = new Set<string>();
  /** Whether the answer to the write of a record is lost; the write is carried out. */
  losesAnswerTo: (record: LeaseRecord) => boolean = () => false;
  private stored: StoredRecord | undefined;
  private revision = 0;
  private era = FIRST_ERA;

  constructor(
    private readonly world: SimulatedWorld,
    private readonly random: Random,
  ) {}

  /** Returns the current record for a later restore; undefined before the first write. */
  takeCopy(): StoredRecord | undefined {
    return this.stored;
  }

  /** Restores a copy: later writes are lost, their revisions are reused, and the era increases. */
  restore(copy: StoredRecord | undefined): void {
    this.stored = copy;
    this.revision = copy?.revision ?? 0;
    this.era += 1;
  }

  /** Returns the client of one process. */
  client(process: SimulatedProcess): LeaseRecordStore {
    const observed = { era: FIRST_ERA, since: -Infinity };
    const noteEra = (era: number): void => {
      if (era <= observed.era) return;
      observed.since = process.monotonic();
      observed.era = era;
    };
    const call = async (
      apply: () => StoredRecord | undefined,
      written?: LeaseRecord,
    ): Promise<StoredLease | undefined> => {
      const { era, kept } = await this.call(process, () => ({ era: this.era, kept: apply() }), written);
      noteEra(era);
      return kept === undefined ? undefined : { ...kept, era };
    };
    return {
      currentEra: () => ({ era: observed.era, observedForMs: process.monotonic() - observed.since }),
      read: () => call(() => this.stored),
      create: (_name, record) =>
        call(() => (this.stored === undefined ? this.write(record) : undefined), record),
      replace: (_name, record, revision) =>
        call(() => (this.stored?.revision === revision ? this.write(record) : undefined), record),
    };
  }

  /** A write that changes nothing keeps the revision. */
  private write(record: LeaseRecord): StoredRecord {
    if (this.stored !== undefined && isDeepStrictEqual(this.stored.record, record)) return this.stored;
    this.revision += 1;
    this.stored = { record, revision: this.revision };
    return this.stored;
  }

  private call<T>(process: SimulatedProcess, apply: () => T, written?: LeaseRecord): Promise<T> {
    const draw = this.random.next();
    const isAnswerLost = written !== undefined && this.losesAnswerTo(written);
    const { refused, answerLost, appliedLate } = isAnswerLost ? { ...NO_FAULTS, answerLost: 1 } : this.faults;
    return new Promise((resolve, reject) => {
      const fail = (): void => {
        process.deliver(() => {
          reject(new Error('no answer'));
        });
      };
      const delayMs = this.random.between(1, 20);
      if (draw < refused || this.unreachableMachines.has(process.name)) {
        this.world.schedule(delayMs, fail);
      } else if (draw < refused + answerLost) {
        this.world.schedule(delayMs, () => void apply());
        this.world.schedule(200, fail);
      } else if (draw < refused + answerLost + appliedLate) {
        this.world.schedule(this.random.between(300, 3000), () => void apply());
        this.world.schedule(200, fail);
      } else {
        this.world.schedule(delayMs, () => {
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

/** One action of a holder. */
interface HolderAction {
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

/** Maximum delay of a message between machines, in milliseconds. */
const MAX_MESSAGE_DELAY_MS = 60;
/** Time after which a machine stops waiting for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 200;

/** Machines that compete for the lease, renew it, and act while they may. */
export class LeaseSimulation {
  readonly world = new SimulatedWorld();
  readonly random: Random;
  readonly store: SimulatedStore;
  readonly actions: HolderAction[] = [];
  readonly runsByMachine = new Map<string, Run>();
  /** Machines without contact to the others; the store still answers them. */
  readonly partitioned = new Set<string>();
  /** Last report of the holder's confirmed write that each machine received. */
  private readonly reported = new Map<string, LeaseConfirmation>();
  private runCount = 0;

  /**
   * @param hasWitnesses Whether holders name other machines as witnesses.
   * @param options Number of witnesses of a lease, all other machines by default, and the pause between two holders. With few
   * witnesses, two holders may have none in common.
   */
  constructor(
    seed: number,
    private readonly hasWitnesses = false,
    private readonly lifetimeMs = LIFETIME_MS,
    private readonly options: { readonly witnessCount?: number; readonly pauseMs?: number } = {},
  ) {
    this.random = new Random(seed);
    this.store = new SimulatedStore(this.world, this.random.fork());
  }

  /** Starts or restarts the process of a machine. */
  start(machine: string, handover = true): SimulatedProcess {
    this.runsByMachine.get(machine)?.process.kill();
    const clockRate = this.random.between(0.995, 1.005);
    const process = new SimulatedProcess(this.world, { name: machine, zone: 'a', region: 'r', clockRate });
    this.runCount += 1;
    const instance = this.runCount;
    const lease = new StoreLease({
      name: LEASE_NAME,
      holder: machine,
      instance,
      lifetimeMs: this.lifetimeMs,
      chooseWitnesses: (current, unresponsive) => this.chooseWitnesses(machine, current, unresponsive),
      handoverPauseMs: handover ? (this.options.pauseMs ?? PAUSE_MS) : 0,
      store: this.store.client(process),
      clock: process,
    });
    const run = { instance, process, witness: new LeaseWitness(process), lease };
    this.runsByMachine.set(machine, run);
    this.runCandidate(process, machine, lease);
    this.runActions(process, machine, lease);
    if (this.hasWitnesses) this.keepContact(machine, run);
    return process;
  }

  /** Kills the process of a machine. */
  kill(machine: string): void {
    this.runsByMachine.get(machine)?.process.kill();
  }

  /** Releases the lease if the machine holds it. @param settleActions See {@link StoreLease.release}. */
  release(machine: string, settleActions?: () => Promise<number>): void {
    // The store may be faulty; the others then wait for the lifetime.
    void this.runsByMachine
      .get(machine)
      ?.lease.release(settleActions)
      .catch(() => undefined);
  }

  private chooseWitnesses(
    machine: string,
    current: readonly WitnessId[],
    unresponsive: readonly WitnessId[],
  ): WitnessId[] {
    if (!this.hasWitnesses) return [];
    const others = [...this.runsByMachine].filter(([name]) => name !== machine);
    const all = others.map(([id, { instance }]) => ({ id, instance }));
    const { witnessCount = Infinity } = this.options;
    if (witnessCount >= all.length) return all;
    const isUsable = ({ id }: WitnessId): boolean => !unresponsive.some((witness) => witness.id === id);
    const isCurrent = ({ id, instance }: WitnessId): boolean =>
      current.some((witness) => witness.id === id && witness.instance === instance);
    const usable = this.random.shuffle(all.filter(isUsable));
    const ranked = [...usable.filter(isCurrent), ...usable.filter((each) => !isCurrent(each))];
    return ranked.slice(0, witnessCount);
  }

  /** Sends a request to a witness; calls back with the answer, or with undefined after the timeout. */
  private ask<T>(
    from: string,
    witness: WitnessId,
    request: (witness: LeaseWitness) => T,
    answered: (answer: T | undefined) => void,
  ): void {
    const sender = this.runsByMachine.get(from)?.process;
    const receiver = this.runsByMachine.get(witness.id);
    let settled = false;
    const settle = (answer: T | undefined): void => {
      if (settled) return;
      settled = true;
      sender?.deliver(() => {
        answered(answer);
      });
    };
    this.world.schedule(ANSWER_TIMEOUT_MS, () => {
      settle(undefined);
    });
    const isCut = (): boolean => this.partitioned.has(from) || this.partitioned.has(witness.id);
    if (isCut()) return;
    this.world.schedule(this.random.between(1, MAX_MESSAGE_DELAY_MS), () => {
      receiver?.process.deliver(() => {
        const answer = request(receiver.witness);
        this.world.schedule(this.random.between(1, MAX_MESSAGE_DELAY_MS), () => {
          if (!isCut() && receiver.instance === witness.instance) settle(answer);
        });
      });
    });
  }

  private keepContact(machine: string, run: Run): void {
    const { process, lease } = run;
    for (const witness of lease.isHeld ? lease.witnesses : []) {
      const askedAt = process.monotonic();
      const message = { lease: LEASE_NAME, ...lease.position };
      this.ask(
        machine,
        witness,
        (asked) => asked.confirmContact(message),
        (accepted) => {
          if (accepted === true) lease.contact.recordAnswer(witness, askedAt);
        },
      );
    }
    process.schedule(this.random.between(200, 400), () => {
      this.keepContact(machine, run);
    });
  }

  /** Asks the witnesses of a record to refuse its holder; resolves with undefined without a majority. */
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
          (asked) => asked.refuse({ lease: LEASE_NAME, era, revision }),
          (answer) => {
            if (answer?.agreed === true) agreed.push(answer);
            open -= 1;
            if (open > 0) return;
            const isRefused = agreed.length >= majoritySize(record.witnesses);
            const lastContactAgoMs = Math.min(...agreed.map((each) => each.lastContactAgoMs));
            resolve(isRefused ? { era, revision, by: 'witnesses', lastContactAgoMs } : undefined);
          },
        );
      }
    });
  }

  /** Tries to acquire the lease, if necessary after its holder was refused. */
  private async acquire(machine: string, lease: StoreLease): Promise<void> {
    const result = await lease.tryAcquire(this.reported.get(machine));
    if (result.kind === 'held') return;
    const { stored, unknownHolderAt } = result;
    let refused: RefusedHolder | undefined;
    if (stored !== undefined) refused = await this.refuse(machine, stored);
    else if (unknownHolderAt !== undefined && this.hasWitnesses)
      refused = await this.refuseEverywhere(machine, unknownHolderAt);
    if (refused !== undefined) await lease.tryAcquire(undefined, refused);
  }

  /** Asks every machine that was ever started, even if killed since, to refuse any holder. */
  private async refuseEverywhere(
    machine: string,
    position: StorePosition,
  ): Promise<RefusedHolder | undefined> {
    const allRuns = [...this.runsByMachine].map(([id, { instance }]) => ({ id, instance }));
    const answers = await Promise.all(allRuns.map((asked) => this.askToRefuse(machine, asked, position)));
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
      this.runsByMachine.get(asked.id)?.lease.isWithinLifetime === true
        ? { agreed: false, lastContactAgoMs: 0 }
        : witness.refuse({ lease: LEASE_NAME, ...position });
    return new Promise((resolve) => {
      this.ask(machine, asked, refuse, resolve);
    });
  }

  private runCandidate(process: SimulatedProcess, machine: string, lease: StoreLease): void {
    const step = async (): Promise<void> => {
      try {
        if (lease.isHeld) {
          await lease.renew();
          this.reportConfirmation(machine, lease);
        } else await this.acquire(machine, lease);
      } catch {
        // Retried in the next step.
      }
      // Holders renew rarely, so that only contact and time can stop them.
      const pauseMs =
        this.hasWitnesses && lease.isHeld ? this.random.between(600, 1400) : this.random.between(50, 250);
      process.schedule(pauseMs, () => void step());
    };
    process.schedule(this.random.between(0, 50), () => void step());
  }

  /** Reports the last confirmed write to all others, with a delay. */
  private reportConfirmation(sender: string, lease: StoreLease): void {
    const { position } = lease;
    const agoMs = lease.confirmedAgoMs();
    for (const [name, { process }] of this.runsByMachine) {
      if (name === sender) continue;
      this.world.schedule(this.random.between(1, 400), () => {
        process.deliver(() => {
          this.reported.set(name, { ...position, at: process.monotonic() - agoMs });
        });
      });
    }
  }

  private runActions(process: SimulatedProcess, machine: string, lease: StoreLease): void {
    process.schedule(7, () => {
      if (lease.mayAct()) this.actions.push({ at: this.world.now, machine, fence: lease.fence });
      this.runActions(process, machine, lease);
    });
  }

  /** Asserts that fences never decrease and that actions of two machines are at least the pause apart. */
  checkInvariants(pauseMs: number): void {
    for (let index = 1; index < this.actions.length; index += 1) {
      const before = this.actions[index - 1] as HolderAction;
      const after = this.actions[index] as HolderAction;
      expect(after.fence, `fence at ${String(after.at)}`).to.be.at.least(before.fence);
      if (after.machine === before.machine) continue;
      expect(after.fence).to.be.greaterThan(before.fence);
      expect(after.at - before.at, `acts of ${before.machine} and ${after.machine}`).to.be.at.least(pauseMs);
    }
  }
}

/** Lifetime of a lease that only its witnesses can end during a test, in milliseconds. */
export const LONG_LIFETIME_MS = 60_000;

/** Runs four machines with witnesses for two seconds; one of them then holds a lease with a long lifetime. */
export async function startWithHolder(
  seed: number,
): Promise<{ simulation: LeaseSimulation; holder: string }> {
  const simulation = new LeaseSimulation(seed, true, LONG_LIFETIME_MS);
  for (const machine of ['a', 'b', 'c', 'd']) simulation.start(machine);
  await simulation.world.run(2000);
  return { simulation, holder: simulation.actions[0]?.machine ?? '' };
}
