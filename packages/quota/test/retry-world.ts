/** Simulates daemons whose requests fail, and counts the retries of all processes as they arrive at the back ends. */
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import { RetryBudget, type RetryOutcome, type RetryPermit } from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { Random, SlidingWindow, type SimulatedProcess } from '@woodbarrow/runtime';
import {
  worstRetryWindow,
  type RetryLimits,
  type RetryWindow,
  type TimedRequest,
} from '@woodbarrow/standins';
import { RetryAllowanceGate, RetryAllowanceService } from '../src/index.js';
import { ZoneLeases } from './zone-leases.js';

export const ZONES = ['alpha', 'beta', 'gamma'];
export const LIMITS: RetryLimits = { ratio: 0.2, extra: 54, windowMs: 10_000 };
/** Interval between publications of lease claims, in milliseconds. */
const CLAIM_INTERVAL_MS = 300;
/** Most sends of one request. */
const MAX_SENDS = 3;
/** Mean time for which a retry waits for a back end, and longest time from its send to its arrival there, in milliseconds. */
const MEAN_CHOICE_MS = 40;
const MAX_TRANSIT_MS = 300;
const SERVICE = 's';
const noop = (): void => undefined;

/** The part of a retry budget that requests use. */
export interface TestedBudget {
  recordRequest(service: string): void;
  acquire(service: string, signal: AbortSignal): Promise<RetryOutcome>;
}

/** Creates the retry budget of a process. */
export type BudgetFactory = (daemon: RetryDaemon, world: RetryWorld) => TestedBudget;

export interface RetryDaemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  node: SimulatedNode;
  coordinators: CoordinatorDirectory;
  budget: TestedBudget;
}

/** A deployment in which every request that is due to fail fails at each of its sends. */
export class RetryWorld {
  readonly cluster: SimulatedCluster;
  readonly daemons: RetryDaemon[] = [];
  readonly random: Random;
  /** Requests per second over all daemons, and the share of them that fail. */
  requestsPerSecond = 60;
  failingShare = 1;
  /** Chooses the daemon that a client is connected to. */
  choose: () => RetryDaemon | undefined = () => this.random.pick(this.alive());
  private readonly leases: ZoneLeases;
  private firstNode: SimulatedNode | undefined;
  private readonly requests: TimedRequest[] = [];
  private readonly arrivals: TimedRequest[] = [];
  private isSending = false;

  constructor(
    private readonly createBudget: BudgetFactory,
    seed: number,
  ) {
    this.cluster = new SimulatedCluster({ seed });
    this.random = new Random(seed);
    this.leases = new ZoneLeases(this.cluster.world, ZONES, this.daemons);
  }

  get now(): number {
    return this.cluster.world.now;
  }

  /** Daemons that run, suspended or not. */
  alive(): RetryDaemon[] {
    return this.daemons.filter(({ node }) => node.process.alive);
  }

  /** Retries that have arrived at back ends. */
  get retries(): number {
    return this.arrivals.length - new Set(this.arrivals.map(({ id }) => id)).size;
  }

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await this.add();
    this.isSending = true;
    this.sendNext();
  }

  /** Whether a process is the first one of the deployment. */
  isFirstProcess(node: SimulatedNode): boolean {
    return node === this.firstNode;
  }

  /** Starts a daemon of a new name. */
  async add(): Promise<RetryDaemon> {
    const index = this.daemons.length;
    const daemon = await this.startProcess(index, ZONES[index % ZONES.length] ?? '');
    this.daemons.push(daemon);
    return daemon;
  }

  /** Ends a process at once. Its zones get another allocator. */
  kill(daemon: RetryDaemon): void {
    daemon.node.process.kill();
    this.leases.takeOverFrom(daemon.index);
  }

  /** Starts a daemon that was killed again. */
  async restart(daemon: RetryDaemon): Promise<void> {
    Object.assign(daemon, await this.startProcess(daemon.index, daemon.zone));
  }

  /** Cuts some daemons off from the others. Returns a function that ends the cut. */
  cut(isolated: readonly RetryDaemon[]): () => void {
    const names = new Set(isolated.map(({ name }) => name));
    return this.cluster.network.cut((from, to) => names.has(from.name) !== names.has(to.name));
  }

  /** The window in which retries exceed the budget most, or come nearest to it. */
  worstWindow(): RetryWindow | undefined {
    return worstRetryWindow(this.arrivals, this.requests, LIMITS);
  }

  private async startProcess(index: number, zone: string): Promise<RetryDaemon> {
    const name = `daemon-${String(index)}`;
    const node = await this.cluster.add(name, zone);
    this.firstNode ??= node;
    const { process: clock, peers } = node;
    const coordinators = new CoordinatorDirectory(clock, name);
    const daemon = { index, name, zone, node, coordinators } as RetryDaemon;
    daemon.budget = this.createBudget(daemon, this);
    const service = new RetryAllowanceService({
      limit: LIMITS,
      zones: ZONES,
      authorityOf: (candidate) => this.leases.authorityOf(candidate, index),
      peers,
      clock,
      log: silentLog,
    });
    service.start();
    void service.run(new AbortController().signal);
    this.publishClaims(daemon, clock, service);
    return daemon;
  }

  private publishClaims(
    { coordinators }: RetryDaemon,
    clock: SimulatedProcess,
    service: RetryAllowanceService,
  ): void {
    coordinators.accept('told', 'own', this.leases.claims());
    service.refreshZones();
    clock.schedule(CLAIM_INTERVAL_MS, () => {
      this.publishClaims({ coordinators } as RetryDaemon, clock, service);
    });
  }

  private sendNext(): void {
    this.cluster.world.schedule(this.random.exponential(1000 / this.requestsPerSecond), () => {
      if (!this.isSending) return;
      const id = `r${String(this.requests.length)}`;
      this.requests.push({ id, at: this.now });
      const daemon = this.choose();
      const fails = this.random.next() < this.failingShare;
      daemon?.node.process.deliver(() => void this.forward(daemon, id, fails));
      this.sendNext();
    });
  }

  /** One request at a daemon. A process that has ended does nothing after its last step. */
  private async forward({ node, budget }: RetryDaemon, id: string, fails: boolean): Promise<void> {
    const { process } = node;
    budget.recordRequest(SERVICE);
    this.arriveSoon(id);
    for (let sends = 1; fails && sends < MAX_SENDS; sends += 1) {
      const permit = await this.acquire(budget, process);
      if (permit === undefined) return;
      this.arriveSoon(id, () => {
        process.deliver(() => {
          permit.settle(process.elapsed());
        });
      });
    }
  }

  /** Acquires a permit that is still valid after a back end has been chosen. */
  private async acquire(budget: TestedBudget, process: SimulatedProcess): Promise<RetryPermit | undefined> {
    for (;;) {
      const outcome = await budget.acquire(SERVICE, new AbortController().signal);
      if (outcome.kind === 'withheld') return undefined;
      await new Promise<void>((resolve) => {
        process.schedule(this.random.exponential(MEAN_CHOICE_MS), resolve);
      });
      if (outcome.permit.isValid()) return outcome.permit;
      outcome.permit.refund();
    }
  }

  /** A request that has been sent arrives even if its process ends. */
  private arriveSoon(id: string, onArrival: () => void = noop): void {
    this.cluster.world.schedule(this.random.between(0, MAX_TRANSIT_MS), () => {
      this.arrivals.push({ id, at: this.now });
      onArrival();
    });
  }
}

/** Creates the budget that daemons have. */
export const sharedBudget: BudgetFactory = ({ name, zone, node, coordinators }, world) => {
  const { process: clock, peers } = node;
  const failures = new CallFailures(clock, silentLog);
  const allowance = new RetryAllowanceGate({
    daemon: name,
    zone,
    zones: ZONES,
    limit: LIMITS,
    isFirstMember: () => world.isFirstProcess(node),
    coordinators,
    peers,
    failures,
    clock,
  });
  const budget = new RetryBudget({ ...LIMITS, allowance }, clock);
  void budget.run(new AbortController().signal);
  return budget;
};

/** Baseline: a share of the allowance by the number of daemons that run, and retries earned in the whole window. */
export const sharesOfWindow: BudgetFactory = ({ node }, world) => {
  const { ratio, extra, windowMs } = LIMITS;
  const requests = new SlidingWindow(windowMs, node.process);
  const retries = new SlidingWindow(windowMs, node.process);
  return {
    recordRequest: () => {
      requests.add();
    },
    acquire: () => {
      const allowed = 0.75 * (ratio * requests.count() + extra / world.alive().length);
      if (allowed - retries.count() < 1) return Promise.resolve({ kind: 'withheld', reason: 'used_up' });
      retries.add();
      const permit = { source: 'earned', isValid: () => true, refund: noop, settle: noop } as const;
      return Promise.resolve({ kind: 'allowed', permit });
    },
  };
};
