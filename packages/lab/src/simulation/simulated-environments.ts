/** Simulated clocks, sockets and logs for daemons. */
import type { DaemonEnvironment } from '@woodbarrow/daemon';
import { silentLog, type EventLog } from '@woodbarrow/observability';
import type {
  HttpClient,
  HttpServer,
  Random,
  ServeHttpOptions,
  SimulatedHttpHub,
  SimulatedProcess,
  SimulatedTransportHub,
} from '@woodbarrow/runtime';

/** Estimated size of the headers of a request and its response together. */
const HEADER_BYTES_ESTIMATE = 300;
const COMPLETION_PREFIX = '/v1/';

/** Creates the environments of one deployment's daemons. */
export class SimulatedEnvironments {
  /** Bytes of HTTP requests and responses by daemon, without completions; header sizes are estimates. */
  readonly controlHttpBytes = new Map<string, number>();

  constructor(
    private readonly http: SimulatedHttpHub,
    private readonly transports: SimulatedTransportHub,
  ) {}

  /** Returns the environment of the daemon that runs in `process`. */
  environmentOf(process: SimulatedProcess, random: Random): DaemonEnvironment {
    return {
      clock: process,
      random,
      transport: this.transports.transportOf(process),
      http: this.countingClient(process),
      serveHttp: (options) => this.serveHttp(process, options),
      log: traceLogOf(process),
    };
  }

  private countingClient(process: SimulatedProcess): HttpClient {
    const client = this.http.clientOf(process);
    return {
      send: async (call) => {
        const response = await client.send(call);
        if (call.path.startsWith(COMPLETION_PREFIX)) return response;
        const responseBytes = response.body instanceof Uint8Array ? response.body.byteLength : 0;
        const bytes = (call.body?.byteLength ?? 0) + responseBytes + HEADER_BYTES_ESTIMATE;
        this.controlHttpBytes.set(process.name, (this.controlHttpBytes.get(process.name) ?? 0) + bytes);
        return response;
      },
    };
  }

  private serveHttp(process: SimulatedProcess, options: ServeHttpOptions): Promise<HttpServer> {
    const origin = `http://${options.address}`;
    const stop = this.http.serve(origin, process, options.handler);
    return Promise.resolve({
      address: options.address,
      activeRequests: () => this.http.activeRequests(origin),
      stopAccepting: stop,
      close: () => {
        stop();
        return Promise.resolve();
      },
    });
  }
}

/** Returns a log that writes changes and warnings to the trace of the simulation. */
function traceLogOf(process: SimulatedProcess): EventLog {
  const write = (event: string, details?: Readonly<Record<string, unknown>>): void => {
    process.world.record(`${process.name} ${event} ${JSON.stringify(details ?? {})}`);
  };
  return { ...silentLog, changed: write, warned: write };
}
