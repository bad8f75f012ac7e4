import { expect } from 'chai';
import type { ModelDefinition } from '@woodbarrow/backends';
import {
  SpreadHistory,
  decideReplicas,
  type ReplicaDecision,
  type SpreadInputs,
  type SpreadWorker,
} from '../src/index.js';
import { DraftingLoad, modelIndex, type Outcome } from './drafting-load.js';

const BUSIEST_RATE = 250 / 6;
const OTHER_BUSY_RATE = (250 - BUSIEST_RATE) / 10;
const RARE_RATE = 50.3 / 140;
const CHANGE_AT_MS = 6000;
const CHANGE_MS = 2000;
const END_MS = 14_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

type Rate = (model: string, now: number) => number;

function changed(now: number): number {
  return Math.min(1, Math.max(0, (now - CHANGE_AT_MS) / CHANGE_MS));
}

function usualRate(model: string): number {
  const index = modelIndex(model);
  if (index === 0) return BUSIEST_RATE;
  if (index < 11) return OTHER_BUSY_RATE;
  return index < 26 ? 0 : RARE_RATE;
}

/** The demand for the busiest model doubles. */
function doublingRate(model: string, now: number): number {
  return usualRate(model) * (modelIndex(model) === 0 ? 1 + changed(now) : 1);
}

/** The demand for the busiest model moves to a model that nobody requested before, with one holder. */
function movingRate(model: string, now: number): number {
  const index = modelIndex(model);
  if (index === 0) return BUSIEST_RATE * (1 - changed(now));
  return index === 11 ? BUSIEST_RATE * changed(now) : usualRate(model);
}

interface Shares {
  /** Requests sent to a worker with a free slot. */
  readonly withSlot: number;
  /** Requests that found no worker with their model. */
  readonly unheld: number;
  readonly workersOverSlots: number;
}

/** Plays a load with several seeds and returns the shares after the change. */
function play(rateOf: Rate, isSpread: boolean): Shares {
  const outcomes = SEEDS.map((seed) => new DraftingLoad(seed, rateOf).play(END_MS, CHANGE_AT_MS, isSpread));
  const mean = (of: (outcome: Outcome) => number): number =>
    outcomes.reduce((sum, outcome) => sum + of(outcome), 0) / SEEDS.length;
  const requests = mean((outcome) => outcome.requests);
  return {
    withSlot: mean(({ withSlot }) => withSlot) / requests,
    unheld: mean(({ unheld }) => unheld) / requests,
    workersOverSlots: mean((outcome) => outcome.workersOverSlots),
  };
}

/** Guards against slots that stay free where the models are not: full holders beside idle workers. */
describe('decideReplicas under the load of the drafting service', () => {
  for (const [change, rateOf] of [
    ['nothing changes', usualRate],
    ["the busiest model's demand doubles within 2 s", doublingRate],
    ["the busiest model's demand moves to another model within 2 s", movingRate],
  ] as const)
    it(`gives more requests a free slot when ${change}`, () => {
      const without = play(rateOf, false);
      const spread = play(rateOf, true);
      const figures = JSON.stringify({ without, spread });
      expect(spread.withSlot, figures).to.be.above(without.withSlot + 0.05);
      expect(spread.workersOverSlots, figures).to.be.below(without.workersOverSlots * 0.75);
      // What is evicted for replicas and requested again has to be loaded on demand.
      expect(spread.unheld, figures).to.be.below(0.025);
    });
});

const MODELS = ['hot', 'warm', 'rare', 'other'];
const NOW = 10_000;

interface WorkerFacts {
  readonly zone?: string;
  readonly pace?: number;
  readonly runs?: Readonly<Record<string, number>>;
  readonly held?: readonly string[];
  readonly copies?: readonly string[];
  readonly canLoad?: boolean;
}

function worker(id: string, facts: WorkerFacts): SpreadWorker {
  const runs = new Map(Object.entries(facts.runs ?? {}));
  return {
    id,
    zone: facts.zone ?? 'a',
    slots: 16,
    pace: facts.pace ?? 1,
    held: facts.held ?? [...runs.keys()],
    copies: new Set(facts.copies ?? []),
    canLoad: facts.canLoad ?? true,
    requests: [...runs.values()].reduce((sum, count) => sum + count, 0),
    requestsByModel: runs,
  };
}

function definitionsOf(names: readonly string[]): ModelDefinition[] {
  const times = { storeLoadMs: 13_200, diskLoadMs: 700, memoryLoadMs: 500 };
  return names.map((name) => ({ name, weightsMb: 60, adapterMb: 0, ...times }));
}

/** Decides for workers that hold three models each. */
function decide(
  workers: readonly SpreadWorker[],
  changes: Partial<SpreadInputs> = {},
): readonly ReplicaDecision[] {
  const models = definitionsOf(MODELS);
  const demandFor = (): number => 2;
  const mayLoad = (): boolean => true;
  const history = new SpreadHistory();
  return decideReplicas({
    workers,
    loading: [],
    waiting: new Map(),
    demandFor,
    mayLoad,
    models,
    weightsMb: 200,
    history,
    now: NOW,
    ...changes,
  }).decisions;
}

describe('decideReplicas', () => {
  const full = worker('w1', { runs: { hot: 12, rare: 2 } });
  const idle = worker('w2', { copies: ['hot'] });

  it('adds a replica when the load exceeds half of what the holders have left', () => {
    expect(decide([full, idle])).to.deep.equal([
      { model: 'hot', workerId: 'w2', zone: 'a', reason: 'load', load: 12, capacity: 14, victims: [] },
    ]);
  });

  it('adds none while the holders have twice the capacity of the load, also for one request', () => {
    expect(decide([worker('w1', { runs: { hot: 6 } }), idle])).to.deep.equal([]);
    expect(decide([worker('w1', { runs: { hot: 1, rare: 14 } }), idle])).to.deep.equal([]);
  });

  it('projects a growing load, but not one that chance explains', () => {
    const growing = (before: number): readonly ReplicaDecision[] => {
      const history = new SpreadHistory();
      decide([worker('w1', { runs: { hot: before } }), idle], { history, now: NOW - 800 });
      return decide([worker('w1', { runs: { hot: 7 } }), idle], { history });
    };
    expect(growing(1)).to.have.length(1);
    expect(growing(5)).to.deep.equal([]);
  });

  it('adds a replica of a model whose only holder is full of requests for another', () => {
    const holder = worker('w1', { runs: { hot: 16 }, held: ['hot', 'rare'] });
    const [decision] = decide([holder, worker('w2', { copies: ['rare'] })]);
    expect(decision).to.include({ model: 'rare', workerId: 'w2', reason: 'capacity' });
  });

  // Requests that wait at the daemons are not in progress on any worker, and a few of them are little demand.
  it('counts waiting requests as load', () => {
    const holder = worker('w1', { runs: { hot: 16 }, held: ['hot', 'rare'] });
    const inputs = { demandFor: (): number => 0.9, waiting: new Map([['rare', 1]]) };
    const [decision] = decide([holder, worker('w2', { copies: ['rare'] })], inputs);
    expect(decision).to.include({ model: 'rare', workerId: 'w2', reason: 'capacity', load: 1 });
  });

  it('prefers a worker without busy models to a faster one that would be shared', () => {
    const shared = worker('w3', { pace: 0.6, runs: { warm: 5 }, copies: ['hot'] });
    const slow = worker('w4', { pace: 1.6, copies: ['hot'] });
    expect(decide([full, shared, slow])[0]).to.include({ workerId: 'w4' });
    expect(decide([full, shared])[0]).to.include({ workerId: 'w3' });
    expect(decide([full, idle, worker('w0', { pace: 1.6, copies: ['hot'] })])[0]).to.include({
      workerId: 'w2',
    });
  });

  it('adds a replica on a fast worker for a model whose streams pause on slow, shared ones', () => {
    const holder = worker('w1', { pace: 1.6, runs: { hot: 4, rare: 1 } });
    const fast = worker('w2', { pace: 0.6, copies: ['rare'] });
    expect(decide([holder, fast])[0]).to.include({ model: 'rare', workerId: 'w2', reason: 'pauses' });
    expect(decide([holder, { ...fast, pace: 1.6 }])).to.deep.equal([]);
    expect(decide([{ ...holder, pace: 1 }, fast])).to.deep.equal([]);
  });

  it('never evicts the last replica of a model in use or the last reachable copy', () => {
    const held = ['rare', 'warm', 'other'];
    const target = worker('w2', { held, copies: ['hot', 'rare'] });
    const elsewhere = worker('w3', { copies: ['rare'] });
    const unused = { demandFor: () => 0 };
    expect(decide([full, target]), 'last copy').to.deep.equal([]);
    expect(decide([worker('w1', { runs: { hot: 12 } }), target, elsewhere]), 'last in use').to.deep.equal([]);
    const [decision] = decide([worker('w1', { runs: { hot: 12 } }), target, elsewhere], unused);
    expect(decision).to.deep.include({ workerId: 'w2', victims: ['rare'] });
  });

  it('keeps one of two replicas when two zones evict at the same time', () => {
    const copies = ['hot', 'rare', 'warm', 'other'];
    const both = ['w2', 'w3'].map((id) => worker(id, { held: ['rare', 'warm', 'other'], copies }));
    const holder = worker('w1', { runs: { hot: 12 } });
    const decisions = both.map((target) =>
      decide([holder, ...both.map((other) => ({ ...other, canLoad: other.id === target.id }))]),
    );
    expect(decisions.map(({ length }) => length)).to.deep.equal([0, 1]);
  });

  it('decides once for a model within a load, then chooses another worker', () => {
    const history = new SpreadHistory();
    const workers = [full, idle, worker('w3', { pace: 1.2, copies: ['hot'] })];
    const at = (now: number): string[] => decide(workers, { history, now }).map(({ workerId }) => workerId);
    expect([at(NOW), at(NOW + 400), at(NOW + 1200)]).to.deep.equal([['w2'], [], ['w3']]);
  });

  it('counts a load in progress elsewhere as a replica', () => {
    expect(decide([full, idle], { loading: [{ model: 'hot', readyInMs: 500 }] })).to.deep.equal([]);
    expect(decide([full, idle], { loading: [{ model: 'hot', readyInMs: 9000 }] })).to.have.length(1);
  });

  it('bounds the decisions per zone and pass', () => {
    const names = Array.from({ length: 8 }, (_, index) => `m${String(index)}`);
    const holders = names.map((name) => worker(`h-${name}`, { runs: { [name]: 16 } }));
    const spare = names.map((name) => worker(`s-${name}`, { copies: names }));
    expect(decide([...holders, ...spare], { models: definitionsOf(names) })).to.have.length(2);
  });

  it('leaves workers of zones without a coordinator alone', () => {
    const lost = { ...idle, zone: 'b', canLoad: false };
    expect(decide([full, lost])).to.deep.equal([]);
    expect(decide([full, lost, worker('w3', { copies: ['hot'] })])[0]).to.include({ workerId: 'w3' });
  });

  it('reads a worker a bounded number of times per pass, however many models there are', () => {
    const names = Array.from({ length: 200 }, (_, index) => `model-${String(index)}`);
    let reads = 0;
    const counted = (of: SpreadWorker): SpreadWorker =>
      new Proxy(of, {
        get: (target, name, receiver): unknown => {
          if (name === 'pace' || name === 'canLoad') reads += 1;
          return Reflect.get(target, name, receiver);
        },
      });
    const busy = names.map((name) => worker(`w-${name}`, { runs: { [name]: 16 } }));
    const idle = Array.from({ length: 100 }, (_, index) => worker(`idle-${String(index)}`, {}));
    const workers = [...busy, ...idle].map(counted);
    decide(workers, { models: definitionsOf(names) });
    expect(reads)
      .to.be.above(0)
      .and.at.most(workers.length * 5);
  });
});
