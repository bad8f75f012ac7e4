/** In-memory exchanges, back ends and dialect for forwarding tests in virtual time. */
import {
  BackendDirectory,
  LoadTracker,
  NO_NEARBY_COPIES,
  RunTimes,
  WorkerPaces,
  type BackEnd,
  type EngineDefinition,
  type ModelTarget,
  type ServiceDefinition,
} from '@woodbarrow/backends';
import {
  HttpNotSentError,
  Random,
  SimulatedProcess,
  SimulatedWorld,
  encodeText,
  type BackendResponse,
  type BackendCall,
  type BackendClient,
  type Clock,
  type IncomingExchange,
  type ResponseHead,
  type ResponseStream,
} from '@woodbarrow/runtime';
import {
  RequestQuarantine,
  isVerdict,
  type ProbeResult,
  type QuarantineRecord,
} from '@woodbarrow/quarantine';
import { silentLog } from '@woodbarrow/observability';
import {
  BackendHealth,
  BackendNotices,
  ConfigurationHolder,
  ConnectionShare,
  DispatchQueue,
  EMPTY_NOTICE,
  UNLIMITED_PERMIT,
  Forwarder,
  PlainSelector,
  PromptAffinity,
  RetryBudget,
  ReplicaSelector,
  noopJournal,
  type ForwardingContext,
  type ResidencyClient,
  type ResidencyDemand,
  type RequestQuota,
  type RetryAllowance,
  type ResidencyOutcome,
  type Route,
  type UnreadAnswers,
  type SendPermits,
  type WireDialect,
} from '../src/index.js';
import { allowanceOf } from './retry-allowances.js';

/** Virtual time after which an unfinished request fails the test, in milliseconds. */
const MAX_REQUEST_MS = 60_000;

/** Answers the requests to one back end. */
export type BackendScript = (call: BackendCall, world: ForwardingWorld) => Promise<BackendResponse>;

/** Behaviour of a client while it receives an answer. */
export interface ClientBehaviour {
  /** Milliseconds after which the client disconnects; it stays connected when absent. */
  readonly leavesAfterMs?: number | undefined;
  /** Resolves once the client has read a chunk of a stream. */
  readonly drain?: () => Promise<void>;
}

/** Exchange that records its answer. */
export class SimulatedExchange implements IncomingExchange {
  readonly method = 'POST';
  readonly rawHeaders: string[];
  readonly controller = new AbortController();
  status = 0;
  answerHeaders: readonly string[] = [];
  body = '';
  ending: 'open' | 'complete' | 'aborted' = 'open';
  /** Writes that violate the protocol while the client is connected: a second head, or data after the end. */
  readonly unexpectedWrites: string[] = [];

  constructor(
    readonly target: string,
    readonly headers: Record<string, string | undefined>,
    private readonly drain: () => Promise<void> = () => Promise.resolve(),
  ) {
    this.rawHeaders = Object.entries(headers).flatMap(([name, value]) =>
      value === undefined ? [] : [name, value],
    );
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  readBody(): Promise<Uint8Array> {
    return Promise.resolve(encodeText('body'));
  }

  respond(head: ResponseHead, body: Uint8Array): void {
    if (!this.begin(head)) return;
    this.body = Buffer.from(body).toString();
    this.ending = 'complete';
  }

  beginStream(head: ResponseHead): ResponseStream {
    this.begin(head);
    return {
      write: async (chunk) => {
        if (this.isOpenFor('bytes')) this.body += Buffer.from(chunk).toString();
        await this.drain();
      },
      end: () => {
        if (this.isOpenFor('an end')) this.ending = 'complete';
      },
      abort: () => {
        this.abort();
      },
    };
  }

  abort(): void {
    if (this.ending === 'open') this.ending = 'aborted';
  }

  /** Disconnects the client; later writes are ignored. */
  leave(): void {
    this.abort();
    this.controller.abort();
  }

  private begin(head: ResponseHead): boolean {
    if (!this.isOpenFor('a head')) return false;
    if (this.status !== 0) this.unexpectedWrites.push(`a second head of status ${String(head.status)}`);
    this.status = head.status;
    this.answerHeaders = head.headers;
    return true;
  }

  private isOpenFor(what: string): boolean {
    if (this.ending === 'open') return true;
    if (!this.signal.aborted) this.unexpectedWrites.push(`${what} after the end`);
    return false;
  }
}

const dialect: WireDialect = {
  readFacts: (headers) => ({
    id: headers['id'] ?? '',
    ...(headers['wait'] === undefined ? {} : { waitMs: Number(headers['wait']) }),
    ...(headers['model'] === undefined ? {} : { target: toTarget(headers['model']) }),
    ...(headers['resume'] === undefined ? {} : { resumeAfter: headers['resume'] }),
    promptTokens: 100,
    outputTokens: 10,
    hasTokenCounts: false,
    promptParts: [],
    ...(headers['resume'] === undefined ? {} : { resumeAfter: headers['resume'] }),
  }),
  requestHeaders: (received, send) => [
    'left',
    String(send.remainingMs),
    'resume',
    send.resumeAfter ?? valueOf(received, 'resume'),
  ],
  answerHeaders: (received) => [...received],
  ownHeaders: (_id, retryAfterSeconds) =>
    retryAfterSeconds === undefined ? [] : ['retry', String(retryAfterSeconds)],
  judge: (_sent, status) => (status === 503 ? 'not_run' : 'genuine'),
  readNotice: () => EMPTY_NOTICE,
  readLoad: ({ pace }) =>
    pace === undefined ? undefined : { running: 0, waiting: 0, slots: 4, pacePercent: Number(pace) },
};

/** Forwarder with scripted back ends in virtual time. */
export class ForwardingWorld {
  readonly world = new SimulatedWorld();
  readonly process = new SimulatedProcess(this.world, { name: 'd', zone: 'a', region: 'r' });
  readonly directory = new BackendDirectory(this.process);
  readonly loads = new LoadTracker(this.process);
  readonly paces = new WorkerPaces(this.process);
  readonly runTimes = new RunTimes();
  readonly stop = new AbortController();
  readonly calls: BackendCall[] = [];
  readonly demands: ResidencyDemand[] = [];
  /** Causes of refusals from the journal. */
  readonly refusals: string[] = [];
  /** Answers demands; refuses them at once by default. */
  residency: (demand: ResidencyDemand) => Promise<ResidencyOutcome> = () =>
    Promise.resolve({ held: false, retryAfterMs: 700, reason: 'none' });
  readonly forwarder: Forwarder;
  private readonly configuration = new ConfigurationHolder();
  readonly scripts = new Map<string, BackendScript>();
  /** Result of probing whether the process of a back end runs. */
  probe: (backEnd: BackEnd) => ProbeResult = () => 'running';
  /** Verdicts that the quarantine has stored. */
  readonly quarantineRecords: QuarantineRecord[] = [];
  readonly quarantine: RequestQuarantine;
  readonly dispatch = new DispatchQueue(
    this.directory,
    this.loads,
    noopJournal,
    () => 1,
    new Random(3),
    this.process,
  );
  private readonly health = new Map<string, BackendHealth>();
  /** Grants permits to send; grants all by default. */
  permits: SendPermits = { waitMs: () => 0, acquire: () => Promise.resolve(UNLIMITED_PERMIT) };
  /** Grants retries; 30 in ten seconds by default. */
  allowance: RetryAllowance = allowanceOf(30, 10_000, this.process);
  /** Answers quota requests of tenants; grants all by default. */
  quota: RequestQuota['acquire'] = () =>
    Promise.resolve({ kind: 'granted', ticket: { isValid: () => true, refund: () => undefined } });

  constructor(
    routes: readonly Partial<Route>[],
    engine?: EngineDefinition,
    connectionLimit = 100,
    private readonly queuesForRoom = true,
    private readonly createUnread?: (clock: Clock) => UnreadAnswers,
  ) {
    const service: ServiceDefinition = {
      name: 'service',
      connectionLimit,
      ...(engine === undefined ? {} : { engine }),
    };
    this.configuration.apply({
      version: 1,
      routes: routes.map((route, index) => ({ ...defaultRoute(index), ...route })),
      services: new Map([['service', service]]),
      limits: {
        maximumHeaderBytes: 1000,
        maximumBodyBytes: 1000,
        headerTimeoutMs: 1000,
        idleTimeoutMs: 1000,
      },
    });
    this.quarantine = new RequestQuarantine({
      daemon: 'd',
      probe: { probe: (backEnd) => Promise.resolve(this.probe(backEnd)) },
      store: {
        create: (record) => {
          if (isVerdict(record)) this.quarantineRecords.push(record);
          return Promise.resolve();
        },
        claim: () => Promise.resolve(true),
        remove: () => Promise.resolve(),
      },
      removesRecord: () => true,
      clock: this.process,
      random: new Random(2),
      log: silentLog,
    });
    this.forwarder = new Forwarder(this.context(), this.configuration, new Random(1));
  }

  /** Adds a back end that follows a script. */
  add(id: string, script: BackendScript, models: readonly string[] = []): BackEnd {
    const backEnd: BackEnd = {
      id,
      name: id,
      service: 'service',
      address: id,
      zone: 'a',
      slots: 4,
      draining: false,
      models: models.map((name) => ({ name, adapters: [] })),
      nearby: NO_NEARBY_COPIES,
    };
    this.scripts.set(id, script);
    this.directory.put(backEnd);
    return backEnd;
  }

  /** Sends a request and resolves once it has ended. @throws Error if it does not end within the maximum time. */
  async ask(
    headers: Record<string, string> = {},
    target = '/r0/',
    client: ClientBehaviour = {},
  ): Promise<SimulatedExchange> {
    const exchange = new SimulatedExchange(target, { host: 'host', id: 'x', ...headers }, client.drain);
    let settled = false;
    const handled = this.forwarder.handle(exchange).finally(() => (settled = true));
    const { leavesAfterMs } = client;
    if (leavesAfterMs !== undefined) {
      this.process.schedule(leavesAfterMs, () => {
        exchange.leave();
      });
    }
    await this.world.run(this.world.now + MAX_REQUEST_MS, () => settled);
    if (!settled) throw new Error('the request never ended');
    await handled;
    return exchange;
  }

  /** Resolves after a duration in virtual time. */
  wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.process.schedule(durationMs, resolve);
    });
  }

  private context(): ForwardingContext {
    const client: BackendClient = {
      connectionsOpened: 0,
      closeIdleConnections: () => undefined,
      send: (call) => {
        this.calls.push(call);
        const script = this.scripts.get(call.address);
        return script === undefined
          ? Promise.reject(new HttpNotSentError('no such back end'))
          : abortable(script(call, this), call);
      },
    };
    const residency: ResidencyClient = {
      request: (demand) => {
        this.demands.push(demand);
        return this.residency(demand);
      },
      requestReplica: () => undefined,
    };
    const connections = new ConnectionShare(this.loads, () => 1);
    const permits: SendPermits = {
      waitMs: (backEndId) => this.permits.waitMs(backEndId),
      acquire: (...wish) => this.permits.acquire(...wish),
    };
    return {
      clock: this.process,
      client,
      dialect,
      directory: this.directory,
      loads: this.loads,
      runTimes: this.runTimes,
      paces: this.paces,
      connections,
      dispatch: this.dispatch,
      notices: new BackendNotices(this.process, silentLog),
      permits,
      plain: new PlainSelector(this.directory, this.loads, connections, permits, 'a', this.paces),
      replicas: new ReplicaSelector(
        this.directory,
        this.loads,
        new PromptAffinity(),
        residency,
        connections,
        permits,
        this.queuesForRoom ? this.dispatch : undefined,
        'a',
        this.process,
        this.paces,
        this.runTimes,
      ),
      budget: new RetryBudget(
        {
          ratio: 0.2,
          windowMs: 10_000,
          allowance: { acquire: (...wish) => this.allowance.acquire(...wish) },
        },
        this.process,
      ),
      quota: { acquire: (...wish) => this.quota(...wish) },
      quarantine: this.quarantine,
      journal: {
        ...noopJournal,
        decided: (decision, _id, { cause }) => {
          if (decision === 'request_refused') this.refusals.push(String(cause));
        },
      },
      stopWaiting: this.stop.signal,
      ...(this.createUnread === undefined ? {} : { unread: this.createUnread(this.process) }),
      healthOf: (name) => this.healthOf(name),
    };
  }

  /** Returns the health of the back ends of a service. */
  healthOf(name: string): BackendHealth {
    const health = this.health.get(name) ?? new BackendHealth(this.process);
    this.health.set(name, health);
    return health;
  }
}

function valueOf(headers: readonly string[], name: string): string {
  const index = headers.indexOf(name);
  return index < 0 ? '' : (headers[index + 1] ?? '');
}

function toTarget(text: string): ModelTarget {
  const [model = '', adapter] = text.split('/');
  return adapter === undefined ? { model } : { model, adapter };
}

function defaultRoute(index: number): Route {
  return {
    name: `r${String(index)}`,
    host: 'host',
    pathPrefix: `/r${String(index)}/`,
    kind: 'once',
    timeoutMs: 3000,
    targetLatencyMs: 200,
    maximumAttempts: 2,
    priority: 1,
    isPublic: false,
    targets: [{ service: 'service', weight: 1 }],
  };
}

function abortable(answer: Promise<BackendResponse>, call: BackendCall): Promise<BackendResponse> {
  return new Promise((resolve, reject) => {
    answer.then(resolve, reject);
    call.signal.addEventListener('abort', () => {
      reject(new Error('given up'));
    });
  });
}

/** Builds an answer whose body stalls after the text. */
export function stalled(status: number, text: string): BackendResponse {
  async function* body(): AsyncGenerator<Uint8Array> {
    yield encodeText(text);
    await new Promise(() => undefined);
  }
  return { ...answer(status), body: body() };
}

/** A pause of a scripted answer, in milliseconds. */
export interface Pause {
  readonly pauseMs: number;
}

/** Builds an answer in virtual time; an abort of the call, or giving the answer up, breaks its body. */
export function timed(
  world: ForwardingWorld,
  call: BackendCall,
  status: number,
  ...pieces: (string | Pause)[]
): BackendResponse & { readonly givenUpAt: () => number | undefined } {
  let giveUp: (error: Error) => void = () => undefined;
  let givenUpAt: number | undefined;
  const givenUp = new Promise<never>((_, reject) => {
    giveUp = (error) => {
      givenUpAt ??= world.world.now;
      reject(error);
    };
  });
  givenUp.catch(() => undefined);
  call.signal.addEventListener('abort', () => {
    giveUp(new Error('given up'));
  });
  async function* body(): AsyncGenerator<Uint8Array> {
    for (const piece of pieces) {
      if (typeof piece === 'string') yield encodeText(piece);
      else await Promise.race([world.wait(piece.pauseMs), givenUp]);
    }
  }
  const discard = (): void => {
    giveUp(new Error('given up'));
  };
  const texts = pieces.filter((piece) => typeof piece === 'string');
  return { ...answer(status, ...texts), body: body(), discard, givenUpAt: () => givenUpAt };
}

/** Builds an answer without a length, whose body ends with its connection. */
export function unframed(status: number, ...pieces: string[]): BackendResponse {
  return { ...answer(status, ...pieces), endsWithConnection: true };
}

/** Builds an answer from chunks; an error breaks the body, and a first chunk that is an event makes it a stream. */
export function answer(status: number, ...pieces: (string | Error)[]): BackendResponse {
  async function* body(): AsyncGenerator<Uint8Array> {
    for (const piece of pieces) {
      await Promise.resolve();
      if (piece instanceof Error) throw piece;
      yield encodeText(piece);
    }
  }
  const isStream = typeof pieces[0] === 'string' && /^(id|data|event):/.test(pieces[0]);
  const headers = isStream ? { 'content-type': 'text/event-stream' } : {};
  return {
    status,
    headers,
    rawHeaders: [],
    endsWithConnection: false,
    body: body(),
    discard: () => undefined,
  };
}
