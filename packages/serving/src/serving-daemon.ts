/** Assembles, starts and stops the parts of one serving daemon. */
import { setMaxListeners } from 'node:events';
import {
  BackendDirectory,
  LoadTracker,
  type ServiceDefinition,
  type WorkerPaces,
} from '@woodbarrow/backends';
import { ConfigurationHolder, PromptAffinity } from '@woodbarrow/forwarding';
import { CoordinatorDirectory, PeerExchange, type Member } from '@woodbarrow/exchange';
import { isPresent, Membership } from '@woodbarrow/membership';
import { CallFailures, logTaskFailures, type BoundedLog } from '@woodbarrow/observability';
import { PeerNetwork } from '@woodbarrow/peering';
import { ownerByRendezvous } from '@woodbarrow/coordination';
import { LoadQuarantine, RequestQuarantine } from '@woodbarrow/quarantine';
import type { QuotaGate } from '@woodbarrow/quota';
import { PaceProbes, ResidencyService } from '@woodbarrow/residency';
import { NodeIngress, TaskGroup, sleep, type IncomingExchange } from '@woodbarrow/runtime';
import { BackendAccess } from './backend-access.js';
import { BackendNoticeService } from './backend-notice-service.js';
import { DeploymentView } from './deployment-view.js';
import { expectedMembers, sharingMembers } from './expected-members.js';
import { assembleForwarder, type AssembledForwarder } from './forwarder-assembly.js';
import { INITIAL_INGRESS_LIMITS, READINESS_LIMITS } from './ingress-limits.js';
import { LoggedJournal } from './logged-journal.js';
import { createLoggedPaces } from './logged-paces.js';
import { listenForMetrics } from './metrics-endpoint.js';
import { residencyMetrics, ServingMetrics } from './serving-metrics.js';
import { MemberRegistration } from './member-registration.js';
import { MEMBERSHIP_TIMINGS } from './membership-timings.js';
import type { ServingPorts } from './ports.js';
import {
  createGrantServices,
  createQuotaGate,
  type GrantServices,
  type QuotaParts,
} from './quota-assembly.js';
import { RecordFollower } from './record-follower.js';
import { SaturationGuard } from './saturation-guard.js';
import { ServiceHealth } from './service-health.js';
import type { ServingSettings } from './serving-settings.js';
import { assembleStreamOrigins, type AssembledStreamOrigins } from './stream-origins-assembly.js';

/** Deployment name that daemons require of each other's connections. */
const PEER_DEPLOYMENT = 'woodbarrow-serving';
/**
 * Time after the start of a planned stop during which requests are still accepted: clients are directed elsewhere only
 * after two failed readiness checks, a second apart. Requests accepted later might not finish within the grace period.
 */
const DRAIN_ACCEPT_MS = 2600;
/** Part of the grace period reserved for the exit of the process. */
const STOP_EXIT_MARGIN_MS = 500;
const STOP_POLL_MS = 50;

/** One serving daemon. */
export class ServingDaemon {
  private readonly configuration = new ConfigurationHolder();
  private readonly directory: BackendDirectory;
  private readonly loads: LoadTracker;
  private readonly paces: WorkerPaces;
  private readonly affinity = new PromptAffinity();
  private readonly health: ServiceHealth;
  private readonly peers: PeerNetwork;
  private readonly membership: Membership;
  private readonly residency: ResidencyService;
  private readonly grants: GrantServices;
  private readonly quotaGate: QuotaGate;
  private readonly noticeService: BackendNoticeService;
  private readonly access: BackendAccess;
  private readonly streamOrigins: AssembledStreamOrigins;
  private readonly quarantine: RequestQuarantine;
  private readonly loadQuarantine: LoadQuarantine;
  private readonly records: RecordFollower;
  private readonly exchange: PeerExchange;
  private readonly assembled: AssembledForwarder;
  private readonly metrics: ServingMetrics;
  private readonly deploymentView: DeploymentView;
  private readonly tasks: TaskGroup;
  private readonly failures: CallFailures;
  private readonly registration: MemberRegistration;
  private ingress: NodeIngress | undefined;
  private readiness: NodeIngress | undefined;
  private metricsServer: NodeIngress | undefined;
  private readonly saturation: SaturationGuard;
  private readonly stopWaiting = new AbortController();
  private isStopping = false;
  /** Completion of the planned stop, once it has begun. */
  private stopCompletion: Promise<void> | undefined;

  constructor(
    private readonly settings: ServingSettings,
    private readonly ports: ServingPorts,
    private readonly log: BoundedLog,
  ) {
    const { clock, transport } = ports;
    // Each waiting request adds a listener.
    setMaxListeners(0, this.stopWaiting.signal);
    this.tasks = new TaskGroup(clock, logTaskFailures(log));
    this.failures = new CallFailures(clock, log);
    this.health = new ServiceHealth(clock);
    this.saturation = new SaturationGuard({ ...ports, log, inProgress: () => this.ingress?.inProgress ?? 0 });
    this.directory = new BackendDirectory(clock);
    this.loads = new LoadTracker(clock);
    this.paces = createLoggedPaces(clock, log);
    this.peers = new PeerNetwork({
      transport,
      clock,
      address: settings.peerAddress,
      deployment: PEER_DEPLOYMENT,
    });
    const instance = clock.wall();
    this.access = this.createAccess(instance);
    this.quarantine = this.createQuarantine();
    const { directory, quarantine: contents } = this;
    this.loadQuarantine = new LoadQuarantine({ contents, directory, clock, log });
    this.deploymentView = new DeploymentView(
      this.configuration,
      this.directory,
      this.quarantine,
      log,
      (limits) => this.ingress?.setLimits(limits),
    );
    this.registration = this.createRegistration();
    this.membership = this.createMembership(instance);
    const coordinators = new CoordinatorDirectory(clock, settings.name);
    this.records = this.createFollower();
    this.exchange = this.createExchange(coordinators);
    this.quarantine.onMarksChanged = () => {
      this.exchange.forwardCrashMarks();
    };
    this.membership.events.on('attachment', ({ attachment: revision, attachmentEra: era }) => {
      this.exchange.observeUrgentPosition(era === undefined ? { revision } : { era, revision });
    });
    this.residency = this.createResidency(instance, coordinators);
    this.grants = createGrantServices({ ...this.quotaParts(), residency: this.residency });
    this.quotaGate = createQuotaGate({ ...this.quotaParts(), coordinators });
    this.noticeService = this.createNoticeService(coordinators);
    this.streamOrigins = this.createStreamOrigins();
    this.metrics = this.createMetrics();
    this.assembled = this.createForwarder(coordinators);
    this.directory.events.on('removed', (backEnd) => {
      this.affinity.forget(backEnd.id);
      this.paces.forget(backEnd.id);
      this.health.forget(backEnd.service, backEnd.id);
      this.noticeService.noteRemoved(backEnd.id);
      this.access.forget(backEnd.id);
      ports.client.closeIdleConnections(backEnd.address);
    });
    this.directory.events.on('residency', ({ backEndId, target, resident }) => {
      if (!resident && target.adapter === undefined) this.affinity.forget(backEndId, target.model);
    });
  }

  /** Whether clients should send new requests to this daemon. */
  get isReady(): boolean {
    return !this.isStopping && this.deploymentView.isComplete && !this.saturation.shouldAvoidClients;
  }

  /** Starts all listeners and services. Rejects if an address cannot be bound. */
  async start(): Promise<void> {
    const { settings } = this;
    this.readiness = await NodeIngress.listen(settings.readinessAddress, READINESS_LIMITS, (exchange) =>
      this.answerReadiness(exchange),
    );
    this.ingress = await NodeIngress.listen(settings.ingressAddress, INITIAL_INGRESS_LIMITS, (exchange) =>
      this.assembled.forwarder.handle(exchange),
    );
    await this.startMetrics();
    await this.peers.start();
    this.tasks.spawn('saturation', (signal) => this.saturation.run(signal));
    this.tasks.spawn('feed', (signal) => this.records.run(signal));
    this.tasks.spawn('register', (signal) => this.registration.run(signal));
    this.tasks.spawn('retry-budget', (signal) => this.assembled.retries.run(signal));
    this.membership.start();
    this.exchange.start();
    this.quarantine.start();
    this.tasks.spawn('grants', (signal) => this.grants.run(signal));
    this.noticeService.start();
    this.streamOrigins.service.start();
    this.tasks.spawn('stream-records', (signal) => this.streamOrigins.record(signal));
    this.access.start();
    this.residency.start();
    this.log.changed('daemon_started', { zone: settings.zone, address: settings.ingressAddress });
  }

  /**
   * Stops as planned: accepts no new connections, hands roles over and waits for requests in progress, within the grace period.
   * Further calls return the promise of the first.
   */
  stop(): Promise<void> {
    this.stopCompletion ??= this.drainAndStop();
    return this.stopCompletion;
  }

  private async drainAndStop(): Promise<void> {
    this.isStopping = true;
    const { clock } = this.ports;
    const startedAt = clock.monotonic();
    const elapsed = (): number => clock.monotonic() - startedAt;
    this.log.changed('daemon_stopping', { inProgress: this.ingress?.inProgress });
    this.ingress?.startDraining();
    await Promise.all([this.residency.leave(), this.membership.announceLeaving()]);
    await sleep(clock, DRAIN_ACCEPT_MS - elapsed());
    this.ingress?.closeIdle();
    this.stopWaiting.abort();
    while (
      (this.ingress?.inProgress ?? 0) + this.access.relaysInProgress > 0 &&
      elapsed() < this.settings.stopGraceMs - STOP_EXIT_MARGIN_MS
    ) {
      await sleep(clock, STOP_POLL_MS);
    }
    this.log.changed('daemon_stopped', {
      inProgress: this.ingress?.inProgress,
      tookMs: Math.round(elapsed()),
    });
    this.log.flush();
  }

  /** Stops everything immediately without a handover, like a crash. */
  async abort(): Promise<void> {
    this.isStopping = true;
    this.tasks.abort();
    this.residency.abort();
    this.access.abort();
    this.quarantine.abort();
    this.exchange.abort();
    this.membership.abort();
    await Promise.all([
      this.ingress?.close(),
      this.readiness?.close(),
      this.metricsServer?.close(),
      this.peers.close(),
    ]);
  }

  private createRegistration(): MemberRegistration {
    const { settings, ports, log } = this;
    const { name: id, peerAddress: address, zone, capacity } = settings;
    return new MemberRegistration({
      self: { id, address, zone, capacity },
      registry: ports.registry,
      isFirstStart: settings.isFirstStart,
      presentCount: () => this.membership.present().length,
      clock: ports.clock,
      random: ports.random.fork(),
      log,
    });
  }

  private createMembership(instance: number): Membership {
    const { settings, ports, log } = this;
    const { name: id, zone, region, capacity } = settings;
    const membership = new Membership({
      identity: { id, zone, region, capacity, instance },
      peers: this.peers,
      clock: ports.clock,
      random: ports.random.fork(),
      seeds: () => this.registration.seeds,
      timings: MEMBERSHIP_TIMINGS,
      attachment: () => this.exchange.newestUrgentPosition.revision,
      attachmentEra: () => this.exchange.newestUrgentPosition.era,
      onTaskFailure: logTaskFailures(log),
    });
    membership.events.on('up', (member) => {
      log.changed('peer_up', { peer: member.id, instance: member.instance });
      this.streamOrigins.service.notePeerUp(member.id);
    });
    membership.events.on('down', (member) => {
      log.changed('peer_down', { peer: member.id, status: member.status });
      this.streamOrigins.service.notePeerDown(member.id);
    });
    return membership;
  }

  private createResidency(instance: number, coordinators: CoordinatorDirectory): ResidencyService {
    const { settings, ports, log, directory, loads, paces, peers } = this;
    return new ResidencyService({
      self: this.self(),
      instance,
      members: () => this.membership.eligible(),
      knownMembers: () =>
        this.membership.known().map((member) => ({ ...member, isPresent: isPresent(member) })),
      // A lease acquired before peers are present names no witnesses, which doubles the time to replace a failed holder.
      isGroupKnown: () => this.registration.hasResolvedPeers,
      peers,
      directory,
      loads,
      coordinators,
      leases: ports.leases,
      orders: this.access.orders,
      reachesWorkers: (memberId) => this.access.reachesWorkers(memberId),
      serviceOf: (name) => this.serviceOf(name),
      announce: (change) => {
        this.exchange.announce(change);
      },
      onClaimsChanged: () => {
        this.exchange.reportNow();
        this.grants.refreshZones();
      },
      handoverPauseMs: settings.handoverPauseMs,
      storeWindow: settings.storeWindow,
      quarantine: this.loadQuarantine,
      paces,
      paceProbes: new PaceProbes({ paces, health: ports.health, clock: ports.clock }),
      failures: this.failures,
      clock: ports.clock,
      random: ports.random.fork(),
      log,
    });
  }

  private quotaParts(): QuotaParts {
    const { settings, ports, peers, configuration, failures, log } = this;
    return { settings, ports, peers, configuration, failures, log };
  }

  private createAccess(instance: number): BackendAccess {
    const { settings, ports, log, directory, peers, failures } = this;
    return new BackendAccess({
      settings,
      ports,
      instance,
      directory,
      peers,
      members: () => this.membership.eligible(),
      notices: () => this.noticeService.notices,
      announce: (news) => {
        this.exchange.announceNews(news);
      },
      onIsolated: () => {
        this.health.clearBackoffs();
      },
      isStopping: () => this.stopWaiting.signal.aborted,
      failures,
      log,
    });
  }

  private createStreamOrigins(): AssembledStreamOrigins {
    const { settings, ports, directory, peers, failures, log } = this;
    return assembleStreamOrigins({
      self: settings.name,
      members: () => expectedMembers(this.membership, this.registration),
      configuration: () => this.configuration.current,
      directory,
      isViewCurrent: () => this.exchange.isViewCurrent,
      // The settings may still name the first start when a process is started again.
      knowsHistory: () => settings.isFirstStart && this.registration.isNewMember,
      records: ports.streamRecords,
      peers,
      failures,
      clock: ports.clock,
      log,
    });
  }

  private createNoticeService(coordinators: CoordinatorDirectory): BackendNoticeService {
    const { settings, ports, log, directory, peers, failures, residency } = this;
    return new BackendNoticeService({
      allowance: settings.rateLimitAllowance,
      directory,
      coordinators,
      authorityOf: (zone) => residency.leaseHeld(zone),
      announce: (news) => {
        this.exchange.announceNews(news);
      },
      peers,
      failures,
      clock: ports.clock,
      log,
    });
  }

  private createQuarantine(): RequestQuarantine {
    const { settings, ports, log } = this;
    const { quarantine: store, clock } = ports;
    const { probe } = this.access;
    return new RequestQuarantine({
      daemon: settings.name,
      probe,
      store,
      removesRecord: (content) =>
        ownerByRendezvous(content, this.membership.eligible())?.id === settings.name,
      clock,
      random: ports.random.fork(),
      log,
    });
  }

  private createFollower(): RecordFollower {
    const { ports, log, deploymentView } = this;
    return new RecordFollower({
      feed: ports.feed,
      sink: deploymentView,
      onUrgent: () => {
        this.exchange.forwardUrgentRecords();
      },
      onRestored: () => {
        this.registration.noteRestored();
      },
      onStoreLost: () => {
        this.exchange.reportStoreLost();
      },
      clock: ports.clock,
      random: ports.random.fork(),
      log,
    });
  }

  private createExchange(coordinators: CoordinatorDirectory): PeerExchange {
    const { ports, log, loads, paces, peers, records } = this;
    return new PeerExchange({
      self: this.self(),
      members: () => expectedMembers(this.membership, this.registration),
      isGroupKnown: () => this.registration.isGroupKnown,
      peers,
      loads,
      paces,
      coordinators,
      records,
      urgentSources: ports.feed.kinds.filter((kind) => kind.isUrgent).map((kind) => kind.source),
      ownClaims: () => this.residency.claims(),
      onChanges: (changes) => {
        for (const { backEndId, resident, ...target } of changes) {
          this.directory.announce(backEndId, target, resident);
        }
      },
      onBackendNews: (news) => {
        this.noticeService.applyPeerNews(news);
        this.access.applyNews(news);
      },
      crashMarks: this.quarantine,
      failures: this.failures,
      clock: ports.clock,
      log,
    });
  }

  private createMetrics(): ServingMetrics {
    const { configuration, directory, membership, residency, ports, log } = this;
    return new ServingMetrics({
      configurationVersion: () => configuration.current?.version ?? 0,
      backEndsByService: () => directory.countByService(),
      backEndsByVersion: () => directory.countByVersion(),
      peersPresent: () => membership.present().length,
      requestsInProgress: () => this.ingress?.inProgress ?? 0,
      connectionsOpened: () => ports.client.connectionsOpened,
      storeCalls: () => ports.storeCalls(),
      storeEra: () => ports.storeEra(),
      invalidRecords: () => ports.invalidRecords(),
      unmatchedAnswers: () => ports.unmatchedAnswers(),
      callFailures: () => this.failures.totals(),
      ...residencyMetrics(residency),
      quarantine: () => this.quarantine.totals,
      quarantinedParts: () => this.quarantine.quarantinedPartCount,
      loadQuarantine: () => this.loadQuarantine.totals,
      notices: () => this.noticeService.notices.totals,
      streamOriginRecords: () => this.streamOrigins.recordTotals(),
      streamOrigins: () => this.streamOrigins.service.totals,
      permits: () => this.noticeService.permitTotals,
      dispatch: () => this.assembled.forwarder.dispatchTotals,
      loans: () => this.assembled.loans.totals,
      unread: () => this.assembled.forwarder.unreadTotals,
      admission: () => this.saturation.admission.totals,
      paces: () => this.paces.totals(),
      access: () => this.access.totals,
      quotaUse: () => this.quotaGate.usage(),
      quotaUseByPriority: () => this.quotaGate.usageByPriority(),
      quotaGranted: () => this.grants.quota.usage(),
      retryGrants: () => this.grants.retries.totals,
      log,
    });
  }

  private createForwarder(coordinators: CoordinatorDirectory): AssembledForwarder {
    return assembleForwarder({
      settings: this.settings,
      ports: this.ports,
      access: this.access,
      configuration: this.configuration,
      directory: this.directory,
      loads: this.loads,
      paces: this.paces,
      affinity: this.affinity,
      coordinators,
      peers: this.peers,
      members: () => sharingMembers(this.membership, this.registration),
      isFirstMember: () => this.registration.isFirstMember,
      serviceOf: (name) => this.serviceOf(name),
      healthOf: (service) => this.health.of(service),
      notices: this.noticeService,
      origins: this.streamOrigins.service,
      quota: this.quotaGate,
      quarantine: this.quarantine,
      loadQuarantine: this.loadQuarantine,
      journal: new LoggedJournal(this.log, this.metrics),
      admission: this.saturation.admission,
      stopWaiting: this.stopWaiting.signal,
      failures: this.failures,
      log: this.log,
    });
  }

  private self(): Member {
    const { name: id, peerAddress: address, zone, capacity } = this.settings;
    return { id, address, zone, capacity };
  }

  private serviceOf(name: string): ServiceDefinition | undefined {
    return this.configuration.current?.services.get(name);
  }

  private async startMetrics(): Promise<void> {
    const { metrics: endpoint } = this.settings;
    if (endpoint === undefined) return;
    this.metricsServer = await listenForMetrics(endpoint, READINESS_LIMITS, this.metrics);
  }

  private answerReadiness(exchange: IncomingExchange): Promise<void> {
    exchange.respond({ status: this.isReady ? 200 : 503, headers: [] }, new Uint8Array());
    return Promise.resolve();
  }
}
