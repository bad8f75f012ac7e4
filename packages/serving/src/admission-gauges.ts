/** Metrics of a daemon that refuses requests while it is saturated. */
import type { AdmissionTotals } from '@woodbarrow/forwarding';
import type { MetricRegistry } from '@woodbarrow/observability';

/** Registers the gauges. */
export function addAdmissionGauges(
  registry: MetricRegistry,
  { admission }: { readonly admission: () => AdmissionTotals },
): void {
  registry.gauge(
    'woodbarrow_event_loop_delay_milliseconds',
    'Least delay of the event loop in the last 0.3 s.',
    () => admission().standingDelayMs,
  );
  registry.gauge(
    'woodbarrow_admitted_share',
    'Share of the arrivals that this daemon admits; below 1 while it is saturated.',
    () => admission().admittedShare,
  );
  registry.gauge(
    'woodbarrow_requests_shed',
    'Requests refused since the start because this daemon was saturated, by the priority of their route.',
    () => admission().refusedByPriority,
    'priority',
  );
}
