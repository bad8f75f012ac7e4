/*
 * Guards against clients that do not read using up a daemon's memory, and against clients that read being paused or ended
 * because of them.
 */
import { expect } from 'chai';
import { UnreadBudget, unreadBudgetBytes, type UnreadAnswer } from '../src/index.js';

/** Smallest machine of the deployments, and the memory of an idle daemon. */
const MACHINE_MB = 210;
const IDLE_MB = 41;
const MB = 1024 * 1024;
const STEP_MS = 50;
const DURATION_MS = 20_000;
/** Unread bytes above which the stream's own bound stops reading from the worker. */
const STREAM_BOUND_BYTES = 16 * 1024;

/** Kind of client. */
interface Client {
  readonly caller: string;
  readonly startsAt: number;
  /** Sizes of the chunks, one for each `chunkEveryMs`. */
  readonly chunks: readonly number[];
  readonly chunkEveryMs: number;
  /** Time since the start of the answer during which the client does not read. */
  readonly stalls: (sinceStartMs: number) => boolean;
}

interface Run {
  readonly client: Client;
  readonly entry: UnreadAnswer;
  written: number;
  unread: number;
  pausedMs: number;
  state: 'open' | 'complete' | 'ended';
}

/** What the clients got. */
interface Played {
  readonly runs: readonly Run[];
  readonly highestMb: number;
}

/** Plays the clients; without the budget the daemon fails when its memory is used up, and all answers with it. */
function play(clients: readonly Client[], isBudgeted: boolean): Played {
  const budget = new UnreadBudget(unreadBudgetBytes(MACHINE_MB));
  const runs: Run[] = [];
  const waiting = [...clients].sort((left, right) => left.startsAt - right.startsAt);
  let highest = 0;
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    while (waiting[0] !== undefined && waiting[0].startsAt <= now) {
      const client = waiting.shift() as Client;
      const entry = budget.open(client.caller, now);
      runs.push({ client, entry, written: 0, unread: 0, pausedMs: 0, state: 'open' });
    }
    const open = runs.filter(({ state }) => state === 'open');
    for (const run of open) advance(run, budget, now, isBudgeted);
    if (isBudgeted) endSlowest(open, budget, now);
    highest = Math.max(highest, budget.unreadBytes);
    if (budget.unreadBytes > (MACHINE_MB - IDLE_MB) * MB) return { runs, highestMb: highest / MB };
  }
  return { runs, highestMb: highest / MB };
}

function advance(run: Run, budget: UnreadBudget, now: number, isBudgeted: boolean): void {
  const { client, entry } = run;
  const sinceStart = now - client.startsAt;
  const isRead = !client.stalls(sinceStart);
  const next = client.chunks[run.written];
  const isDue = sinceStart >= run.written * client.chunkEveryMs;
  if (isRead) run.unread = 0;
  budget.record(entry, run.unread, 0, now);
  if (next !== undefined && isDue && run.unread < STREAM_BOUND_BYTES) {
    if (isBudgeted && !budget.mayRead(entry, now)) run.pausedMs += STEP_MS;
    else {
      run.written += 1;
      if (!isRead) run.unread += next;
      budget.record(entry, run.unread, next, now);
    }
  }
  if (run.written === client.chunks.length && run.unread === 0) run.state = 'complete';
}

function endSlowest(open: readonly Run[], budget: UnreadBudget, now: number): void {
  const runByEntry = new Map(open.map((run) => [run.entry, run]));
  for (let entry = budget.answerToEnd(now); entry !== undefined; entry = budget.answerToEnd(now)) {
    const run = runByEntry.get(entry);
    if (run !== undefined) run.state = 'ended';
    budget.close(entry);
  }
}

/** Summaries of 15 tenants, 50 a second: 35 events of 100 bytes, 50 ms apart, whose clients keep up. */
const normalClients: readonly Client[] = Array.from({ length: 800 }, (_, index) => ({
  caller: `tenant ${String(index % 15)}`,
  startsAt: index * 20,
  chunks: Array.from({ length: 35 }, () => 100),
  chunkEveryMs: 50,
  stalls: () => false,
}));

/** 3,000 answers of one tenant within 5 s, which no client reads: 15,000 bytes, and a chunk of 64 KiB a second later. */
const deadClients: readonly Client[] = Array.from({ length: 3000 }, (_, index) => ({
  caller: 'tenant 15',
  startsAt: 2000 + Math.floor(index / 30) * STEP_MS,
  chunks: [15_000, 64 * 1024, 64 * 1024],
  chunkEveryMs: 1000,
  stalls: () => true,
}));

/** Clients of the other tenants that stop reading for a second, one each 200 ms. */
const pausingClients: readonly Client[] = Array.from({ length: 60 }, (_, index) => ({
  caller: `tenant ${String(index % 15)}`,
  startsAt: 1000 + index * 200,
  chunks: Array.from({ length: 35 }, () => 100),
  chunkEveryMs: 50,
  stalls: (sinceStartMs) => sinceStartMs > 500 && sinceStartMs < 1500,
}));

const count = (runs: readonly Run[], clients: readonly Client[], state: Run['state']): number =>
  runs.filter((run) => clients.includes(run.client) && run.state === state).length;

const longestPauseMs = (runs: readonly Run[], clients: readonly Client[]): number =>
  Math.max(...runs.filter(({ client }) => clients.includes(client)).map(({ pausedMs }) => pausedMs));

describe('The budget of unread answers', () => {
  const clients = [...normalClients, ...deadClients, ...pausingClients];

  it('keeps a daemon running that 3,000 unread answers would otherwise exhaust', () => {
    const without = play(clients, false);
    expect(without.highestMb).to.be.greaterThan(MACHINE_MB - IDLE_MB);
    expect(count(without.runs, normalClients, 'complete')).to.be.lessThan(normalClients.length / 2);
    const budgeted = play(clients, true);
    expect(budgeted.highestMb).to.be.lessThan(1.5 * (unreadBudgetBytes(MACHINE_MB) / MB));
    expect(count(budgeted.runs, normalClients, 'complete')).to.equal(normalClients.length);
    expect(count(budgeted.runs, pausingClients, 'complete')).to.equal(pausingClients.length);
    expect(count(budgeted.runs, deadClients, 'ended')).to.be.greaterThan(0);
    // Nothing is read ahead for a client that has stopped reading, from the lag limit (500 ms) to the end of its second.
    expect(longestPauseMs(budgeted.runs, normalClients)).to.equal(0);
    expect(longestPauseMs(budgeted.runs, pausingClients)).to.be.most(500);
  });

  it('pauses and ends nothing while unread answers take less than half of it', () => {
    const few = [...normalClients, ...deadClients.slice(0, 100), ...pausingClients];
    const budgeted = play(few, true);
    expect(budgeted.runs.some(({ state, pausedMs }) => state === 'ended' || pausedMs > 0)).to.equal(false);
    expect(budgeted.highestMb).to.equal(play(few, false).highestMb);
  });
});

describe('An answer in the budget', () => {
  const open = (budget: UnreadBudget, caller: string, bytes: number, at = 0): UnreadAnswer => {
    const answer = budget.open(caller, at);
    budget.record(answer, bytes, bytes, at);
    return answer;
  };

  it('is not paused while its client keeps up, however much others hold', () => {
    const budget = new UnreadBudget(1000);
    open(budget, 'slow', 2000);
    const answer = budget.open('fast', 0);
    budget.record(answer, 0, 0, 2000);
    budget.record(answer, 300, 300, 2100);
    expect(budget.mayRead(answer, 2200)).to.equal(true);
  });

  it('is paused only above its share of the first half, and whatever its share above three quarters', () => {
    const budget = new UnreadBudget(1000);
    const large = open(budget, 'large', 500);
    const small = open(budget, 'small', 100);
    expect([budget.mayRead(large, 600), budget.mayRead(small, 600)]).to.deep.equal([false, true]);
    open(budget, 'large', 200);
    expect(budget.mayRead(small, 600)).to.equal(false);
    budget.close(large);
    expect(budget.mayRead(small, 600)).to.equal(true);
  });

  it('is ended for its time without progress, then for its unread bytes', () => {
    const budget = new UnreadBudget(1000);
    const older = open(budget, 'a', 500);
    const larger = open(budget, 'a', 400, 2000);
    const smaller = open(budget, 'a', 300, 2000);
    expect(budget.answerToEnd(2900)).to.equal(undefined);
    expect(budget.answerToEnd(5000)).to.equal(older);
    // A client that reads a part has made progress.
    budget.record(older, 490, 0, 5000);
    expect(budget.answerToEnd(5400)).to.equal(larger);
    budget.close(larger);
    expect(budget.answerToEnd(5400)).to.equal(undefined);
    expect(budget.unreadBytes).to.equal(790);
    expect(smaller.unreadBytes).to.equal(300);
  });

  it('is ended without the usual stall if the budget is far exceeded, but not if its client keeps up', () => {
    const budget = new UnreadBudget(1000);
    open(budget, 'a', 700);
    open(budget, 'a', 600, 500);
    expect(budget.answerToEnd(400)).to.equal(undefined);
    expect(budget.answerToEnd(600)?.unreadBytes).to.equal(700);
  });

  it('is ended first if its caller is over its share', () => {
    const budget = new UnreadBudget(1000);
    open(budget, 'small', 200);
    const large = open(budget, 'large', 450, 1000);
    open(budget, 'large', 450, 1500);
    expect(budget.answerToEnd(9000)).to.equal(large);
  });
});
