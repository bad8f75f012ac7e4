/** What a daemon needs from the outside: the real thing, or a simulation of it. */
import type { EventLog } from '@woodbarrow/observability';
import type { Clock, HttpClient, HttpServer, Random, ServeHttpOptions, Transport } from '@woodbarrow/runtime';

/** The seams of a daemon. */
export interface DaemonEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly http: HttpClient;
  /** Starts an HTTP server. */
  readonly serveHttp: (options: ServeHttpOptions) => Promise<HttpServer>;
  readonly log: EventLog;
}
