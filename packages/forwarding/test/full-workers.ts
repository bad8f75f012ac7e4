/** Workers that preempt less urgent requests when all slots are taken, and a fleet of daemons that sends to them. */
import {
  BackendDirectory,
  LoadTracker,
  NO_NEARBY_COPIES,
  summarizedReport,
  type BackEnd,
} from '@woodbarrow/backends';
import { Random, SimulatedProcess, SimulatedWorld, leastBy, type CancelTimer } from '@woodbarrow/runtime';
import { DispatchQueue, noopJournal } from '../src/index.js';
import { ENGINE } from './engines.js';

/** Time from the start in a slot to the first event, in milliseconds. */
const FIRST_EVENT_MS = 35;
const REPORT_INTERVAL_MS = 300;
/** Target for the longest pause of a stream, in milliseconds. */
const PAUSE_TARGET_MS = 200;
export const FULL_ENGINE = { ...ENGINE, slots: 16, cacheTokens: 57_958 };

/** A kind of requests. Times in milliseconds. */
export interface RequestKind {
  readonly name: string;
  readonly share: number;
  readonly priority: number;
  readonly runMs: number;
  readonly targetMs: number;
  readonly tokens: number;
  /** Value of an answer in time, and of a late one. */
  readonly value: number;
  readonly lateValue: number;
}

/** What the callers of one kind got. */
export interface KindResult {
  total: number;
  inTime: number;
  value: number;
  refused: number;
  /** Abandoned by the client before the first event. */
  abandoned: number;
}

class Run {
  firstAt: number | undefined;
  longestPauseMs = 0;
  leftMs: number;
  startedAt = 0;
  stoppedAt: number | undefined;
  cancelTimers: CancelTimer[] = [];

  constructor(
    readonly kind: RequestKind,
    readonly onEnded: () => void,
  ) {
    this.leftMs = kind.runMs;
  }
}

/** One worker. */
class SlotWorker {
  readonly running = new Set<Run>();
  private readonly waiting: Run[] = [];

  constructor(private readonly clock: SimulatedProcess) {}

  accept(run: Run): void {
    if (this.running.size >= FULL_ENGINE.slots) {
      const victim = leastBy(this.running, ({ kind }) => -kind.priority);
      if (victim === undefined || victim.kind.priority <= run.kind.priority) {
        this.waiting.push(run);
        return;
      }
      this.stop(victim);
      this.waiting.unshift(victim);
    }
    this.start(run);
  }

  /** Ends a run whose client has disconnected. */
  remove(run: Run): void {
    const index = this.waiting.indexOf(run);
    if (index >= 0) this.waiting.splice(index, 1);
    else this.stop(run);
    this.finish(run);
  }

  private start(run: Run): void {
    const now = this.clock.monotonic();
    run.startedAt = now;
    if (run.firstAt !== undefined && run.stoppedAt !== undefined)
      run.longestPauseMs = Math.max(run.longestPauseMs, now - run.stoppedAt);
    this.running.add(run);
    run.cancelTimers = [
      this.clock.schedule(FIRST_EVENT_MS, () => (run.firstAt ??= this.clock.monotonic())),
      this.clock.schedule(run.leftMs, () => {
        this.stop(run);
        this.finish(run);
      }),
    ];
  }

  private stop(run: Run): void {
    run.stoppedAt = this.clock.monotonic();
    run.leftMs -= run.stoppedAt - run.startedAt;
    for (const cancel of run.cancelTimers) cancel();
    this.running.delete(run);
  }

  private finish(run: Run): void {
    const next = leastBy(this.waiting, ({ kind }) => kind.priority);
    if (next !== undefined && this.running.size < FULL_ENGINE.slots) {
      this.waiting.splice(this.waiting.indexOf(next), 1);
      this.start(next);
    }
    run.onEnded();
  }
}

interface Daemon {
  readonly loads: LoadTracker;
  readonly queue: DispatchQueue;
}

/** Daemons, the holders of one model, and its requests. */
export class FleetOfDaemons {
  readonly world = new SimulatedWorld();
  readonly clock = new SimulatedProcess(this.world, { name: 'd', zone: 'a', region: 'r' });
  readonly directory = new BackendDirectory(this.clock);
  readonly daemons: Daemon[] = [];
  private results = new Map<string, KindResult>();
  areReportsLost = false;
  private readonly workers = new Map<string, SlotWorker>();
  private readonly relay = new LoadTracker(this.clock);
  private readonly random: Random;

  constructor(
    daemonCount: number,
    holderCount: number,
    private readonly hasQueue: boolean,
    seed = 1,
  ) {
    this.random = new Random(seed);
    for (let index = 0; index < holderCount; index += 1) this.addHolder(`w${String(index)}`);
    for (let index = 0; index < daemonCount; index += 1) this.addDaemon(index, daemonCount);
  }

  addHolder(id: string): void {
    this.workers.set(id, new SlotWorker(this.clock));
    this.directory.put({
      id,
      name: id,
      service: 'service',
      address: id,
      zone: 'a',
      slots: FULL_ENGINE.slots,
      draining: false,
      models: [{ name: 'm', adapters: [] }],
      nearby: NO_NEARBY_COPIES,
    });
  }

  /** Sends requests at a rate for some seconds. */
  async play(perSecond: number, seconds: number, kinds: readonly RequestKind[]): Promise<void> {
    const until = this.world.now + seconds * 1000;
    for (;;) {
      const at = this.world.now + this.random.exponential(1000 / perSecond);
      if (at > until) break;
      await this.world.run(at);
      let point = this.random.next();
      const kind = kinds.find(({ share }) => (point -= share) < 0) ?? kinds[0];
      const daemon = this.random.pick(this.daemons);
      if (kind !== undefined && daemon !== undefined) void this.ask(daemon, kind);
    }
    await this.world.run(until);
  }

  /** Returns the results of the requests since the last call; requests in progress still change them. */
  takeResults(): ReadonlyMap<string, KindResult> {
    const { results } = this;
    this.results = new Map();
    return results;
  }

  private addDaemon(index: number, daemonCount: number): void {
    const loads = new LoadTracker(this.clock);
    const queue = new DispatchQueue(
      this.directory,
      loads,
      noopJournal,
      () => daemonCount,
      new Random(index + 10),
      this.clock,
    );
    this.daemons.push({ loads, queue });
    if (daemonCount === 1) return;
    const report = (): void => {
      if (!this.areReportsLost) {
        this.relay.acceptReport(String(index), 'attached', loads.ownReport());
        const others = summarizedReport(this.relay.combinedReport(['attached'], String(index)));
        loads.acceptReport('relay', 'all', others);
      }
      this.clock.schedule(REPORT_INTERVAL_MS, report);
    };
    this.clock.schedule((REPORT_INTERVAL_MS * index) / daemonCount, report);
  }

  /** Sends one request as a daemon does, and records what its caller gets. */
  async ask({ loads, queue }: Daemon, kind: RequestKind): Promise<void> {
    const result = this.results.get(kind.name) ?? { total: 0, inTime: 0, value: 0, refused: 0, abandoned: 0 };
    this.results.set(kind.name, result);
    result.total += 1;
    loads.recordDemand('m');
    const arrivedAt = this.clock.monotonic();
    const limitMs = Math.max(2000, 4 * kind.targetMs);
    const cheapest = (holders: readonly BackEnd[]): BackEnd | undefined =>
      leastBy(holders, ({ id }) => loads.loadOf(id).requests);
    const holders = (): BackEnd[] => this.directory.holdersOf('service', { model: 'm' });
    let backEnd = cheapest(holders());
    if (this.hasQueue) {
      const outcome = await queue.wait({
        id: 'x',
        service: 'service',
        target: { model: 'm' },
        engine: FULL_ENGINE,
        tokens: kind.tokens,
        priority: kind.priority,
        targetBy: arrivedAt + kind.targetMs - FIRST_EVENT_MS,
        startBy: arrivedAt + 0.9 * limitMs - FIRST_EVENT_MS,
        isResumption: false,
        signal: new AbortController().signal,
        holders,
        cheapest,
        onQueued: () => undefined,
      });
      if (outcome.kind !== 'placed') {
        result.refused += 1;
        return;
      }
      outcome.place.release('sent');
      backEnd = outcome.backEnd;
    }
    const worker = this.workers.get(backEnd?.id ?? '');
    if (backEnd === undefined || worker === undefined) return;
    const sentAt = this.clock.monotonic();
    const size = { promptTokens: kind.tokens, outputTokens: 0 };
    const ticket = loads.start(backEnd.id, { model: 'm' }, size);
    const run = new Run(kind, () => {
      cancelLimit();
      ticket.ended();
      queue.noteEnded('service', kind.priority, this.clock.monotonic() - sentAt);
      if (run.firstAt === undefined) result.abandoned += 1;
      else if (run.firstAt - arrivedAt <= kind.targetMs && run.longestPauseMs <= PAUSE_TARGET_MS) {
        result.inTime += 1;
        result.value += kind.value;
      } else result.value += kind.lateValue;
    });
    const cancelLimit = this.clock.schedule(limitMs - (sentAt - arrivedAt), () => {
      if (run.firstAt === undefined) worker.remove(run);
    });
    worker.accept(run);
  }
}
