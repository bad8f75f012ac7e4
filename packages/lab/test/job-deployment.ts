/** A simulated deployment whose callers submit jobs and ask every daemon for their results. */
import { encodeText, readText, type HttpResponse } from '@woodbarrow/runtime';
import { tokenText } from '@woodbarrow/standins';
import { SimulatedDeployment, parseScenario, type DaemonSlot } from '../src/index.js';

const SCENARIO = parseScenario(`
name: jobs
durationSeconds: 60
clockDrift: 0
zones: [{ name: alpha, daemons: 3 }, { name: beta, daemons: 3 }]
workers: [{ zone: alpha, count: 1, diskCacheShare: 1, hostCacheCount: 2 }, { zone: beta, count: 1, diskCacheShare: 1, hostCacheCount: 2 }]
tenants:
  - name: desk
    partner: quetzal
    parameters: { keyLifetimeSeconds: 60 }
    modelGroups: [{ prefix: contract, count: 1, replicas: { minimum: 1, maximum: 1 } }, { prefix: cold, count: 1, loadSeconds: { host: 8, disk: 8, remote: 8 } }]
traffic: []
`);

/** Virtual milliseconds after which all daemons serve and the warm model is loaded. */
export const WARM_UP_MS = 30_000;
/** Downtime of a daemon that does not come back during a test, in milliseconds. */
export const GONE_MS = 3_600_000_000;
const ANSWER_LIMIT_MS = 30_000;
const CALLER_TOKEN = 'desk-caller-token';

/** A response as a caller receives it. */
export interface Reply {
  readonly status: number;
  readonly headers: HttpResponse['headers'];
  readonly text: string;
}

/** A call to a daemon's API for callers. */
export interface ApiCall {
  /** @default GET */
  readonly method?: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What a caller submits. */
export interface JobOptions {
  /** Identifies the runs of this job; a long marker makes a large answer. */
  readonly marker: string;
  readonly tokens?: number;
  readonly model?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Drives one deployment. */
export class JobDeployment {
  readonly deployment: SimulatedDeployment;
  /** Virtual time at which the first run of each marker started. */
  readonly firstRunAt = new Map<string, number>();
  readonly runCounts = new Map<string, number>();
  private readonly runListeners = new Map<string, () => void>();

  constructor(seed = 1) {
    this.deployment = new SimulatedDeployment({ scenario: SCENARIO, seed });
    this.deployment.observers.push({
      onRun: (_slot, marker) => {
        this.runCounts.set(marker, (this.runCounts.get(marker) ?? 0) + 1);
        if (!this.firstRunAt.has(marker)) this.firstRunAt.set(marker, this.now);
        this.runListeners.get(marker)?.();
      },
    });
  }

  get now(): number {
    return this.deployment.world.now;
  }

  async start(): Promise<void> {
    this.deployment.start();
    await this.advance(WARM_UP_MS);
  }

  async advance(milliseconds: number): Promise<void> {
    await this.deployment.world.run(this.now + milliseconds);
  }

  runs(marker: string): number {
    return this.runCounts.get(marker) ?? 0;
  }

  /** Calls `action` when a run of `marker` starts. */
  onRun(marker: string, action: () => void): void {
    this.runListeners.set(marker, action);
  }

  /** Daemons whose process is alive. */
  living(): DaemonSlot[] {
    return [...this.deployment.daemons.values()].filter(({ process }) => process.alive);
  }

  /** Sends a request and advances virtual time until its response is complete. */
  async send(daemon: string, call: ApiCall): Promise<Reply> {
    const sending = this.begin(daemon, call);
    let isDone = false;
    const done = sending.then(
      () => (isDone = true),
      () => (isDone = true),
    );
    await this.deployment.world.run(this.now + ANSWER_LIMIT_MS, () => isDone);
    if (!isDone)
      throw new Error(`no response from ${daemon} within ${String(ANSWER_LIMIT_MS)} ms of virtual time`);
    await done;
    return sending;
  }

  /** Sends a request without advancing virtual time. */
  async begin(daemon: string, call: ApiCall): Promise<Reply> {
    const { deployment } = this;
    const response = await deployment.clientIn(deployment.slot(daemon).plan.zone).send({
      method: call.method ?? 'GET',
      origin: deployment.callerOrigin(daemon),
      path: call.path,
      headers: {
        authorization: `Bearer ${CALLER_TOKEN}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      ...(call.body === undefined ? {} : { body: encodeText(JSON.stringify(call.body)) }),
    });
    return { status: response.status, headers: response.headers, text: await readText(response.body) };
  }

  /** Submits a job and returns its id. @throws Error when it is not accepted. */
  async submit(daemon: string, options: JobOptions): Promise<string> {
    const reply = await this.send(daemon, { method: 'POST', path: '/v1/jobs', ...callOf(options) });
    if (reply.status !== 202) throw new Error(`job not accepted: ${String(reply.status)} ${reply.text}`);
    return (JSON.parse(reply.text) as { id: string }).id;
  }

  /** Sends an interactive request. */
  complete(daemon: string, options: JobOptions): Promise<Reply> {
    return this.send(daemon, { method: 'POST', path: '/v1/chat/completions', ...callOf(options) });
  }

  result(daemon: string, id: string): Promise<Reply> {
    return this.send(daemon, { path: `/v1/jobs/${encodeURIComponent(id)}/result` });
  }

  /** Returns the result at each living daemon, by daemon. */
  async results(id: string): Promise<Map<string, Reply>> {
    const replies = new Map<string, Reply>();
    for (const { plan } of this.living()) replies.set(plan.id, await this.result(plan.id, id));
    return replies;
  }
}

/** Daemons that store a job when it is accepted; the first one runs it. */
export function keepersOf(id: string): string[] {
  return id.replace(/^job_/, '').split('~').slice(0, -1);
}

/** Error code of a reply; undefined when it is not an error. */
export function codeOf(reply: Reply): string | undefined {
  return (JSON.parse(reply.text) as { error?: { code: string } }).error?.code;
}

/** Content that the engine generates for a job. */
export function contentOf({ marker, tokens = DEFAULT_TOKENS }: JobOptions): string {
  return Array.from({ length: tokens }, (_, index) => tokenText(marker, index)).join('');
}

const DEFAULT_TOKENS = 4;

function callOf({ marker, tokens = DEFAULT_TOKENS, model = 'contract-1', headers = {} }: JobOptions): {
  body: unknown;
  headers: Readonly<Record<string, string>>;
} {
  const messages = [{ role: 'user', content: `please answer #${marker}` }];
  return { body: { model, max_tokens: tokens, messages }, headers };
}
