/**
 * Stand-in for a model engine: fenced orders, limited accelerator memory, simulated token times under continuous
 * batching, and a record of all runs that reveals duplicates.
 */
import { z } from 'zod';
import {
  CALL_ID_HEADER,
  decodeText,
  encodeText,
  jsonResponse,
  sleep,
  type Clock,
  type HttpHandler,
  type HttpRequest,
  type HttpResponse,
} from '@woodbarrow/runtime';
import type { WeightStoreStandIn } from './weight-store.js';

/** Load time of a checkpoint in seconds, by cache tier. */
export interface LoadTimes {
  readonly host: number;
  readonly disk: number;
  readonly remote: number;
}

/** Options of {@link EngineStandIn}. */
export interface EngineOptions {
  readonly workerId: string;
  readonly clock: Clock;
  readonly accelerators: number;
  readonly memoryGib: number;
  readonly weights: WeightStoreStandIn;
  readonly loadTimes: (checkpoint: string) => LoadTimes;
  /** Checkpoints initially in host memory. */
  readonly hostCache?: readonly string[];
  /** Checkpoints initially on the local disk. */
  readonly diskCache?: readonly string[];
  /** Maximum number of checkpoints in host memory. @default 4 */
  readonly hostCacheSize?: number;
  /** Number of tokens per chunk. @default 1 */
  readonly tokensPerChunk?: number;
  /** Sends each stream event in two parts, so that an interrupted stream ends inside an event. @default false */
  readonly splitsEvents?: boolean;
  /** Factor on all token times; 0 makes tokens free. @default 1 */
  readonly tokenTimeFactor?: number;
}

/** State of a model on an engine. */
export type ModelState = 'loading' | 'ready' | 'unloading';

interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly checkpoint: string;
  readonly concurrency: number;
  state: ModelState;
  memoryGib: number;
  readonly adapters: string[];
  running: number;
  readonly stopped: AbortController;
}

/** A model that occupies accelerator memory. */
export interface LoadedReplica {
  readonly model: string;
  readonly state: ModelState;
  readonly running: number;
  readonly memoryGib: number;
}

/** Counters over the lifetime of an engine. */
export interface EngineRecord {
  /** Number of runs started, by the marker in the prompt. */
  readonly runs: Map<string, number>;
  /** Number of runs started, by request id. */
  readonly runsByRequest: Map<string, number>;
  /** Number of loads started, by model. */
  readonly loadsByModel: Map<string, number>;
  overcommitsRefused: number;
  fencesRefused: number;
  loads: number;
  unloads: number;
}

const orderSchema = z.object({
  fence: z.number(),
  order: z.discriminatedUnion('type', [
    z.object({ type: z.literal('raise_fence') }),
    z.object({
      type: z.literal('load'),
      model: z.string(),
      checkpoint: z.string(),
      version: z.string(),
      memoryGib: z.number().positive(),
      concurrency: z.number().int().positive(),
      copyFrom: z.string().optional(),
    }),
    z.object({ type: z.literal('unload'), model: z.string() }),
    z.object({
      type: z.literal('load_adapter'),
      model: z.string(),
      adapter: z.string(),
      memoryGib: z.number(),
    }),
  ]),
});

type LoadOrder = Extract<z.infer<typeof orderSchema>['order'], { type: 'load' }>;

const MIB_PER_GIB = 1024;
const DEFAULT_HOST_CACHE_SIZE = 4;
const PEER_COPY_TIME_FACTOR = 0.4;
const UNLOAD_MS = 300;
const ADAPTER_LOAD_MS = 200;
const PREFILL_MS = 40;
const TOKEN_STEP_MS = 20;
const TOKEN_STEP_MS_PER_RUN = 0.5;
const DEFAULT_TOKENS = 16;
const MARKER_PATTERN = /#([A-Za-z0-9_.-]+)/;
/** Offset inside the data of an event at which it is split. */
const SPLIT_OFFSET_BYTES = 12;
const NOT_STARTED = { 'x-not-started': 'true' };

/** One worker's engine. */
export class EngineStandIn {
  readonly record: EngineRecord = {
    runs: new Map(),
    runsByRequest: new Map(),
    loadsByModel: new Map(),
    overcommitsRefused: 0,
    fencesRefused: 0,
    loads: 0,
    unloads: 0,
  };
  /** Called when memory that models hold has changed. */
  onChange: (() => void) | undefined;
  /** Called when a run begins, with the marker of its prompt and the request's id. */
  onRun: ((marker: string, requestId: string) => void) | undefined;
  /** Accepts orders with lower fences; an injected defect that tests must detect. */
  ignoreFences = false;
  private fence = 0;
  private generation: number;
  private cacheGeneration: number;
  private draining = false;
  private readonly models = new Map<string, LoadedModel>();
  private readonly hostCache: string[];
  private readonly diskCache: Set<string>;

  constructor(private readonly options: EngineOptions) {
    // Generations start at the wall time, so that clients can distinguish a restarted engine from its predecessor.
    this.generation = Math.floor(options.clock.wall());
    this.cacheGeneration = Math.floor(options.clock.wall());
    this.hostCache = [...(options.hostCache ?? [])];
    this.diskCache = new Set(options.diskCache ?? []);
  }

  /** Accelerator memory in use, in GiB. */
  get usedGib(): number {
    let used = 0;
    for (const model of this.models.values()) used += model.memoryGib;
    return Math.round(used * MIB_PER_GIB) / MIB_PER_GIB;
  }

  /** Total accelerator memory in GiB. */
  get memoryGib(): number {
    return this.options.memoryGib;
  }

  /** Returns the models that occupy memory, in any state. */
  loaded(): readonly LoadedReplica[] {
    return [...this.models.values()];
  }

  /** Reports in the inventory that the worker is about to leave. */
  startDraining(): void {
    this.draining = true;
    this.generation += 1;
  }

  /** Serves the control and completion APIs; each response repeats the id of its call. */
  readonly handler: HttpHandler = async (request) => {
    const response = await this.respond(request);
    const callId = request.headers[CALL_ID_HEADER];
    return callId === undefined
      ? response
      : { ...response, headers: { ...response.headers, [CALL_ID_HEADER]: callId } };
  };

  private async respond(request: HttpRequest): Promise<HttpResponse> {
    const [path, query] = request.path.split('?', 2);
    const known = Number(new URLSearchParams(query).get('caches-since') ?? NaN);
    if (path === '/inventory') return jsonResponse(200, this.inventory(known));
    if (path === '/orders') return this.handleOrder(request, known);
    if (path === '/v1/chat/completions' || path === '/v1/completions') return this.complete(request);
    return jsonResponse(404, {});
  }

  /** Returns the inventory; omits the caches if the client already has their current generation. */
  private inventory(knownCacheGeneration: number): object {
    const isCacheCurrent = knownCacheGeneration === this.cacheGeneration;
    const { workerId, accelerators, memoryGib } = this.options;
    return {
      workerId,
      accelerators,
      memoryGib,
      fence: this.fence,
      generation: this.generation,
      draining: this.draining,
      cacheGeneration: this.cacheGeneration,
      ...(isCacheCurrent ? {} : { hostCache: this.hostCache, diskCache: [...this.diskCache] }),
      models: [...this.models.values()].map(
        ({ model, version, state, memoryGib: held, adapters, concurrency, running }) => ({
          model,
          version,
          state,
          memoryGib: held,
          adapters,
          concurrency,
          running,
        }),
      ),
    };
  }

  private handleOrder(request: HttpRequest, knownCacheGeneration: number): HttpResponse {
    const parsed = orderSchema.safeParse(JSON.parse(decodeText(request.body)));
    if (!parsed.success) return jsonResponse(400, { error: parsed.error.message });
    const { fence, order } = parsed.data;
    if (fence < this.fence && !this.ignoreFences) {
      this.record.fencesRefused += 1;
      return jsonResponse(409, { fence: this.fence });
    }
    this.fence = Math.max(this.fence, fence);
    switch (order.type) {
      case 'raise_fence':
        break;
      case 'load':
        if (!this.load(order)) return jsonResponse(507, { error: 'not enough accelerator memory' });
        break;
      case 'unload':
        this.unload(order.model);
        break;
      case 'load_adapter':
        if (!this.loadAdapter(order.model, order.adapter, order.memoryGib)) {
          return jsonResponse(507, { error: 'the base is not ready, or memory is short' });
        }
    }
    return jsonResponse(200, this.inventory(knownCacheGeneration));
  }

  private load(order: LoadOrder): boolean {
    if (this.models.has(order.model)) return true;
    if (this.usedGib + order.memoryGib > this.options.memoryGib) {
      this.record.overcommitsRefused += 1;
      return false;
    }
    const entry: LoadedModel = {
      model: order.model,
      version: order.version,
      checkpoint: order.checkpoint,
      concurrency: order.concurrency,
      state: 'loading',
      memoryGib: order.memoryGib,
      adapters: [],
      running: 0,
      stopped: new AbortController(),
    };
    this.models.set(order.model, entry);
    this.record.loads += 1;
    this.record.loadsByModel.set(order.model, (this.record.loadsByModel.get(order.model) ?? 0) + 1);
    this.recordChange();
    void this.finishLoad(entry, order.copyFrom !== undefined);
    return true;
  }

  private async finishLoad(entry: LoadedModel, fromPeer: boolean): Promise<void> {
    const { clock, weights } = this.options;
    const times = this.options.loadTimes(entry.checkpoint);
    const { signal } = entry.stopped;
    if (this.hostCache.includes(entry.checkpoint)) await sleep(clock, times.host * 1000, signal);
    else if (this.diskCache.has(entry.checkpoint)) await sleep(clock, times.disk * 1000, signal);
    else if (fromPeer) await sleep(clock, times.remote * PEER_COPY_TIME_FACTOR * 1000, signal);
    else await weights.fetch(times.remote, signal);
    if (signal.aborted) return;
    this.addToCaches(entry.checkpoint);
    entry.state = 'ready';
    this.recordChange();
  }

  private addToCaches(checkpoint: string): void {
    this.cacheGeneration += 1;
    this.diskCache.add(checkpoint);
    const position = this.hostCache.indexOf(checkpoint);
    if (position >= 0) this.hostCache.splice(position, 1);
    this.hostCache.push(checkpoint);
    if (this.hostCache.length > (this.options.hostCacheSize ?? DEFAULT_HOST_CACHE_SIZE))
      this.hostCache.shift();
  }

  private unload(model: string): void {
    const entry = this.models.get(model);
    if (entry === undefined || entry.state === 'unloading') return;
    entry.state = 'unloading';
    this.record.unloads += 1;
    entry.stopped.abort();
    this.recordChange();
    if (entry.running === 0) this.finishUnload(entry);
  }

  private finishUnload(entry: LoadedModel): void {
    this.options.clock.schedule(UNLOAD_MS, () => {
      this.models.delete(entry.model);
      this.recordChange();
    });
  }

  private loadAdapter(model: string, adapter: string, memoryGib: number): boolean {
    const base = this.models.get(model);
    if (base?.state !== 'ready') return false;
    if (base.adapters.includes(adapter)) return true;
    if (this.usedGib + memoryGib > this.options.memoryGib) {
      this.record.overcommitsRefused += 1;
      return false;
    }
    base.memoryGib += memoryGib;
    this.options.clock.schedule(ADAPTER_LOAD_MS, () => {
      base.adapters.push(adapter);
      this.recordChange();
    });
    this.recordChange();
    return true;
  }

  private recordChange(): void {
    this.generation += 1;
    this.onChange?.();
  }

  private async complete(request: HttpRequest): Promise<HttpResponse> {
    const entry = this.models.get(request.headers['x-model'] ?? '');
    const adapter = request.headers['x-adapter'] ?? '';
    if (entry?.state !== 'ready' || (adapter !== '' && !entry.adapters.includes(adapter))) {
      return jsonResponse(503, { error: 'not loaded' }, NOT_STARTED);
    }
    if (entry.running >= entry.concurrency) return jsonResponse(429, { error: 'busy' }, NOT_STARTED);
    const body = JSON.parse(decodeText(request.body)) as { stream?: boolean; max_tokens?: number };
    const marker = MARKER_PATTERN.exec(decodeText(request.body))?.[1] ?? 'none';
    const requestId = request.headers['x-request-id'] ?? 'none';
    this.record.runs.set(marker, (this.record.runs.get(marker) ?? 0) + 1);
    this.record.runsByRequest.set(requestId, (this.record.runsByRequest.get(requestId) ?? 0) + 1);
    this.onRun?.(marker, requestId);
    entry.running += 1;
    const tokens = body.max_tokens ?? DEFAULT_TOKENS;
    try {
      await this.delay(PREFILL_MS, request.signal);
    } catch (error) {
      this.finishRun(entry);
      throw error;
    }
    if (body.stream === true) {
      return {
        status: 200,
        headers: { 'content-type': 'text/event-stream' },
        body: this.stream(entry, marker, tokens, request.signal),
      };
    }
    return this.respondInFull(entry, marker, tokens, request);
  }

  private async respondInFull(
    entry: LoadedModel,
    marker: string,
    tokens: number,
    request: HttpRequest,
  ): Promise<HttpResponse> {
    try {
      for (let index = 0; index < tokens; index += this.tokensPerChunk) {
        await this.delay(this.stepMs(entry) * Math.min(this.tokensPerChunk, tokens - index), request.signal);
      }
      const content = Array.from({ length: tokens }, (_, index) => tokenText(marker, index)).join('');
      return jsonResponse(200, {
        id: request.headers['x-request-id'],
        object: 'chat.completion',
        model: entry.model,
        choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
        usage: { completion_tokens: tokens },
      });
    } finally {
      this.finishRun(entry);
    }
  }

  private async *stream(
    entry: LoadedModel,
    marker: string,
    tokens: number,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    try {
      for (let index = 0; index < tokens; index += this.tokensPerChunk) {
        const count = Math.min(this.tokensPerChunk, tokens - index);
        let content = '';
        for (let offset = 0; offset < count; offset += 1) content += tokenText(marker, index + offset);
        const event = `data: {"choices":[{"index":0,"delta":{"content":${JSON.stringify(content)}}}]}\n\n`;
        const splitBytes = this.options.splitsEvents === true && index > 0 ? SPLIT_OFFSET_BYTES : 0;
        if (splitBytes > 0) yield encodeText(event.slice(0, splitBytes));
        if (index > 0) await this.delay(this.stepMs(entry) * count, signal);
        yield encodeText(event.slice(splitBytes));
      }
      yield encodeText('data: [DONE]\n\n');
    } finally {
      this.finishRun(entry);
    }
  }

  private get tokensPerChunk(): number {
    return this.options.tokensPerChunk ?? 1;
  }

  private stepMs(entry: LoadedModel): number {
    return TOKEN_STEP_MS + TOKEN_STEP_MS_PER_RUN * entry.running;
  }

  private async delay(durationMs: number, signal: AbortSignal): Promise<void> {
    const scaled = durationMs * (this.options.tokenTimeFactor ?? 1);
    if (scaled > 0) await sleep(this.options.clock, scaled, signal);
    if (signal.aborted) throw new Error('client disconnected');
  }

  private finishRun(entry: LoadedModel): void {
    entry.running -= 1;
    if (entry.state === 'unloading' && entry.running === 0) this.finishUnload(entry);
  }
}

/** Returns the text of one token of the response to the prompt with this marker. */
export function tokenText(marker: string, index: number): string {
  return `${marker}:${String(index)} `;
}
