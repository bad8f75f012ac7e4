/** Health and metrics endpoints of the operators' listener, which need no token. */
import type { Metrics } from '@woodbarrow/observability';
import { encodeText, jsonResponse, type HttpHandler } from '@woodbarrow/runtime';

/** Sources of the health and metrics endpoints. */
export interface HealthSources {
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
}

/** Wraps a handler: serves `/healthz`, `/readyz` and `/metrics`, and passes other requests to `next`. */
export function withHealth(next: HttpHandler, sources: HealthSources): HttpHandler {
  return async (request) => {
    switch (request.path) {
      case '/healthz':
        return jsonResponse(200, { alive: true });
      case '/readyz': {
        const ready = sources.isReady();
        return jsonResponse(ready ? 200 : 503, { ready });
      }
      case '/metrics':
        return {
          status: 200,
          headers: { 'content-type': sources.metrics.contentType },
          body: encodeText(await sources.metrics.render()),
        };
      default:
        return next(request);
    }
  };
}
