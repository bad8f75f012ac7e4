// Guards against retries over the ratio for some shape of traffic: an adversary saves and spends retries, ends processes and moves clients against the bound.
import { EarnedRetries, type CountedRetry } from '@woodbarrow/forwarding';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { worstRetryWindow, type TimedRequest } from '@woodbarrow/standins';
import { expect } from 'chai';

const LIMITS = { ratio: 0.2, extra: 0, windowMs: 10_000 };
const SEEDS = 150;
const PHASES = 12;
const DAEMONS = 3;
const STEP_MS = 50;
/** Longest time from the send of a request until it is read, and of a retry until it arrives, in milliseconds. */
const MAX_REQUEST_LAG_MS = 350;
const MAX_TRANSIT_MS = 500;
/** Longest time for which a retry waits for a back end, in milliseconds. */
const MAX_HOLD_MS = 1500;
const RATES_PER_SECOND = [0, 10, 60, 400] as const;
const PHASE_MS = [300, 1250, 2500, 5000, 7500, 10_000] as const;
const SPENDING = ['nothing', 'all', 'all_at_the_end'] as const;
const SERVICE = 's';
const LONG_AGO = -1e9;

/** Daemons whose retries an adversary spends. */
class Adversary {
  private readonly world = new SimulatedWorld();
  private readonly random: Random;
  private readonly requests: TimedRequest[] = [];
  private readonly arrivals: TimedRequest[] = [];
  private readonly daemons: { process: SimulatedProcess; retries: EarnedRetries }[] = [];
  /** Stop the watches of the processes. */
  private readonly stops: AbortController[] = [];
  private retryCount = 0;
  /** Daemon that has all clients; undefined if they are spread. */
  private preferred: number | undefined;
  private lagMs = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
    for (let index = 0; index < DAEMONS; index += 1) this.startProcess(index);
  }

  async run(): Promise<{ readonly retries: number; readonly allowed: number }> {
    for (let phase = 0; phase < PHASES; phase += 1) await this.runPhase();
    await this.world.run(this.world.now + MAX_TRANSIT_MS + MAX_HOLD_MS);
    for (const stop of this.stops) stop.abort();
    return worstRetryWindow(this.arrivals, this.requests, LIMITS) ?? { retries: 0, allowed: 0 };
  }

  private async runPhase(): Promise<void> {
    const { random, world } = this;
    const rate = random.pick(RATES_PER_SECOND) ?? 0;
    const spending = random.pick(SPENDING);
    const endsAt = world.now + (random.pick(PHASE_MS) ?? 0);
    this.lagMs = random.next() < 0.5 ? 0 : MAX_REQUEST_LAG_MS;
    if (random.next() < 0.5) this.preferred = random.next() < 0.5 ? random.integer(DAEMONS) : undefined;
    if (random.next() < 0.3) this.replaceSome();
    let due = random.next();
    while (world.now < endsAt) {
      for (due += (rate * STEP_MS) / 1000; due >= 1; due -= 1) this.sendRequest();
      if (spending === 'all') this.spendAll();
      await world.run(world.now + STEP_MS);
    }
    if (spending !== 'nothing') this.spendAll();
  }

  private startProcess(index: number): void {
    const process = new SimulatedProcess(this.world, { name: `d${String(index)}`, zone: 'z', region: 'r' });
    const retries = new EarnedRetries(LIMITS, process);
    const stop = new AbortController();
    this.stops.push(stop);
    void retries.run(stop.signal);
    this.daemons[index] = { process, retries };
  }

  /** Ends some processes; what they have sent arrives, and their successors know nothing of it. */
  private replaceSome(): void {
    for (const [index, { process }] of this.daemons.entries()) {
      if (this.random.next() < 0.5) continue;
      process.kill();
      this.startProcess(index);
    }
  }

  private sendRequest(): void {
    this.requests.push({ id: `r${String(this.requests.length)}`, at: this.world.now });
    const daemon = this.daemons[this.preferred ?? this.random.integer(DAEMONS)];
    this.world.schedule(this.random.between(0, this.lagMs), () => {
      daemon?.process.deliver(() => {
        daemon.retries.recordRequest(SERVICE);
      });
    });
  }

  /** Takes all retries that there are now, and sends each at once or after a wait. */
  private spendAll(): void {
    for (const { process, retries } of this.daemons) {
      for (let retry = retries.take(SERVICE); retry !== undefined; retry = retries.take(SERVICE)) {
        const taken = retry;
        const holdMs = this.random.next() < 0.7 ? 0 : this.random.between(0, MAX_HOLD_MS);
        process.schedule(holdMs, () => {
          this.send(process, taken);
        });
      }
    }
  }

  private send(process: SimulatedProcess, retry: CountedRetry): void {
    if (!retry.isAllowed()) {
      retry.refund();
      return;
    }
    const id = `retry-${String((this.retryCount += 1))}`;
    this.arrivals.push({ id, at: LONG_AGO });
    this.world.schedule(this.random.between(0, MAX_TRANSIT_MS), () => {
      this.arrivals.push({ id, at: this.world.now });
      process.deliver(() => {
        retry.settle(process.elapsed());
      });
    });
  }
}

describe('earned retries of several daemons', () => {
  it('stay within the ratio in every window, whoever saves and spends them, and use most of it', async function () {
    this.timeout(120_000);
    let mostUsed = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { retries, allowed } = await new Adversary(seed).run();
      expect(retries, `seed ${String(seed)}`).to.be.at.most(allowed);
      if (retries >= 20) mostUsed = Math.max(mostUsed, retries / allowed);
    }
    expect(mostUsed).to.be.at.least(0.85);
  });
});
