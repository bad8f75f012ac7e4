// Guards against a content that is sent on while daemons do not know yet, or no longer hold against it, that processes ended under it.
import { Random } from '@woodbarrow/runtime';
import { expect } from 'chai';
import type { RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

const CULPRITS = ['culprit-1', 'culprit-2'] as const;
const NEIGHBOURS = ['harmless-1', 'harmless-2', 'harmless-3'] as const;
const SEEDS = 60;
const DAEMONS = 6;
const WORKERS = 3;
const DURATION_MS = 60_000;
/** Time until further attempts are sent, in milliseconds. */
const GAPS_MS = [20, 300, 1000, 3500, 5000] as const;
const CRASH_AFTER_MS = 60;
const RUN_MS = 400;
const REPLACED_AFTER_MS = 1500;
/** Longest time that an admitted attempt waits before it is sent, in milliseconds. */
const MAX_WAIT_MS = 800;
/** Attempts that may be sent once three have ended with their process and connected daemons have had time to hear of it. */
const MAX_LATE_SENDS = 3;
const ENDS_BEFORE_LATE = 3;
const HEARD_AFTER_MS = 3000;
const neverAborted = new AbortController().signal;

interface RunningAttempt {
  readonly daemon: RequestQuarantine;
  readonly content: string;
  readonly sentAt: number;
  readonly id: string;
  hasEnded: boolean;
}

/** Callers that repeat contents again and again through several daemons. */
class RepeatingCallers {
  readonly deployment = new QuarantineDeployment();
  private readonly random: Random;
  private readonly sends = new Map<string, number[]>();
  private readonly ends = new Map<string, number[]>();
  /** Attempts on each worker that runs. */
  private readonly workers = new Map<string, RunningAttempt[]>();
  private started = 0;
  private attempts = 0;
  served = 0;

  constructor(seed: number) {
    // The first numbers of neighbouring seeds are alike.
    this.random = new Random(seed * 7919);
    for (let skipped = 0; skipped < 10; skipped += 1) this.random.next();
    const { deployment, random } = this;
    deployment.publishLatencyMs = random.pick([50, 300, 2000]) ?? 0;
    deployment.storeLatencyMs = random.pick([0, 100, 1000]) ?? 0;
    for (let index = 0; index < DAEMONS; index += 1) deployment.addDaemon();
    for (let index = 0; index < WORKERS; index += 1) this.startWorker();
  }

  private get now(): number {
    return this.deployment.world.now;
  }

  async run(): Promise<void> {
    while (this.now < DURATION_MS) {
      this.sendTogether(this.random.next() < 0.7 ? CULPRITS : NEIGHBOURS);
      if (this.random.next() < 0.1) this.replaceDaemon();
      await this.deployment.advance(this.random.pick(GAPS_MS) ?? 0);
    }
  }

  /** Sends attempts that waited for the same model to the worker that has loaded it. */
  private sendTogether(contents: readonly string[]): void {
    const { random, deployment } = this;
    const worker = random.pick([...this.workers.keys()]);
    const count = 1 + random.integer(DAEMONS);
    for (const daemon of random.shuffle([...deployment.daemons]).slice(0, count))
      void this.attempt(daemon, random.pick(contents) ?? '', worker);
  }

  private replaceDaemon(): void {
    const victim = this.random.pick(this.deployment.daemons);
    if (victim !== undefined) this.deployment.replace(victim);
  }

  /** Number of sends of a content later than allowed. */
  lateSends(content: string): number {
    const third = [...(this.ends.get(content) ?? [])].sort((left, right) => left - right)[
      ENDS_BEFORE_LATE - 1
    ];
    if (third === undefined) return 0;
    return (this.sends.get(content) ?? []).filter((at) => at > third + HEARD_AFTER_MS).length;
  }

  /** Sends one attempt as a request does. */
  private async attempt(daemon: RequestQuarantine, content: string, preferred?: string): Promise<void> {
    if (daemon.trialDelayMs(content) !== undefined) return;
    const slot = await daemon.acquireSlot(content, neverAborted);
    try {
      for (let tries = 0; tries < 3; tries += 1) {
        if (daemon.verdictOf(content) !== undefined || !this.deployment.daemons.includes(daemon)) return;
        const avoided = new Set(daemon.processesToAvoid(content));
        const usable = [...this.workers.keys()].filter((id) => !avoided.has(id));
        const worker = usable.find((id) => id === preferred) ?? this.random.pick(usable);
        if (worker === undefined) return;
        const admission = await daemon.admit(content, worker);
        if (admission.kind === 'refused') return;
        if (admission.kind === 'occupied') continue;
        await this.wait(this.random.next() < 0.5 ? 0 : this.random.between(0, MAX_WAIT_MS));
        if (daemon.allowsSend(content, admission)) await this.send(daemon, content, worker);
        admission.end();
        return;
      }
    } finally {
      slot.release();
    }
  }

  private async send(daemon: RequestQuarantine, content: string, worker: string): Promise<void> {
    const running = this.workers.get(worker);
    if (running === undefined || !this.deployment.daemons.includes(daemon)) return;
    this.attempts += 1;
    const attempt = { daemon, content, sentAt: this.now, id: `a${String(this.attempts)}`, hasEnded: false };
    running.push(attempt);
    this.sends.set(content, [...(this.sends.get(content) ?? []), this.now]);
    const isCulprit = CULPRITS.some((culprit) => culprit === content);
    await this.wait(isCulprit ? CRASH_AFTER_MS : RUN_MS);
    if (isCulprit) this.crash(worker);
    else if (!attempt.hasEnded) {
      running.splice(running.indexOf(attempt), 1);
      this.served += 1;
      daemon.noteServed(content);
    }
  }

  private crash(worker: string): void {
    const running = this.workers.get(worker);
    if (running === undefined) return;
    this.workers.delete(worker);
    this.deployment.ended.add(worker);
    for (const attempt of running) {
      attempt.hasEnded = true;
      this.ends.set(attempt.content, [...(this.ends.get(attempt.content) ?? []), this.now]);
      if (!this.deployment.daemons.includes(attempt.daemon)) continue;
      this.deployment.breakOff(attempt.daemon, attempt.content, worker, attempt.sentAt, attempt.id);
    }
    this.deployment.world.schedule(REPLACED_AFTER_MS, () => {
      this.startWorker();
    });
  }

  private startWorker(): void {
    this.started += 1;
    this.workers.set(`w${String(this.started)}`, []);
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.deployment.world.schedule(durationMs, resolve);
    });
  }
}

describe('contents that end processes, repeated at daemons that hear of each other late', () => {
  it('are sent at most three times more after three ends, whatever daemons know when, beside contents that are served', async () => {
    const exceeded: string[] = [];
    let served = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const callers = new RepeatingCallers(seed);
      await callers.run();
      served += callers.served;
      for (const culprit of CULPRITS) {
        const late = callers.lateSends(culprit);
        if (late > MAX_LATE_SENDS) exceeded.push(`seed ${String(seed)}, ${culprit}: ${String(late)} sends`);
      }
    }
    expect(served).to.be.above(0);
    expect(exceeded).to.deep.equal([]);
  });
});
