/** Metrics of a serving daemon. */
import { MetricRegistry, type BoundedLog, type Counter, type Histogram } from '@woodbarrow/observability';

/** What the gauges read. */
export interface MetricSources {
  readonly configurationVersion: () => number;
  readonly backEndsByService: () => ReadonlyMap<string, number>;
  readonly peersPresent: () => number;
  readonly requestsInProgress: () => number;
  readonly zonesHeld: () => ReadonlyMap<string, number>;
  readonly connectionsOpened: () => number;
  readonly storeCalls: () => ReadonlyMap<string, number>;
  readonly callFailures: () => ReadonlyMap<string, number>;
  readonly log: BoundedLog;
}

/** Counters and histograms that the daemon's parts write, and gauges that are read when asked for. */
export class ServingMetrics {
  private readonly registry = new MetricRegistry();
  private readonly requests: Counter;
  private readonly decisions: Counter;
  private readonly durations: Histogram;

  constructor(sources: MetricSources) {
    const { registry } = this;
    this.requests = registry.counter('woodbarrow_requests_total', 'Ended requests, by outcome.');
    this.decisions = registry.counter('woodbarrow_request_decisions_total', 'Decisions on requests.');
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
      'woodbarrow_back_end_connections',
      'Connections opened to back ends since the start.',
      sources.connectionsOpened,
    );
    registry.gauge(
      'woodbarrow_store_calls',
      'Calls to the store since the start, by operation, kind of record and outcome.',
      sources.storeCalls,
      'call',
    );
    registry.gauge(
      'woodbarrow_call_failures',
      'Calls to other daemons that failed since the start, by kind.',
      sources.callFailures,
      'call',
    );
    registry.gauge(
      'woodbarrow_log_lines_dropped',
      'Log lines left out since the start.',
      () => new Map(Object.entries(sources.log.dropped)),
      'reason',
    );
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  /** Counts a decision on a request. */
  decided(decision: string): void {
    this.decisions.add({ decision });
  }

  /** Counts the end of a request. @param durationMs From its arrival. */
  ended(outcome: string, durationMs: number): void {
    this.requests.add({ outcome });
    this.durations.observe({ outcome }, durationMs / 1000);
  }

  /** All metrics as text. */
  render(): string {
    return this.registry.render();
  }
}
