/** In-memory HTTP for simulations, subject to network latency, blocked paths and process crashes. */
import { AsyncQueue } from './async-queue.js';
import {
  CONNECT_TIMEOUT_MS,
  HttpNotSentError,
  type HttpCall,
  type HttpClient,
  type HttpHandler,
  type HttpResponse,
} from './http.js';
import type { SimulatedProcess } from './simulated-clock.js';
import { SimulatedPipe, type SimulatedNetwork } from './simulated-network.js';

interface ServerEntry {
  readonly process: SimulatedProcess;
  readonly handler: HttpHandler;
  /** Number of requests whose response is neither complete nor failed. */
  active: number;
}

type ServerItem =
  | { readonly type: 'head'; readonly response: HttpResponse }
  | { readonly type: 'chunk'; readonly chunk: Uint8Array }
  | { readonly type: 'end' }
  | { readonly type: 'failure'; readonly message: string };

type ClientItem = { readonly type: 'request' } | { readonly type: 'abort' };

const EMPTY_BODY = new Uint8Array(0);

/** Registry of the HTTP servers of a simulation by origin. */
export class SimulatedHttpHub {
  private readonly servers = new Map<string, ServerEntry>();

  constructor(readonly network: SimulatedNetwork) {}

  /** Serves `handler` at `origin` until `process` is killed; returns a function that unregisters it. */
  serve(origin: string, process: SimulatedProcess, handler: HttpHandler): () => void {
    const entry: ServerEntry = { process, handler, active: 0 };
    this.servers.set(origin, entry);
    const remove = (): void => {
      if (this.servers.get(origin) === entry) this.servers.delete(origin);
    };
    process.onKill(remove);
    return remove;
  }

  /** Returns the number of requests at `origin` whose response is not yet complete. */
  activeRequests(origin: string): number {
    return this.servers.get(origin)?.active ?? 0;
  }

  /** Returns the HTTP client of one process. */
  clientOf(process: SimulatedProcess): HttpClient {
    return { send: (call) => this.send(process, call) };
  }

  private send(from: SimulatedProcess, call: HttpCall): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const entry = this.servers.get(call.origin);
      if (call.signal?.aborted) {
        reject(new HttpNotSentError('aborted before sending'));
        return;
      }
      if (entry === undefined) {
        from.schedule(1, () => {
          reject(new HttpNotSentError(`connection refused: ${call.origin}`));
        });
        return;
      }
      const to = entry.process;
      if (this.network.isCut(from, to) || this.network.isCut(to, from)) {
        from.schedule(Math.min(CONNECT_TIMEOUT_MS, call.timeoutMs ?? CONNECT_TIMEOUT_MS), () => {
          reject(new HttpNotSentError(`connection timed out: ${call.origin}`));
        });
        return;
      }
      new SimulatedExchange(this.network, from, entry, call, resolve, reject).start();
    });
  }
}

/** One request and its response. */
class SimulatedExchange {
  private readonly chunks = new AsyncQueue<Uint8Array>();
  private readonly clientDisconnected = new AbortController();
  private readonly toServer: SimulatedPipe<ClientItem>;
  private readonly toClient: SimulatedPipe<ServerItem>;
  private headReceived = false;
  private finished = false;
  private cancelTimeout: () => void = () => undefined;

  constructor(
    network: SimulatedNetwork,
    private readonly from: SimulatedProcess,
    private readonly server: ServerEntry,
    private readonly call: HttpCall,
    private readonly resolve: (response: HttpResponse) => void,
    private readonly reject: (error: Error) => void,
  ) {
    this.toServer = new SimulatedPipe<ClientItem>(network, from, server.process, {
      onItem: (item) => {
        if (item.type === 'request') void this.serve();
        else this.clientDisconnected.abort();
      },
      onEnd: () => {
        this.clientDisconnected.abort();
      },
    });
    this.toClient = new SimulatedPipe<ServerItem>(network, server.process, from, {
      onItem: (item) => {
        this.receive(item);
      },
      onEnd: () => {
        this.fail(new Error('connection reset'));
      },
    });
  }

  start(): void {
    this.server.active += 1;
    const { signal, timeoutMs } = this.call;
    const onAbort = (): void => {
      this.toServer.send({ type: 'abort' });
      this.fail(new Error('aborted'));
    };
    signal?.addEventListener('abort', onAbort, { once: true });
    if (timeoutMs !== undefined) {
      this.cancelTimeout = this.from.schedule(timeoutMs, () => {
        if (this.headReceived) return;
        this.toServer.send({ type: 'abort' });
        this.fail(new Error(`no response within ${String(timeoutMs)} ms`));
      });
    }
    const stopWatchingServer = this.server.process.onKill(() => {
      this.from.schedule(1, () => {
        this.fail(new Error('connection reset'));
      });
    });
    const stopWatchingClient = this.from.onKill(() => {
      this.server.process.schedule(1, () => {
        this.clientDisconnected.abort();
      });
    });
    this.cleanup = () => {
      stopWatchingServer();
      stopWatchingClient();
      signal?.removeEventListener('abort', onAbort);
    };
    this.toServer.send({ type: 'request' });
  }

  private cleanup: () => void = () => undefined;

  private async serve(): Promise<void> {
    try {
      const response = await this.server.handler({
        method: this.call.method,
        path: this.call.path,
        headers: this.call.headers ?? {},
        body: this.call.body ?? EMPTY_BODY,
        signal: this.clientDisconnected.signal,
      });
      this.toClient.send({ type: 'head', response });
      if (response.body instanceof Uint8Array) return;
      for await (const chunk of response.body) {
        if (this.clientDisconnected.signal.aborted) return;
        this.toClient.send({ type: 'chunk', chunk });
      }
      this.toClient.send({ type: 'end' });
    } catch (error) {
      this.toClient.send({ type: 'failure', message: String(error) });
    }
  }

  private receive(item: ServerItem): void {
    if (this.finished) return;
    switch (item.type) {
      case 'head': {
        this.headReceived = true;
        this.cancelTimeout();
        const { status, headers, body } = item.response;
        if (body instanceof Uint8Array) this.finish();
        this.resolve({ status, headers, body: body instanceof Uint8Array ? body : this.chunks });
        return;
      }
      case 'chunk':
        this.chunks.push(item.chunk);
        return;
      case 'end':
        this.finish();
        this.chunks.close();
        return;
      case 'failure':
        this.fail(new Error(item.message));
    }
  }

  private finish(): void {
    this.finished = true;
    this.server.active -= 1;
    this.cancelTimeout();
    this.cleanup();
  }

  private fail(error: Error): void {
    if (this.finished) return;
    this.finish();
    if (this.headReceived) this.chunks.close(error);
    else this.reject(error);
  }
}
