/** External dependencies of a daemon, real or simulated. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock, HttpClient, HttpServer, Random, ServeHttpOptions, Transport } from '@woodbarrow/runtime';

/** Clock, randomness, network and log that a daemon uses. */
export interface DaemonEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly http: HttpClient;
  /** Starts an HTTP server. Rejects if the address cannot be bound. */
  readonly serveHttp: (options: ServeHttpOptions) => Promise<HttpServer>;
  readonly log: EventLog;
}
