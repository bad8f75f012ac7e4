/**
 * Streams on the workers of the drafting service (docs/HARD-LOAD.md): figures of 60, 100 or 160, 2.5 times as high 15 % of
 * the time in periods of 600 ms; streams of different models on one worker are time-shared.
 */
import { expect } from 'chai';
import {
  BackendDirectory,
  LoadTracker,
  NO_NEARBY_COPIES,
  RunTimes,
  UNIFORM_PACE,
  WorkerPaces,
  type EngineDefinition,
  type PaceView,
} from '@woodbarrow/backends';
import { Random, SimulatedProcess, SimulatedWorld, sleep } from '@woodbarrow/runtime';
import {
  BackendHealth,
  ConnectionShare,
  DispatchQueue,
  PromptAffinity,
  ReplicaSelector,
  UNLIMITED_PERMIT,
} from '../src/index.js';

const WORKERS = 63;
const SLOTS = 16;
const OWN_FIGURES = [60, 100, 160];
const SLOW_FACTOR = 2.5;
const SLOW_SHARE = 0.15;
const PERIOD_MS = 600;
/** Interactive models, holders of each, models in use at a time, and time after which others are in use. */
const MODELS = 26;
const HOLDERS = 3;
const MODELS_IN_USE = 11;
const USE_CHANGE_MS = 4000;
/** Batch models with one holder each, so that each worker holds three models. */
const BATCH_MODELS = 111;
/** Time between events at the usual pace of a worker that runs one model: slow workers then cause the pauses observed. */
const EVENT_MS = 30;
const LATE_PAUSE_MS = 200;
const SEEDS = [1, 2, 3, 4, 5, 6];
const DURATION_MS = 12_000;
/** Time during which the paces are learnt from the first answers, not counted. */
const WARM_UP_MS = 2000;
const STREAMS = [
  { perSecond: 116, events: 31, tokens: 279, isBatch: false, isReview: true },
  { perSecond: 134, events: 5, tokens: 45, isBatch: false, isReview: false },
  { perSecond: 50.3, events: 31, tokens: 279, isBatch: true, isReview: false },
];
const ENGINE: EngineDefinition = {
  slots: SLOTS,
  cacheTokens: 57_958,
  weightsMb: 200_000,
  adapterSlots: 8,
  storeLoadsPerSecond: 1,
  models: new Map(),
};

/** Plays the load once. */
class UnevenWorkers {
  /** Interactive reviews sent to a full worker while another holder had a free slot. */
  sentToFull = 0;
  private reviews = 0;
  private pausedReviews = 0;
  private readonly paces: WorkerPaces;
  private readonly world = new SimulatedWorld();
  private readonly clock = new SimulatedProcess(this.world, { name: 'd', zone: 'a', region: 'r' });
  private readonly directory = new BackendDirectory(this.clock);
  private readonly loads = new LoadTracker(this.clock);
  private readonly runTimes = new RunTimes();
  private readonly health = new BackendHealth(this.clock);
  private readonly slowPeriods = new Map<string, { readonly until: number; readonly isSlow: boolean }>();
  private readonly selector: ReplicaSelector;

  constructor(
    private readonly random: Random,
    usesPace: boolean,
  ) {
    this.paces = new WorkerPaces(this.clock);
    const view: PaceView = usesPace ? this.paces : UNIFORM_PACE;
    this.addWorkers();
    this.selector = new ReplicaSelector(
      this.directory,
      this.loads,
      new PromptAffinity(),
      {
        request: () => Promise.resolve({ held: false, retryAfterMs: 1, reason: 'none' }),
        requestReplica: () => undefined,
      },
      new ConnectionShare(this.loads, () => 1),
      { waitMs: () => 0, acquire: () => Promise.resolve(UNLIMITED_PERMIT) },
      new DispatchQueue(
        this.directory,
        this.loads,
        { decided: () => undefined, ended: () => undefined },
        () => 1,
        random.fork(),
        this.clock,
      ),
      'a',
      this.clock,
      view,
      this.runTimes,
    );
  }

  /** Share of the interactive reviews with a late pause. */
  get pausedShare(): number {
    return this.pausedReviews / this.reviews;
  }

  async play(): Promise<this> {
    for (const kind of STREAMS) void this.arrivals(kind);
    await this.world.run(DURATION_MS);
    return this;
  }

  private addWorkers(): void {
    const copies = [
      ...names('m', MODELS).flatMap((model) => Array.from({ length: HOLDERS }, () => model)),
      ...names('b', BATCH_MODELS),
    ];
    const order = new Map(copies.map((_, index) => [index, this.random.next()]));
    const places = [...copies.keys()].sort((left, right) => (order.get(left) ?? 0) - (order.get(right) ?? 0));
    for (let index = 0; index < WORKERS; index += 1) {
      this.directory.put({
        id: `w${String(index)}`,
        name: `w${String(index)}`,
        service: 'models',
        address: '10.0.0.1:1',
        zone: 'a',
        slots: SLOTS,
        draining: false,
        models: places
          .filter((_, position) => position % WORKERS === index)
          .map((place) => ({ name: copies[place] ?? '', adapters: [] })),
        nearby: NO_NEARBY_COPIES,
      });
    }
  }

  private async arrivals(kind: (typeof STREAMS)[number]): Promise<void> {
    for (;;) {
      await sleep(this.clock, this.random.exponential(1000 / kind.perSecond));
      void this.stream(kind);
    }
  }

  private async stream({ events, tokens, isBatch, isReview }: (typeof STREAMS)[number]): Promise<void> {
    const model = isBatch ? `b${String(this.random.integer(BATCH_MODELS))}` : this.interactiveModel();
    const facts = {
      id: 'r',
      target: { model },
      hasTokenCounts: true,
      promptTokens: 715,
      outputTokens: tokens,
      expectedTokens: tokens,
      promptParts: [],
    };
    const service = { name: 'models', connectionLimit: 100_000, engine: ENGINE };
    const choice = await this.selector.select(
      {
        service,
        engine: ENGINE,
        target: facts.target,
        facts,
        priority: 0,
        targetLatencyMs: 402,
        targetBy: this.clock.monotonic() + 402,
        startBy: this.clock.monotonic() + 2000,
        isResumption: false,
        excluded: new Set(),
        signal: new AbortController().signal,
      },
      this.health,
    );
    if (choice.kind !== 'send') return;
    const isCounted = isReview && this.clock.monotonic() >= WARM_UP_MS;
    if (isCounted && this.isAvoidablyFull(choice.backEnd.id, model)) this.sentToFull += 1;
    const isPaused = await this.run(choice.backEnd.id, model, events, facts);
    if (isCounted) this.reviews += 1;
    if (isCounted && isPaused) this.pausedReviews += 1;
  }

  /** Runs a stream; resolves with whether a pause was late. */
  private async run(
    id: string,
    model: string,
    events: number,
    size: { promptTokens: number; outputTokens: number },
  ): Promise<boolean> {
    const startedAt = this.clock.monotonic();
    const ticket = this.loads.start(id, { model }, size);
    let isPaused = false;
    for (let event = 0; event < events; event += 1) {
      const pauseMs = (EVENT_MS * this.figureOf(id) * this.busyModels(id)) / 100;
      await sleep(this.clock, pauseMs);
      if (event === 0) {
        ticket.begun();
        this.paces.record(id, this.figureOf(id));
      } else if (pauseMs > LATE_PAUSE_MS) isPaused = true;
    }
    ticket.ended();
    this.runTimes.recordRun(model, size.outputTokens, this.clock.monotonic() - startedAt);
    return isPaused;
  }

  private interactiveModel(): string {
    const first = Math.floor(this.clock.monotonic() / USE_CHANGE_MS) * MODELS_IN_USE;
    return `m${String((first + this.random.integer(MODELS_IN_USE)) % MODELS)}`;
  }

  private isAvoidablyFull(id: string, model: string): boolean {
    const isFull = (each: string): boolean => this.loads.loadOf(each).requests >= SLOTS;
    return isFull(id) && this.directory.holdersOf('models', { model }).some((holder) => !isFull(holder.id));
  }

  private busyModels(id: string): number {
    const held = this.directory.get(id)?.models ?? [];
    return held.filter(({ name }) => this.loads.requestsFor(id, name) > 0).length;
  }

  private figureOf(id: string): number {
    const own = OWN_FIGURES[Number(id.slice(1)) % OWN_FIGURES.length] ?? 100;
    const now = this.clock.monotonic();
    let period = this.slowPeriods.get(id);
    if (period === undefined || period.until <= now) {
      period = { until: now + PERIOD_MS, isSlow: this.random.next() < SLOW_SHARE };
      this.slowPeriods.set(id, period);
    }
    return period.isSlow ? own * SLOW_FACTOR : own;
  }
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${String(index)}`);
}

describe('workers of uneven pace', () => {
  it('cause clearly fewer late pauses of interactive reviews when requests are sent by their pace', async () => {
    const paused = { without: 0, used: 0 };
    for (const seed of SEEDS) {
      const without = await new UnevenWorkers(new Random(seed), false).play();
      const used = await new UnevenWorkers(new Random(seed), true).play();
      paused.without += without.pausedShare / SEEDS.length;
      paused.used += used.pausedShare / SEEDS.length;
      expect(used.sentToFull, 'sent to a full worker while another holder had a free slot').to.equal(0);
    }
    expect(paused.without, 'share without the part').to.be.above(0.1);
    expect(paused.used, 'share with the part').to.be.below(paused.without * 0.6);
  });
});
