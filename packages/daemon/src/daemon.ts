/** Assembles, starts and stops all roles of one daemon process. */
import {
  Catalog,
  ConfigurationRelay,
  ConfigurationStore,
  VoterSetKeeper,
  readVoterSets,
} from '@woodbarrow/configuration';
import {
  ClaimLedger,
  ClaimsClient,
  LeaseCandidate,
  LeaseLocator,
  LeaseVoter,
  type VoterSets,
} from '@woodbarrow/coordination';
import { EngineClient } from '@woodbarrow/engine';
import { WoodbarrowError } from '@woodbarrow/errors';
import {
  Authenticator,
  CompletionService,
  JobService,
  StatusService,
  createCallerApi,
  createOperatorApi,
  errorResponse,
} from '@woodbarrow/gateway';
import { Membership } from '@woodbarrow/membership';
import { Metrics } from '@woodbarrow/observability';
import { PeerNetwork } from '@woodbarrow/peering';
import { ZoneCoordinator } from '@woodbarrow/placement';
import { MachineListClient, PlatformClient } from '@woodbarrow/object-store';
import { Admission, QueueOwner, Router } from '@woodbarrow/routing';
import { sleep, tlsFromFiles, type HttpServer } from '@woodbarrow/runtime';
import type { Settings } from '@woodbarrow/settings';
import { registerMetrics } from './daemon-metrics.js';
import type { DaemonEnvironment } from './daemon-environment.js';
import { LEDGER_GROUP, coordinatorGroup, relayGroup } from './lease-groups.js';
import { withHealth } from './health.js';
import { SeedSource } from './seed-source.js';

const MAXIMUM_KEY_LIFETIME_MS = 86_400_000;
const LEDGER_VOTER_COUNT = 5;
const DRAIN_POLL_MS = 100;
/** Maximum time that a planned stop waits for other daemons to take over the queues and votes of this one. */
const HANDOVER_TIMEOUT_MS = 10_000;
/** Minimum wait for the announcement of the leave to reach all daemons before the handover is checked. */
const HANDOVER_MIN_WAIT_MS = 1500;
/** Part of the grace period reserved for completing responses that have begun. */
const RESPONSE_COMPLETION_MARGIN_MS = 30_000;
const INSTANCE_STEPS_PER_MS = 1000;

/** Lifecycle state of a daemon. */
export type DaemonState = 'starting' | 'running' | 'draining' | 'stopped';

/** One daemon with all its roles. */
export class Daemon {
  readonly store = new ConfigurationStore();
  readonly catalog = new Catalog(this.store);
  readonly metrics = new Metrics();
  readonly peers: PeerNetwork;
  readonly membership: Membership;
  readonly engines: EngineClient;
  readonly coordinator: ZoneCoordinator;
  readonly router: Router;
  readonly queues: QueueOwner;
  readonly relay: ConfigurationRelay;
  readonly ledger: ClaimLedger;
  readonly completions: CompletionService;
  private readonly voter: LeaseVoter;
  private readonly coordinatorLease: LeaseCandidate;
  private readonly relayLease: LeaseCandidate;
  private readonly ledgerLease: LeaseCandidate;
  private readonly voterSetKeepers: readonly VoterSetKeeper[];
  private readonly claims: ClaimsClient;
  private readonly jobs: JobService;
  private readonly locator: LeaseLocator;
  private readonly seeds: SeedSource;
  private readonly platform: PlatformClient;
  private readonly status: StatusService;
  private readonly authenticator: Authenticator;
  private servers: HttpServer[] = [];
  private currentState: DaemonState = 'starting';
  private draining: Promise<void> | undefined;
  private readonly stopListeners: (() => void)[] = [];

  constructor(
    readonly settings: Settings,
    private readonly environment: DaemonEnvironment,
  ) {
    const { clock, random, http, transport } = environment;
    const { id, zone, region } = settings;
    const onTaskFailure = (name: string, error: unknown): void => {
      environment.log.warned('task_failed', { task: name, error: String(error) });
    };
    const instance = Math.floor(clock.wall()) * INSTANCE_STEPS_PER_MS + random.integer(INSTANCE_STEPS_PER_MS);
    const common = { clock, random: random.fork(), onTaskFailure };
    this.peers = new PeerNetwork({
      transport,
      clock,
      address: settings.listen.peers,
      deployment: settings.deployment,
    });
    const peers = this.peers;
    const machines = new MachineListClient(settings.platform.machines, http);
    this.seeds = new SeedSource(machines, clock, settings.seeds);
    this.membership = new Membership({
      ...common,
      peers,
      identity: { id, zone, region, instance },
      seeds: () => this.seeds.addresses(),
      attachment: () => this.store.revision,
    });
    const membership = this.membership;
    this.platform = new PlatformClient({
      origin: settings.platform.objects,
      http,
      clock,
      random,
      readerId: id,
    });
    this.voter = new LeaseVoter({ peers, clock, id, instance });
    this.coordinatorLease = this.leaseCandidate(coordinatorGroup(zone));
    this.relayLease = this.leaseCandidate(relayGroup(zone));
    this.ledgerLease = this.leaseCandidate(LEDGER_GROUP);
    this.voterSetKeepers = [
      new VoterSetKeeper({
        ...common,
        group: coordinatorGroup(zone),
        store: this.store,
        membership,
        platform: this.platform,
        eligibleMembers: () => membership.eligible().filter((member) => member.zone === zone),
        onReplaced: () => this.relay.readIfUnheld(),
      }),
      new VoterSetKeeper({
        ...common,
        group: LEDGER_GROUP,
        store: this.store,
        membership,
        platform: this.platform,
        eligibleMembers: () => membership.eligible(),
        size: LEDGER_VOTER_COUNT,
        spreadOverZones: true,
      }),
    ];
    this.locator = new LeaseLocator(peers, clock, (group) => this.voterSetsOf(group));
    this.relay = new ConfigurationRelay({
      ...common,
      store: this.store,
      platform: this.platform,
      membership,
      peers,
      lease: this.relayLease,
      listedDaemons: () => this.seeds.daemonsIn(zone),
      isLeaseHeld: async () => (await this.locator.find(relayGroup(zone))) !== undefined,
    });
    this.ledger = new ClaimLedger({
      clock,
      peers,
      candidate: this.ledgerLease,
      maximumLifetimeMs: MAXIMUM_KEY_LIFETIME_MS,
      hasEnded: (daemon) => membership.hasEnded(daemon),
      onTaskFailure,
    });
    this.claims = new ClaimsClient(LEDGER_GROUP, peers, clock, this.locator);
    this.engines = new EngineClient(http, {
      onUnmatchedAnswer: ({ match, call, origin, requestId }) => {
        const facts = { request: requestId, call, backEnd: origin, match, outcome: 'rejected' };
        environment.log.changed('answer_unmatched', facts);
      },
    });
    const { engines } = this;
    this.coordinator = new ZoneCoordinator({
      zone,
      lease: this.coordinatorLease,
      catalog: this.catalog,
      engines,
      machines,
      membership,
      peers,
      clock,
      onEvent: (event, details) => {
        environment.log.changed(event, details);
      },
      onTaskFailure,
    });
    this.queues = new QueueOwner({
      ...common,
      zone,
      membership,
      peers,
      locator: this.locator,
      coordinatorGroup: coordinatorGroup(zone),
    });
    this.router = new Router({ zone, membership, peers, engines, clock, random: random.fork() });
    this.completions = new CompletionService({
      catalog: this.catalog,
      router: this.router,
      admission: new Admission({ maximumRequests: settings.limits.maximumRequests }),
      claims: this.claims,
      clock,
      local: { id, instance },
      jobResult: async (jobId, tenant) => (await this.jobs.fetch(jobId, tenant)).end,
      onTaskFailure,
      onResponse: (result, waitedMs) => {
        this.metrics.recordResponse(result, waitedMs);
      },
    });
    this.jobs = new JobService({
      ...common,
      completions: this.completions,
      claims: this.claims,
      catalog: this.catalog,
      membership,
      peers,
      newRequestId: () => this.newRequestId(),
      canRun: () => this.isReady,
      onTakeover: (job, outcome) => {
        environment.log.changed('job_taken_over', { job, outcome });
      },
    });
    this.status = new StatusService({
      membership,
      peers,
      clock,
      locator: this.locator,
      store: this.store,
      catalog: this.catalog,
      coordinatorGroup,
    });
    this.authenticator = new Authenticator(this.store, this.catalog, settings.administratorTokenSha256);
    registerMetrics(this.metrics, this, this.platform, this.jobs);
  }

  /** Current lifecycle state. */
  get state(): DaemonState {
    return this.currentState;
  }

  /** Whether the daemon can serve callers. */
  get isReady(): boolean {
    return this.currentState === 'running' && this.relay.isFresh;
  }

  /** Whether the daemon holds the lease to read the platform for its zone. */
  get isRelay(): boolean {
    return this.relayLease.held !== undefined;
  }

  /** Whether the daemon holds the lease of the claim ledger. */
  get isLedgerLeader(): boolean {
    return this.ledgerLease.held !== undefined;
  }

  /** Addresses of the listeners; empty before the start. */
  get addresses(): { readonly callers: string; readonly operators: string; readonly peers: string } {
    const [callers, operators] = this.servers;
    return {
      callers: callers?.address ?? '',
      operators: operators?.address ?? '',
      peers: this.peers.address,
    };
  }

  /** Starts all parts. Rejects if a listener cannot be opened. */
  async start(): Promise<void> {
    await this.peers.start();
    await this.seeds.start();
    this.voter.start();
    this.membership.start();
    this.relay.start();
    this.ledger.start();
    this.coordinator.start();
    this.queues.start();
    this.jobs.start();
    for (const candidate of this.candidates()) candidate.start();
    for (const keeper of this.voterSetKeepers) keeper.start();
    await this.listen();
    this.currentState = 'running';
    this.environment.log.changed('daemon_started', { addresses: this.addresses });
  }

  /**
   * Stops as planned: refuses new requests, hands roles over and finishes requests in progress. Further calls return the
   * promise of the first.
   */
  drain(): Promise<void> {
    this.draining ??= this.drainAndStop();
    return this.draining;
  }

  /** Calls `listener` when a planned stop is complete. */
  onStopped(listener: () => void): void {
    this.stopListeners.push(listener);
  }

  /** Stops immediately without notifying other daemons. */
  abort(): void {
    this.currentState = 'stopped';
    for (const part of [this.membership, this.relay, this.ledger, this.queues, this.jobs, this.seeds])
      part.abort();
    for (const candidate of this.candidates()) candidate.abort();
    for (const keeper of this.voterSetKeepers) keeper.abort();
    this.coordinator.abort();
  }

  private async drainAndStop(): Promise<void> {
    const { clock, log } = this.environment;
    this.currentState = 'draining';
    log.changed('daemon_draining');
    await this.membership.announceLeaving();
    await Promise.all(this.voterSetKeepers.map((keeper) => keeper.stop()));
    await Promise.all(this.candidates().map((candidate) => candidate.stop()));
    const graceDeadline = clock.monotonic() + this.settings.shutdown.graceSeconds * 1000;
    this.router.refuseWaitingBeyond(graceDeadline - RESPONSE_COMPLETION_MARGIN_MS);
    const handoverDeadline = clock.monotonic() + HANDOVER_TIMEOUT_MS;
    await sleep(clock, HANDOVER_MIN_WAIT_MS);
    while (clock.monotonic() < handoverDeadline && !this.isHandoverComplete())
      await sleep(clock, DRAIN_POLL_MS);
    while (clock.monotonic() < graceDeadline && this.hasUnfinishedWork()) await sleep(clock, DRAIN_POLL_MS);
    log.changed('daemon_stopping', { unfinished: this.requestsInProgress() });
    await this.membership.leave();
    for (const server of this.servers) await server.close();
    await Promise.all([this.relay.stop(), this.ledger.stop(), this.queues.stop(), this.jobs.stop()]);
    this.seeds.abort();
    await this.peers.close();
    this.currentState = 'stopped';
    for (const listener of this.stopListeners) listener();
  }

  /** Returns the number of requests whose responses are not complete, plus active jobs. */
  private requestsInProgress(): number {
    const [callers] = this.servers;
    return Math.max(this.completions.active, callers?.activeRequests() ?? 0) + this.jobs.active;
  }

  /** Whether requests are in progress, or other daemons still lack outcomes that only this one knows. */
  private hasUnfinishedWork(): boolean {
    return (
      this.requestsInProgress() > 0 || this.claims.pendingSettlements > 0 || this.jobs.pendingHandovers > 0
    );
  }

  /** Whether no request waits in a queue here and no voter set includes this daemon. */
  private isHandoverComplete(): boolean {
    const groups = [coordinatorGroup(this.settings.zone), LEDGER_GROUP];
    const isStillVoter = groups.some((group) => this.isVoter(readVoterSets(this.store, group)));
    return !isStillVoter && this.queues.waiting === 0;
  }

  private isVoter(sets: VoterSets | undefined): boolean {
    const { id, instance } = this.membership.local;
    return sets?.current.voters.some((voter) => voter.id === id && voter.instance === instance) === true;
  }

  private candidates(): readonly LeaseCandidate[] {
    return [this.coordinatorLease, this.relayLease, this.ledgerLease];
  }

  /** Returns the voters of a group. The voters of a zone's coordinator also vote on its relay. */
  private voterSetsOf(group: string): VoterSets | undefined {
    const { zone } = this.settings;
    const votersOf = group === relayGroup(zone) ? coordinatorGroup(zone) : group;
    return renameGroup(readVoterSets(this.store, votersOf), group);
  }

  /** Creates a candidate for the lease of `group`. Only voters become candidates. */
  private leaseCandidate(group: string): LeaseCandidate {
    const { clock, random, log } = this.environment;
    const voterSets = (): VoterSets | undefined => this.voterSetsOf(group);
    return new LeaseCandidate({
      group,
      id: this.settings.id,
      peers: this.peers,
      clock,
      random: random.fork(),
      voterSets,
      isWilling: () => this.currentState === 'running' && this.isVoter(voterSets()),
      onTaskFailure: (name, error) => {
        log.warned('task_failed', { task: name, error: String(error) });
      },
    });
  }

  private async listen(): Promise<void> {
    const { serveHttp } = this.environment;
    const { listen, tls, limits } = this.settings;
    const tooLarge = (): ReturnType<typeof errorResponse> =>
      errorResponse(
        new WoodbarrowError('body_too_large', `a body may have ${String(limits.maximumBodyBytes)} bytes`),
      );
    const shared = { maximumBodyBytes: limits.maximumBodyBytes, onTooLarge: tooLarge };
    const callers = await serveHttp({
      ...shared,
      address: listen.callers,
      handler: createCallerApi({
        authenticator: this.authenticator,
        catalog: this.catalog,
        completions: this.completions,
        jobs: this.jobs,
        refusal: () => this.refusal(),
        newRequestId: () => this.newRequestId(),
      }),
      ...(tls.callers === undefined ? {} : { tls: tlsFromFiles(tls.callers) }),
    });
    const operatorApi = createOperatorApi({
      authenticator: this.authenticator,
      store: this.store,
      catalog: this.catalog,
      platform: this.platform,
      status: this.status,
      random: this.environment.random,
      drain: () => {
        void this.drain();
      },
      isReady: () => this.relay.isFresh,
    });
    const operators = await serveHttp({
      ...shared,
      address: listen.operators,
      handler: withHealth(operatorApi, { metrics: this.metrics, isReady: () => this.isReady }),
      ...(tls.operators === undefined ? {} : { tls: tlsFromFiles(tls.operators) }),
    });
    this.servers = [callers, operators];
  }

  private newRequestId(): string {
    return `${this.settings.id}-${this.environment.random.id()}`;
  }

  private refusal(): 'not_ready' | 'stopping' | undefined {
    if (this.currentState === 'draining' || this.currentState === 'stopped') return 'stopping';
    return this.isReady ? undefined : 'not_ready';
  }
}

function renameGroup(sets: VoterSets | undefined, group: string): VoterSets | undefined {
  if (sets === undefined) return undefined;
  const current = { ...sets.current, group };
  return sets.previous === undefined ? { current } : { current, previous: { ...sets.previous, group } };
}
