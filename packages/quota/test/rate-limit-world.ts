/**
 * Simulates daemons, the allocator of a zone and one rate-limited back end, and measures the requests
 * that reach it.
 */
import { NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { CoordinatorDirectory } from '@woodbarrow/exchange';
import {
  BackendNotices,
  EMPTY_NOTICE,
  UNLIMITED_PERMIT,
  type NoticeField,
  type SendPermits,
} from '@woodbarrow/forwarding';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster, type SimulatedNode } from '@woodbarrow/peering';
import type { RateLimitReport } from '@woodbarrow/protocol';
import { Random } from '@woodbarrow/runtime';
import {
  RateLimitGate,
  RateLimitService,
  fromReport,
  toReport,
  type OvershootAllowance,
} from '../src/index.js';
import { ZoneLeases } from './zone-leases.js';

const ZONES = ['alpha', 'beta', 'gamma'];
/** Tolerated requests beyond the limit. */
export const RATE_LIMIT_ALLOWANCE: OvershootAllowance = { windowMs: 4000, overshoot: 0.5, slack: 5 };
/** Time after which all daemons must apply a new limit, in milliseconds. */
const SETTLE_MS = 3000;
/** Time for which a daemon must have observed the limit before its requests count, in milliseconds. */
const NOTIFIED_GRACE_MS = 500;
/** Interval between publications of lease claims, in milliseconds. */
const CLAIM_INTERVAL_MS = 300;
/** Maximum delay until a report reaches another daemon, in milliseconds. */
const MAX_GOSSIP_DELAY_MS = 400;
/** Fraction of reports that are lost. */
const LOST_GOSSIP_FRACTION = 0.2;
/** Maximum time ahead for which the next request of a daemon is drawn, in milliseconds. */
const MAX_DRAW_INTERVAL_MS = 500;
/** Maximum delay of a request over a new connection, in milliseconds. */
const MAX_NEW_CONNECTION_DELAY_MS = 400;
/** Fraction of requests that need a new connection. */
const NEW_CONNECTION_FRACTION = 0.1;
const MAX_DELAY_MS = 3;
const RESPONSE_MS = 30;

export const BACK_END: BackEnd = {
  id: 'b',
  name: 'b',
  service: 's',
  address: 'b',
  zone: ZONES[0] ?? '',
  slots: 8,
  draining: false,
  models: [],
  nearby: NO_NEARBY_COPIES,
};

interface Arrival {
  readonly at: number;
  readonly isCounted: boolean;
}

export interface RateLimitDaemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  node: SimulatedNode;
  notices: BackendNotices;
  coordinators: CoordinatorDirectory;
  permits: SendPermits;
  /** Virtual time at which the daemon first received the limit in this run of its process. */
  notifiedAt: number | undefined;
}

/** Creates the permit implementation of a daemon. */
export type PermitFactory = (daemon: RateLimitDaemon, world: RateLimitWorld) => SendPermits;

/** Simulates a deployment with one rate-limited back end. */
export class RateLimitWorld {
  readonly cluster: SimulatedCluster;
  readonly daemons: RateLimitDaemon[] = [];
  readonly random: Random;
  /** Limit that the back end announces now; undefined for none. */
  requestsPerSecond: number | undefined;
  /** Returns the requests per second that arrive at a daemon, by its index. */
  demand: (daemon: number) => number = () => 0;
  allocatorCalls = 0;
  requests = 0;
  private readonly arrivals: Arrival[] = [];
  private readonly leases: ZoneLeases;

  constructor(
    private readonly createPermits: PermitFactory,
    seed: number,
  ) {
    this.cluster = new SimulatedCluster({ seed });
    this.random = new Random(seed);
    this.leases = new ZoneLeases(this.cluster.world, ZONES, this.daemons);
  }

  get now(): number {
    return this.cluster.world.now;
  }

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await this.addDaemon();
    await this.cluster.advance(1000);
  }

  async addDaemon(): Promise<void> {
    const index = this.daemons.length;
    const daemon = await this.startDaemon(index, ZONES[index % ZONES.length] ?? '');
    this.daemons.push(daemon);
    this.sendNext(index);
  }

  /** Kills a daemon and restarts it after a delay. Its zones get another allocator. */
  async restart(index: number, downMs: number): Promise<void> {
    const daemon = this.daemons[index];
    if (daemon === undefined) return;
    daemon.node.process.kill();
    this.leases.takeOverFrom(index);
    await this.cluster.advance(downMs);
    Object.assign(daemon, await this.startDaemon(index, daemon.zone));
  }

  /** Sets the announced limit, waits until it is applied, and resets the arrivals. */
  async setLimit(requestsPerSecond: number): Promise<void> {
    this.requestsPerSecond = requestsPerSecond;
    await this.cluster.advance(SETTLE_MS);
    this.arrivals.length = 0;
  }

  /** Requests that have reached the back end since {@link setLimit}. */
  get arrived(): number {
    return this.arrivals.length;
  }

  /**
   * Returns the most requests in any window, from daemons that had received the limit, as a fraction
   * of the allowed number.
   */
  peakUsage(requestsPerSecond: number): number {
    const { windowMs, overshoot, slack } = RATE_LIMIT_ALLOWANCE;
    const counted = this.arrivals.filter(({ isCounted }) => isCounted);
    const inWindow = ({ at }: Arrival): number =>
      counted.filter((other) => other.at <= at && other.at > at - windowMs).length;
    const most = Math.max(0, ...counted.map(inWindow));
    return most / (((1 + overshoot) * requestsPerSecond * windowMs) / 1000 + slack);
  }

  private async startDaemon(index: number, zone: string): Promise<RateLimitDaemon> {
    const name = `daemon-${String(index)}`;
    const node = await this.cluster.add(name, zone);
    const { process: clock, peers } = node;
    const coordinators = new CoordinatorDirectory(clock, name);
    const notices = new BackendNotices(clock, silentLog);
    notices.onRateLimitChange = (backEndId, heard) => {
      this.shareNews(index, backEndId, toReport(heard, clock));
    };
    const daemon = {
      index,
      name,
      zone,
      node,
      coordinators,
      notices,
      notifiedAt: undefined,
    } as RateLimitDaemon & Pick<Partial<RateLimitDaemon>, 'permits'>;
    daemon.permits = this.createPermits(daemon, this);
    const service = new RateLimitService({
      allowance: RATE_LIMIT_ALLOWANCE,
      notices,
      authorityOf: (candidate) => this.leases.authorityOf(candidate, index),
      peers,
      clock,
      log: silentLog,
    });
    service.start();
    this.publishClaims(daemon);
    return daemon;
  }

  private shareNews(from: number, backEndId: string, report: RateLimitReport): void {
    for (const { index, node, notices } of this.daemons) {
      if (index === from || this.random.next() < LOST_GOSSIP_FRACTION) continue;
      this.cluster.world.schedule(this.random.between(0, MAX_GOSSIP_DELAY_MS), () => {
        node.process.deliver(() => {
          notices.recordFromPeer(backEndId, fromReport(report, node.process));
        });
      });
    }
  }

  private publishClaims(daemon: RateLimitDaemon): void {
    daemon.coordinators.accept('told', 'own', this.leases.claims());
    daemon.node.process.schedule(CLAIM_INTERVAL_MS, () => {
      this.publishClaims(daemon);
    });
  }

  private sendNext(index: number): void {
    const perSecond = this.demand(index);
    const dueInMs = perSecond <= 0 ? Infinity : this.random.exponential(1000 / perSecond);
    // Redrawn regularly, so that a change of demand takes effect soon.
    this.cluster.world.schedule(Math.min(dueInMs, MAX_DRAW_INTERVAL_MS), () => {
      const daemon = this.daemons[index];
      if (dueInMs <= MAX_DRAW_INTERVAL_MS && daemon?.node.process.alive === true) {
        daemon.node.process.deliver(() => void this.send(daemon));
      }
      this.sendNext(index);
    });
  }

  private async send(daemon: RateLimitDaemon): Promise<void> {
    this.requests += 1;
    if (daemon.permits.waitMs(BACK_END.id) > 0) return;
    const permit = await daemon.permits.acquire(BACK_END, new AbortController().signal);
    if (permit === undefined) return;
    // A paused daemon sends nothing. A resumed one checks again that its permit is valid.
    daemon.node.process.deliver(() => {
      if (permit.isValid()) this.reachBackEnd(daemon);
    });
  }

  private reachBackEnd(daemon: RateLimitDaemon): void {
    const { process } = daemon.node;
    const sentAt = process.monotonic();
    const isNew = this.random.next() < NEW_CONNECTION_FRACTION;
    const delayMs = this.random.between(0, isNew ? MAX_NEW_CONNECTION_DELAY_MS : MAX_DELAY_MS);
    const toldAt = daemon.notifiedAt ?? Infinity;
    this.cluster.world.schedule(delayMs, () => {
      this.arrivals.push({ at: this.now, isCounted: this.now - toldAt >= NOTIFIED_GRACE_MS });
      const limit = this.requestsPerSecond;
      this.cluster.world.schedule(RESPONSE_MS, () => {
        process.deliver(() => {
          this.receiveNotice(daemon, limit, sentAt);
        });
      });
    });
  }

  private receiveNotice(daemon: RateLimitDaemon, limit: number | undefined, sentAt: number): void {
    if (limit !== undefined) daemon.notifiedAt ??= this.now;
    const requestsPerSecond: NoticeField<number> =
      limit === undefined ? { kind: 'none' } : { kind: 'said', value: limit };
    daemon.notices.record(BACK_END.id, { ...EMPTY_NOTICE, requestsPerSecond }, sentAt);
  }
}

/** Creates gates that get permits from the coordinator of the back end's zone. */
export const sharedPermits: PermitFactory = ({ node, notices, coordinators }, world) =>
  new RateLimitGate({
    allowance: RATE_LIMIT_ALLOWANCE,
    notices,
    zoneOf: () => BACK_END.zone,
    coordinators,
    peers: {
      call: (...call) => {
        world.allocatorCalls += 1;
        return node.peers.call(...call);
      },
    },
    failures: new CallFailures(node.process, silentLog),
    clock: node.process,
  });

/** Baseline that gives each daemon an equal share of the limit, with one request at once. */
export function equalShares(daemons: number): PermitFactory {
  return ({ node, notices }) => {
    let nextAt = 0;
    const isOpen = (): boolean => notices.requestsPerSecond(BACK_END.id) === undefined;
    const waitMs = (): number => (isOpen() ? 0 : Math.max(0, nextAt - node.process.monotonic()));
    return {
      waitMs,
      acquire: () => {
        if (waitMs() > 0) return Promise.resolve(undefined);
        const limit = notices.requestsPerSecond(BACK_END.id);
        if (limit !== undefined) nextAt = node.process.monotonic() + (1000 * daemons) / limit;
        return Promise.resolve(UNLIMITED_PERMIT);
      },
    };
  };
}
