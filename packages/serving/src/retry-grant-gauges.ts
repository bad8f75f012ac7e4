/** Gauges of the retries that the allocators of a daemon grant. */
import type { MetricRegistry } from '@woodbarrow/observability';
import type { RetryGrantTotals } from '@woodbarrow/quota';

/** Adds the gauges, by service. */
export function addRetryGrantGauges(registry: MetricRegistry, totals: () => RetryGrantTotals): void {
  registry.gauge(
    'woodbarrow_retries_granted',
    'Retries that the allocators of this daemon have granted, by service.',
    () => totals().granted,
    'service',
  );
  registry.gauge(
    'woodbarrow_retry_pool_requests',
    'Requests that daemons handed over to the allocators of this daemon as they had too few to earn a retry, by service.',
    () => totals().pooledRequests,
    'service',
  );
}
