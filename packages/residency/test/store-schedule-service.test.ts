/*
 * Guards against zones that stop loading when the scheduler is lost, against two schedulers, and against messages in deployments
 * without slow loads.
 */
import { expect } from 'chai';
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import { CallFailures, type EventLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import { storeWishesMethod, type RelayedClaim, type StoreWishesAnswer } from '@woodbarrow/protocol';
import { StoreAccess, StoreScheduleService, type ScheduledZone } from '../src/index.js';

const ZONES = ['alpha', 'beta', 'gamma'];
const LOAD_MS = 12_000;

/** A daemon that coordinates the zone of its name, with one model that it always wishes for. */
class Daemon {
  readonly events: string[] = [];
  readonly answers: StoreWishesAnswer[] = [];
  readonly granted = new Set<string>();
  readonly access: StoreAccess;
  readonly service: StoreScheduleService;
  private readonly coordinators: CoordinatorDirectory;

  constructor(
    readonly zone: string,
    readonly node: SimulatedNode,
    isNeeded: boolean,
  ) {
    const clock = node.process;
    this.coordinators = new CoordinatorDirectory(clock, zone);
    this.access = new StoreAccess({ zone, zones: () => ZONES, clock });
    const log: EventLog = {
      changed: (event) => this.events.push(event),
      warned: (event) => this.events.push(event),
    };
    this.service = new StoreScheduleService({
      self: { id: zone, address: node.peers.address, zone, capacity: 1 },
      peers: node.peers,
      coordinators: this.coordinators,
      held: () => new Map([[zone, { fence: 1, residency: this.residency() }]]),
      zones: () => ZONES,
      isNeeded: () => isNeeded,
      failures: new CallFailures(clock, log),
      clock,
      log,
    });
    this.service.start();
  }

  private residency(): ScheduledZone['residency'] {
    const { zone, access } = this;
    const wish = { service: 's', model: `m-${zone}`, kind: 'first', waiting: 0, waitingForMs: 0 } as const;
    const costs = { requestsPerS: 1, loadMs: LOAD_MS, costMs: LOAD_MS, startableInMs: 0, worker: zone };
    const message = { zone, fence: 1, wishes: [{ ...wish, ...costs }], loading: [] };
    return {
      access,
      loadsUnderWay: [],
      linkCapacity: undefined,
      loadsAhead: 0,
      storeReport: () => ({ message, slowestLoadMs: LOAD_MS }),
      acceptSchedule: (answer) => {
        this.answers.push(answer);
        access.accept(answer);
        for (const { model } of access.grants()) this.granted.add(model);
      },
      scheduleAlone: () => {
        if (!access.isOnOwn) return;
        access.decideAlone(message, LOAD_MS);
        for (const { model } of access.grants()) this.granted.add(model);
      },
    };
  }

  hear(others: readonly Daemon[]): void {
    for (const { zone, node } of others) {
      if (zone === this.zone) continue;
      const claim: RelayedClaim = {
        zone,
        fence: 1,
        storeLoads: 0,
        loading: [],
        leaseRevision: 1,
        confirmedAgoMs: 0,
        holder: zone,
        address: node.peers.address,
      };
      this.coordinators.accept(zone, 'all', [claim]);
    }
  }
}

class Deployment {
  readonly cluster = new SimulatedCluster({ seed: 3 });
  daemons: Daemon[] = [];

  async start(isNeeded = true): Promise<this> {
    for (const zone of ZONES)
      this.daemons.push(new Daemon(zone, await this.cluster.add(zone, zone), isNeeded));
    return this;
  }

  /** Runs for some time; only the given daemons are alive and hear of each other. */
  async run(durationMs: number, alive: readonly Daemon[] = this.daemons): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 300) {
      for (const daemon of alive) {
        daemon.hear(alive);
        daemon.service.report();
      }
      await this.cluster.advance(300);
    }
  }

  schedulers(): string[] {
    return this.daemons.filter(({ service }) => service.totals.isScheduler).map(({ zone }) => zone);
  }
}

describe('StoreScheduleService', () => {
  it('lets the coordinator of the first zone schedule for all', async () => {
    const deployment = await new Deployment().start();
    await deployment.run(1800);
    expect(deployment.schedulers()).to.deep.equal(['alpha']);
    // The initial limit is two.
    expect(deployment.daemons.flatMap(({ granted }) => [...granted])).to.have.length(2);
    expect(deployment.daemons[0]?.events.filter((event) => event === 'store_load_granted')).to.have.length(2);
  });

  it('lets the next zone schedule when the first one is lost', async () => {
    const deployment = await new Deployment().start();
    await deployment.run(1800);
    const [first, ...others] = deployment.daemons;
    first?.node.process.kill();
    await deployment.run(3000, others);
    expect(deployment.schedulers()).to.include('beta').and.not.include('gamma');
    expect(others.every(({ access }) => !access.isOnOwn)).to.equal(true);
  });

  it('lets zones use their turn while the scheduler does not answer, and logs that and its return', async () => {
    const deployment = await new Deployment().start();
    await deployment.run(1800);
    const [first, ...others] = deployment.daemons;
    if (first === undefined) throw new Error('no daemon');
    // Claims still arrive from the daemon, but it does not answer.
    first.node.peers.handle(storeWishesMethod, () => Promise.reject(new Error('frozen')));
    for (const { granted } of others) granted.clear();
    await deployment.run(LOAD_MS * 1.25 * ZONES.length);
    for (const { events, granted, zone } of others) {
      expect(events).to.include('store_schedule_lost');
      expect([...granted]).to.deep.equal([`m-${zone}`]);
    }
    first.service.start();
    await deployment.run(600);
    for (const { events } of others) expect(events).to.include('store_schedule_regained');
  });

  it('sends nothing in a deployment without slow loads', async () => {
    const deployment = await new Deployment().start(false);
    await deployment.run(3000);
    expect(deployment.schedulers()).to.deep.equal([]);
    expect(deployment.daemons.flatMap(({ answers, events }) => [...answers, ...events])).to.deep.equal([]);
  });
});
