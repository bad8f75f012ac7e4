/** Puts together how a daemon reaches the back ends: its direct paths, other daemons as relays, and what it reports of both. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import type { BackendNotices } from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { BackendNews, IsolationNews } from '@woodbarrow/protocol';
import type { ProcessProbe } from '@woodbarrow/quarantine';
import {
  BackendPaths,
  IsolationReports,
  PathObserver,
  RelayPeers,
  RelayService,
  RelayedProbe,
  RelayingClient,
  type PathTotals,
  type RelayCandidate,
  type RelayOutcome,
  type RelayTotals,
  type ResponseHead,
} from '@woodbarrow/relaying';
import type { OrderClient } from '@woodbarrow/residency';
import type { BackendClient } from '@woodbarrow/runtime';
import { HttpPathProbe } from './http-path-probe.js';
import { ObservedOrders } from './observed-orders.js';
import type { ServingPorts } from './ports.js';
import type { ServingSettings } from './serving-settings.js';

/** Range of the time after which clients may return while no back end can be reached, in milliseconds; paths are probed each second. */
const MIN_UNREACHABLE_RETRY_MS = 300;
const MAX_UNREACHABLE_RETRY_MS = 1300;

/** Options of {@link BackendAccess}. */
export interface BackendAccessOptions {
  readonly settings: ServingSettings;
  readonly ports: ServingPorts;
  /** Identifies this run of the process. */
  readonly instance: number;
  readonly directory: BackendDirectory;
  readonly peers: PeerNetwork;
  /** Returns the daemons present. */
  readonly members: () => readonly RelayCandidate[];
  readonly notices: () => BackendNotices;
  /** Sends a report to all other daemons. */
  readonly announce: (news: IsolationNews) => void;
  /** Called when requests start to be sent by way of other daemons because this one reaches no back end. */
  readonly onIsolated: () => void;
  readonly isStopping: () => boolean;
  readonly failures: CallFailures;
  readonly log: EventLog;
}

/** Counters and gauges for metrics. */
export interface BackendAccessTotals {
  readonly paths: PathTotals;
  /** Requests that this daemon sent by way of others, by outcome. */
  readonly sentByRelay: ReadonlyMap<RelayOutcome, number>;
  /** Requests that this daemon relays for others. */
  readonly relayed: RelayTotals;
}

/** Access of one daemon to all back ends. */
export class BackendAccess {
  /** Client for forwarded requests. */
  readonly client: BackendClient;
  readonly probe: ProcessProbe;
  readonly orders: OrderClient;
  private readonly paths: BackendPaths;
  private readonly relayPeers: RelayPeers;
  private readonly relayingClient: RelayingClient;
  private readonly relays: RelayService;
  private readonly reports: IsolationReports;

  constructor(private readonly options: BackendAccessOptions) {
    const { settings, ports, instance, directory, peers, members, failures, log } = options;
    const { clock } = ports;
    const { name: daemon, zone } = settings;
    const random = ports.random.fork();
    const pathProbe = new HttpPathProbe(ports.client, ports.probe);
    const paths = new BackendPaths({ directory, probe: pathProbe, clock, random: random.fork(), log });
    paths.onIsolated = options.onIsolated;
    paths.onLost = (backEndId) => {
      // Idle connections may have been cut as well.
      const backEnd = directory.get(backEndId);
      if (backEnd !== undefined) ports.client.closeIdleConnections(backEnd.address);
    };
    const relayPeers = new RelayPeers({ selfId: daemon, zone, members, clock, random: random.fork() });
    const direct = new PathObserver(ports.client, paths, clock);
    this.paths = paths;
    this.relayPeers = relayPeers;
    this.relayingClient = new RelayingClient({
      daemon,
      instance,
      direct,
      directory,
      paths,
      relayPeers,
      peers,
      log,
    });
    this.client = this.relayingClient;
    const probe = new RelayedProbe({ direct: ports.probe, paths, relayPeers, peers, failures });
    this.probe = probe;
    this.orders = new ObservedOrders(ports.orders, paths);
    this.relays = new RelayService({
      directory,
      paths,
      client: direct,
      probe: ports.probe,
      peers,
      acquire: ({ id }) => options.notices().pauses.acquire(id),
      onHead: (backEnd, requestId, head, sentAt) => {
        this.recordNotice(backEnd, requestId, head, sentAt);
      },
      isStopping: options.isStopping,
      clock,
    });
    const { announce } = options;
    this.reports = new IsolationReports({
      daemon,
      directory,
      paths,
      probe,
      announce,
      clock,
      random: random.fork(),
      log,
    });
  }

  /** Starts the tasks and message handlers. The peer network must be listening. */
  start(): void {
    this.paths.start();
    this.relays.start();
    this.reports.start();
  }

  abort(): void {
    this.paths.abort();
    this.reports.abort();
  }

  /** Number of requests that this daemon relays for others now. */
  get relaysInProgress(): number {
    return this.relays.inProgress;
  }

  get totals(): BackendAccessTotals {
    return {
      paths: this.paths.totals,
      sentByRelay: this.relayingClient.outcomes,
      relayed: this.relays.totals,
    };
  }

  /** Milliseconds after which a client may return while no back end can be reached by any path; undefined while one can. */
  unreachableRetryMs(): number | undefined {
    const { ports } = this.options;
    if (!this.paths.isIsolated || !this.relayPeers.hasOthers) return undefined;
    if (this.relayPeers.hasUsable) return undefined;
    return ports.random.between(MIN_UNREACHABLE_RETRY_MS, MAX_UNREACHABLE_RETRY_MS);
  }

  /** Whether a daemon reaches the workers, as far as is known here. */
  reachesWorkers(daemon: string): boolean {
    if (daemon === this.options.settings.name) return !this.reports.isConfirmed;
    return !this.relayPeers.isIsolated(daemon);
  }

  /** Applies reports of other daemons. */
  applyNews(news: readonly BackendNews[]): void {
    for (const item of news)
      if (item.kind === 'isolation') this.relayPeers.noteIsolation(item.daemon, item.isIsolated);
  }

  /** Removes the state of a back end that no longer exists. */
  forget(backEndId: string): void {
    this.paths.forget(backEndId);
    this.relayPeers.forget(backEndId);
  }

  /** A pause binds each daemon whose request was declined, and a relay sent this one. */
  private recordNotice(
    { id, name }: BackEnd,
    requestId: string,
    { status, headers }: ResponseHead,
    sentAt: number,
  ): void {
    const { ports, notices } = this.options;
    const notice = ports.dialect.readNotice({ requestId, backEndName: name }, status, headers);
    if (notice !== undefined) notices().record(id, notice, sentAt);
  }
}
