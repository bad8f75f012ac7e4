/** Metrics of a daemon's parts, as served under `/metrics`. */
import type { Metrics } from '@woodbarrow/observability';
import type { TrafficCounters } from '@woodbarrow/peering';
import type { PlatformClient } from '@woodbarrow/object-store';
import type { JobService } from '@woodbarrow/gateway';
import type { Daemon } from './daemon.js';

/** Registers the counters of all parts. They are read whenever metrics are rendered. */
export function registerMetrics(
  metrics: Metrics,
  daemon: Daemon,
  platform: PlatformClient,
  jobs: JobService,
): void {
  const { membership, engines, router, coordinator, relay, store, ledger, queues, completions, peers } =
    daemon;
  metrics.addSource('membership', () => ({ ...membership.counters, present: membership.present().length }));
  metrics.addSource('router', () => ({ ...router.counters }));
  metrics.addSource('engines', () => ({ ...engines.counters }));
  metrics.addSource('coordinator', () => ({ ...coordinator.counters, active: Number(coordinator.isActive) }));
  metrics.addSource('configuration', () => ({ ...relay.counters, revision: store.revision }));
  metrics.addSource('platform', () => ({ ...platform.counters }));
  metrics.addSource('claims', () => ({ keys: ledger.size }));
  metrics.addSource('queues', () => ({ waiting: queues.waiting }));
  metrics.addSource('requests', () => ({
    active: completions.active,
    jobs: jobs.active,
    storedJobs: jobs.stored,
  }));
  metrics.addSource('peers', () => trafficTotals(peers.traffic));
}

function trafficTotals(traffic: TrafficCounters): Record<string, number> {
  const totals: Record<string, number> = {};
  for (const [name, value] of Object.entries(traffic)) {
    if (typeof value === 'number') totals[name] = value;
  }
  return totals;
}
