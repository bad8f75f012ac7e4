/** HTTP endpoint on which a daemon exports its metrics. */
import { NodeIngress, encodeText, type IngressLimits } from '@woodbarrow/runtime';
import type { ServingMetrics } from './serving-metrics.js';
import type { ServingSettings } from './serving-settings.js';

/** Starts the endpoint; all other paths are answered with 404. Rejects if the address cannot be bound. */
export function listenForMetrics(
  endpoint: NonNullable<ServingSettings['metrics']>,
  limits: IngressLimits,
  metrics: ServingMetrics,
): Promise<NodeIngress> {
  return NodeIngress.listen(endpoint.address, limits, (exchange) => {
    const isMetricsPath = exchange.target === endpoint.path;
    const headers = isMetricsPath ? ['Content-Type', metrics.contentType] : [];
    exchange.respond(
      { status: isMetricsPath ? 200 : 404, headers },
      encodeText(isMetricsPath ? metrics.render() : ''),
    );
    return Promise.resolve();
  });
}
