/** Metrics that a serving daemon exports. */
import type { BackendAccessTotals } from './backend-access.js';
import { addRetryGrantGauges } from './retry-grant-gauges.js';
import type { PaceTotals } from '@woodbarrow/backends';
import type { LoadQuarantineTotals, QuarantineTotals } from '@woodbarrow/quarantine';
import { addAdmissionGauges } from './admission-gauges.js';
import type { AdmissionTotals, DispatchTotals, NoticeTotals, UnreadTotals } from '@woodbarrow/forwarding';
import type {
  AllocatorUsage,
  GateUsage,
  PermitTotals,
  RetryGrantTotals,
  ShareLoanTotals,
  UnitCounts,
} from '@woodbarrow/quota';
import type {
  ReplicaCounts,
  ResidencyService,
  StoreScheduleTotals,
  UnservedDemands,
} from '@woodbarrow/residency';
import type { StreamOriginTotals } from '@woodbarrow/streams';
import { MetricRegistry, type BoundedLog, type Counter, type Histogram } from '@woodbarrow/observability';

/** Maximum number of tenants listed in each metric. */
const MAX_REPORTED_TENANTS = 50;

/** Callbacks that supply the values of the gauges. */
export interface MetricSources {
  readonly configurationVersion: () => number;
  readonly backEndsByService: () => ReadonlyMap<string, number>;
  /** Back ends known, by `service/version` of their software. */
  readonly backEndsByVersion: () => ReadonlyMap<string, number>;
  readonly peersPresent: () => number;
  readonly requestsInProgress: () => number;
  readonly zonesHeld: () => ReadonlyMap<string, number>;
  /** Zones acquired since the start, by the evidence that determined the pause before the first order. */
  readonly handoverPauses: () => ReadonlyMap<string, number>;
  /** Orders to workers whose outcome was unknown, and those of them that were settled, by how. */
  readonly uncertainOrders: () => ReadonlyMap<string, number>;
  readonly connectionsOpened: () => number;
  readonly storeCalls: () => ReadonlyMap<string, number>;
  /** Era of the store in its last response. */
  readonly storeEra: () => number;
  readonly callFailures: () => ReadonlyMap<string, number>;
  readonly invalidRecords: () => ReadonlyMap<string, number>;
  readonly unmatchedAnswers: () => ReadonlyMap<string, number>;
  /** Unserved demands of the zones coordinated here, by zone. */
  readonly unserved: () => ReadonlyMap<string, UnservedDemands>;
  /** Additional replicas decided and loaded for the zones coordinated here. */
  readonly replicas: () => ReplicaCounts;
  readonly storeSchedule: () => StoreScheduleTotals;
  readonly quarantine: () => QuarantineTotals;
  /** Prompt parts for which requests are refused. */
  readonly quarantinedParts: () => number;
  readonly loadQuarantine: () => LoadQuarantineTotals;
  readonly notices: () => NoticeTotals;
  readonly permits: () => PermitTotals;
  /** Streams whose origin this daemon knows. */
  /** Writes of the origins of streams to the store, and streams in the last of them. */
  readonly streamOriginRecords: () => { readonly writes: number; readonly streams: number };
  readonly streamOrigins: () => StreamOriginTotals;
  /** Queue of requests that wait for room on a worker. */
  readonly dispatch: () => DispatchTotals;
  /** Shares of back ends lent between daemons. */
  readonly loans: () => ShareLoanTotals;
  /** Answers that clients have not read. */
  readonly unread: () => UnreadTotals;
  readonly admission: () => AdmissionTotals;
  readonly paces: () => PaceTotals;
  /** Direct paths to the back ends, and relays. */
  readonly access: () => BackendAccessTotals;
  /** Units of limited tenants used and refused at this daemon, by tenant. */
  readonly quotaUse: () => ReadonlyMap<string, GateUsage>;
  /** Units granted and refused at this daemon, by `tenant/priority`; empty without contended capacity. */
  readonly quotaUseByPriority: () => ReadonlyMap<string, UnitCounts>;
  /** Units granted by the quota allocators that run here, by tenant. */
  readonly quotaGranted: () => ReadonlyMap<string, AllocatorUsage>;
  /** Retries granted by the allocators that run here, by service. */
  readonly retryGrants: () => RetryGrantTotals;
  readonly log: BoundedLog;
}

/** Returns the sources that a daemon's residency service provides. */
export function residencyMetrics(
  residency: ResidencyService,
): Pick<
  MetricSources,
  'zonesHeld' | 'handoverPauses' | 'uncertainOrders' | 'unserved' | 'replicas' | 'storeSchedule'
> {
  return {
    zonesHeld: () => residency.fencesHeld(),
    handoverPauses: () => residency.counters.handoverPauses,
    uncertainOrders: () => residency.counters.uncertainOrders.totals,
    unserved: () => residency.unserved(),
    replicas: () => residency.replicaCounts(),
    storeSchedule: () => residency.storeScheduleTotals(),
  };
}

/** Counters and histograms that the daemon updates, and gauges that are read when metrics are rendered. */
export class ServingMetrics {
  private readonly registry = new MetricRegistry();
  private readonly requests: Counter;
  private readonly decisions: Counter;
  private readonly retries: Counter;
  private readonly silentAnswers: Counter;
  private readonly refusedResumes: Counter;
  private readonly takeUps: Counter;
  private readonly durations: Histogram;

  constructor(sources: MetricSources) {
    const { registry } = this;
    this.requests = registry.counter('woodbarrow_requests_total', 'Ended requests, by outcome.');
    this.decisions = registry.counter('woodbarrow_request_decisions_total', 'Decisions on requests.');
    this.retries = registry.counter(
      'woodbarrow_retries_total',
      'Retries considered, by service and by where the retry comes from (earned, granted, first_member) or why it was withheld (used_up, allocator_starting, no_allocator).',
    );
    this.silentAnswers = registry.counter(
      'woodbarrow_silent_answers_total',
      'Answers without data for which another run was sought, by how the wait ended (ready, replaced, process_ended, expired).',
    );
    this.refusedResumes = registry.counter(
      'woodbarrow_take_ups_refused_total',
      'Answers that could not go on with a stream, by reason.',
    );
    this.takeUps = registry.counter(
      'woodbarrow_stream_take_ups_total',
      'Streams that clients took up, by where their software version was known from, or by the reason of the refusal.',
    );
    this.durations = registry.histogram(
      'woodbarrow_request_seconds',
      'Time from the arrival of a request to its end, by outcome.',
    );
    registry.gauge(
      'woodbarrow_configuration_version',
      'Version of the configuration in force; 0 before the first.',
      sources.configurationVersion,
    );
    registry.gauge('woodbarrow_back_ends', 'Back ends known.', sources.backEndsByService, 'service');
    registry.gauge(
      'woodbarrow_back_ends_by_version',
      'Back ends known, by service and version of their software.',
      sources.backEndsByVersion,
      'version',
    );
    registry.gauge('woodbarrow_peers', 'Daemons present, this one included.', sources.peersPresent);
    registry.gauge(
      'woodbarrow_requests_in_progress',
      'Requests not yet answered.',
      sources.requestsInProgress,
    );
    registry.gauge(
      'woodbarrow_lease_fence',
      'Fence of each zone coordinated here.',
      sources.zonesHeld,
      'zone',
    );
    registry.gauge(
      'woodbarrow_lease_pauses',
      'Zones acquired since the start, by what determined the pause before the first order.',
      sources.handoverPauses,
      'reason',
    );
    registry.gauge(
      'woodbarrow_stream_origin_records',
      'Writes of the origins of streams to the store since the start, and streams in the last of them.',
      () => new Map(Object.entries(sources.streamOriginRecords())),
      'of',
    );
    registry.gauge(
      'woodbarrow_uncertain_orders',
      'Orders to workers whose outcome was unknown, and those of them that were settled, since the start.',
      sources.uncertainOrders,
      'state',
    );
    registry.gauge(
      'woodbarrow_back_end_connections',
      'Connections opened to back ends since the start.',
      sources.connectionsOpened,
    );
    registry.gauge(
      'woodbarrow_store_era',
      'Era of the store as its answers last told: it rises when the store is restored from a copy.',
      sources.storeEra,
    );
    registry.gauge(
      'woodbarrow_store_calls',
      'Calls to the store since the start, by operation, kind of record and outcome.',
      sources.storeCalls,
      'call',
    );
    registry.gauge(
      'woodbarrow_invalid_records',
      'Records of the store that could not be decoded, as often as they were read, by kind.',
      sources.invalidRecords,
      'kind',
    );
    registry.gauge(
      'woodbarrow_unmatched_answers',
      'Answers of back ends since the start that did not name the call in progress on their connection: repeated, other_call, no_call, or sole (the only answer of its connection, and used).',
      sources.unmatchedAnswers,
      'match',
    );
    registry.gauge(
      'woodbarrow_call_failures',
      'Calls to other daemons that failed since the start, by kind.',
      sources.callFailures,
      'call',
    );
    addRetryGrantGauges(registry, sources.retryGrants);
    this.addUnservedGauges(sources);
    this.addStoreScheduleGauges(sources);
    this.addQuarantineGauges(sources);
    this.addReplicaGauges(sources);
    this.addNoticeGauges(sources);
    this.addDispatchGauge(sources);
    this.addUnreadGauges(sources);
    this.addQuotaGauges(sources);
    addAdmissionGauges(this.registry, sources);
    this.addPaceGauges(sources);
    this.addPathGauges(sources);
    this.addStreamGauges(sources);
    registry.gauge(
      'woodbarrow_share_loans',
      'Requests at back ends that others let this daemon run now, that it lets others run, and loans received since the start.',
      () => new Map(Object.entries(sources.loans())),
      'of',
    );
    registry.gauge(
      'woodbarrow_log_lines_dropped',
      'Log lines left out since the start.',
      () => new Map(Object.entries(sources.log.dropped)),
      'reason',
    );
  }

  private addStreamGauges({ streamOrigins }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_stream_origins',
      'Streams whose origin is known here, begun here or kept for other daemons.',
      () => streamOrigins().streams,
    );
    registry.gauge(
      'woodbarrow_stream_origins_dropped',
      'Streams whose origin was not stored since the start, as there were too many.',
      () => streamOrigins().dropped,
    );
  }

  private addUnservedGauges({ unserved }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_unserved_models',
      'Models that are asked for in vain now, by zone coordinated here.',
      () => byZone(unserved(), ({ models }) => models),
      'zone',
    );
    registry.gauge(
      'woodbarrow_unserved_longest_seconds',
      'Time since the longest unserved model was first asked for in vain.',
      () => byZone(unserved(), ({ longestMs }) => longestMs / 1000),
      'zone',
    );
    registry.gauge(
      'woodbarrow_no_place',
      'Quotes and demands for which no worker could make room since the start, by cause.',
      () => sumByKey([...unserved().values()].map(({ noPlaceByCause }) => noPlaceByCause)),
      'cause',
    );
    registry.gauge(
      'woodbarrow_demands_refused',
      'Demands for models turned down since the start, by reason.',
      () => sumByKey([...unserved().values()].map(({ refusalsByReason }) => refusalsByReason)),
      'reason',
    );
  }

  private addReplicaGauges({ replicas }: MetricSources): void {
    this.registry.gauge(
      'woodbarrow_replicas_wanted',
      'Additional replicas that coordinators here decided on since the start, by reason.',
      () => replicas().decided,
      'reason',
    );
    this.registry.gauge(
      'woodbarrow_replicas_loaded',
      'Additional replicas that were decided on here and have been loaded since the start.',
      () => replicas().loaded,
    );
  }

  private addStoreScheduleGauges({ storeSchedule }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_store_scheduler',
      'Whether this daemon schedules the loads from the weight store: 1 or 0.',
      () => (storeSchedule().isScheduler ? 1 : 0),
    );
    registry.gauge(
      'woodbarrow_store_load_grants',
      'Loads from the weight store that this daemon has granted since the start, by kind.',
      () => storeSchedule().grantsByKind,
      'kind',
    );
    registry.gauge(
      'woodbarrow_store_loads_ahead',
      'Loads ahead of demand started in the zones coordinated here.',
      () => storeSchedule().loadsAhead,
    );
    registry.gauge(
      'woodbarrow_store_link_capacity',
      'Measured number of loads that the link to the weight store carries at full speed, by zone coordinated here.',
      () => storeSchedule().linkCapacity,
      'zone',
    );
  }

  private addNoticeGauges({ notices, permits }: MetricSources): void {
    this.registry.gauge(
      'woodbarrow_send_permits',
      'Requests for back ends at a rate limit since the start, by what the granter said.',
      () => new Map(Object.entries(permits())),
      'outcome',
    );
    this.registry.gauge(
      'woodbarrow_back_end_notices',
      'Back ends that name a rate limit now, and that are left alone as they asked for a pause; answers that named one, that said that their back end leaves, that asked for a pause, and words that mean nothing.',
      () => new Map(Object.entries(notices())),
      'of',
    );
  }

  private addPathGauges({ access }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_paths_lost',
      'Back ends to which the direct path of this daemon is lost.',
      () => access().paths.lost,
    );
    registry.gauge(
      'woodbarrow_back_ends_unreachable',
      '1 while this daemon reaches no back end over its own connections, otherwise 0.',
      () => (access().paths.isolated ? 1 : 0),
    );
    registry.gauge(
      'woodbarrow_path_probes',
      'Probes of direct paths since the start, by result.',
      () => access().paths.probes,
      'result',
    );
    registry.gauge(
      'woodbarrow_requests_sent_by_relay',
      'Requests sent by way of other daemons since the start, by outcome.',
      () => access().sentByRelay,
      'outcome',
    );
    registry.gauge(
      'woodbarrow_relays_in_progress',
      'Requests that this daemon relays for others now.',
      () => access().relayed.inProgress,
    );
    registry.gauge(
      'woodbarrow_relays_accepted',
      'Requests that this daemon has relayed for others since the start.',
      () => access().relayed.accepted,
    );
    registry.gauge(
      'woodbarrow_relays_refused',
      'Requests that this daemon did not relay for others since the start, by reason.',
      () => access().relayed.refused,
      'reason',
    );
  }

  private addDispatchGauge({ dispatch }: MetricSources): void {
    this.registry.gauge(
      'woodbarrow_dispatch_queue',
      'Requests that wait for room on a worker now; since the start, requests that waited, that were refused as all workers were full, and that were sent to a full worker when their time was nearly up.',
      () => new Map(Object.entries(dispatch())),
      'of',
    );
  }

  private addUnreadGauges({ unread }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_unread_answer_bytes',
      'Bytes of answers that wait in memory for their clients to read.',
      () => unread().bytes,
    );
    registry.gauge(
      'woodbarrow_unread_answers_paused',
      'Answers of which no more is read from the worker until their clients have read.',
      () => unread().paused,
    );
    registry.gauge(
      'woodbarrow_unread_answers_ended',
      'Answers ended since the start because their clients did not read and the memory for unread answers was used up.',
      () => unread().ended,
    );
  }

  private addPaceGauges({ paces }: MetricSources): void {
    this.registry.gauge('woodbarrow_paced_workers', 'Workers whose pace is known.', () => paces().known);
    this.registry.gauge(
      'woodbarrow_worker_pace',
      'Pace of the fastest and of the slowest worker; 1 is the usual pace, 2 if work takes twice as long.',
      () => {
        const { fastest, slowest } = paces();
        return new Map(Object.entries({ fastest, slowest }));
      },
      'of',
    );
  }

  private addQuotaGauges({ quotaUse, quotaUseByPriority, quotaGranted }: MetricSources): void {
    const { registry } = this;
    registry.gauge(
      'woodbarrow_tenant_used_units',
      'Units of limited tenants that requests of this daemon have used since the start.',
      () => largestByTenant(quotaUse(), ({ used }) => used),
      'tenant',
    );
    registry.gauge(
      'woodbarrow_tenant_refused_units',
      'Units of limited tenants that were asked for beyond their limits since the start.',
      () => largestByTenant(quotaUse(), ({ refused }) => refused),
      'tenant',
    );
    registry.gauge(
      'woodbarrow_tenant_priority_granted_units',
      'Units granted to requests of this daemon since the start, by tenant and priority, where units are divided among priorities.',
      () => largestByTenant(quotaUseByPriority(), ({ granted }) => granted),
      'tenant_priority',
    );
    registry.gauge(
      'woodbarrow_tenant_priority_refused_units',
      'Units refused to requests of this daemon since the start, by tenant and priority, where units are divided among priorities.',
      () => largestByTenant(quotaUseByPriority(), ({ refused }) => refused),
      'tenant_priority',
    );
    registry.gauge(
      'woodbarrow_tenant_granted_units',
      'Units of limited tenants that this daemon has handed out for the zones coordinated here.',
      () => largestByTenant(quotaGranted(), ({ granted }) => granted),
      'tenant',
    );
  }

  private addQuarantineGauges({ quarantine, quarantinedParts, loadQuarantine }: MetricSources): void {
    this.registry.gauge(
      'woodbarrow_prompt_parts_quarantined',
      'Prompt parts for which requests are refused, as they crash workers.',
      quarantinedParts,
    );
    this.registry.gauge(
      'woodbarrow_quarantine',
      'Pairs of a content and a process that ended under it, contents with such processes, contents that are refused, contents that have had all their trials; since the start, requests that waited for the trial of a prompt part, ended runs whose process lived on, ended, or is unknown, and checks of processes for them.',
      () => new Map(Object.entries(quarantine())),
      'of',
    );
    this.registry.gauge(
      'woodbarrow_load_quarantine',
      'Models and adapters that workers ended under, those that are not loaded any more, demands refused for it since the start.',
      () => new Map(Object.entries(loadQuarantine())),
      'of',
    );
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  /** Counts a decision on a request. */
  countDecision(decision: string): void {
    this.decisions.add({ decision });
  }

  /** Counts a retry that needed the retry budget. @param outcome Where it comes from, or why it was withheld. */
  countRetry(service: string, outcome: string): void {
    this.retries.add({ service, outcome });
  }

  /** Counts a response that could not resume a stream. */
  countRefusedResume(reason: string): void {
    this.refusedResumes.add({ reason });
  }

  /** Counts a silent answer. @param end How the wait for it ended. */
  countSilentAnswer(end: string): void {
    this.silentAnswers.add({ end });
  }

  /** Counts a stream that a client took up. @param result Where its version was known from, or why it was refused. */
  countTakeUp(result: string): void {
    this.takeUps.add({ result });
  }

  /** Counts a finished request. @param durationMs Time since its arrival. */
  recordRequestEnd(outcome: string, durationMs: number): void {
    this.requests.add({ outcome });
    this.durations.observe({ outcome }, durationMs / 1000);
  }

  /** Returns all metrics in the text format given by `contentType`. */
  render(): string {
    return this.registry.render();
  }
}

function byZone(
  zones: ReadonlyMap<string, UnservedDemands>,
  value: (unserved: UnservedDemands) => number,
): ReadonlyMap<string, number> {
  return new Map([...zones].map(([zone, unserved]) => [zone, value(unserved)]));
}

/** Returns the tenants with the largest values: a deployment may have thousands. */
function largestByTenant<T>(
  tenants: ReadonlyMap<string, T>,
  value: (use: T) => number,
): ReadonlyMap<string, number> {
  const figures = [...tenants].map(([tenant, use]) => [tenant, Math.round(value(use))] as const);
  return new Map(figures.sort(([, left], [, right]) => right - left).slice(0, MAX_REPORTED_TENANTS));
}

function sumByKey(counts: readonly ReadonlyMap<string, number>[]): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const count of counts) {
    for (const [key, value] of count) sums.set(key, (sums.get(key) ?? 0) + value);
  }
  return sums;
}
