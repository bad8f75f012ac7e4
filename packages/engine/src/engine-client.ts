/** Client of the model engines: fenced orders, inventories and completions. */
import { WoodbarrowError } from '@woodbarrow/errors';
import {
  HttpNotSentError,
  UnmatchedAnswerError,
  encodeText,
  readBody,
  readJson,
  type HttpCall,
  type HttpClient,
  type HttpResponse,
} from '@woodbarrow/runtime';
import { inventorySchema, type EngineOrder, type Inventory } from './engine-types.js';

const CONTROL_TIMEOUT_MS = 1500;

/** A completion as sent to an engine. */
export interface CompletionCall {
  readonly origin: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string;
  readonly body: Uint8Array;
  readonly requestId: string;
  readonly model: string;
  readonly adapter: string;
  /** Requests with lower numbers are scheduled first. */
  readonly priority: number;
  readonly signal: AbortSignal;
  /** Timeout for the response headers, in milliseconds. */
  readonly headTimeoutMs: number;
}

/** Outcome of submitting a completion to an engine. */
export type CompletionStart =
  | { readonly outcome: 'started'; readonly response: HttpResponse }
  /** The engine did not start or never received the request; sending it again is safe. */
  | { readonly outcome: 'not_run'; readonly reason: string }
  /** The engine refused the request as invalid. */
  | { readonly outcome: 'rejected'; readonly response: HttpResponse }
  /** The request may have run. */
  | { readonly outcome: 'unknown'; readonly reason: string };

/** Response header with which an engine reports that it did not start the request. */
const NOT_STARTED_HEADER = 'x-not-started';
const REQUEST_ID_HEADER = 'x-request-id';

/** Kinds of calls to an engine. */
export type EngineCall = 'inventory' | 'order' | 'completion';

/** A response that was rejected because it belongs, or may belong, to another call. */
export interface UnmatchedEngineAnswer {
  readonly match: UnmatchedAnswerError['match'];
  readonly call: EngineCall;
  readonly origin: string;
  /** Id of the request; undefined for inventories and orders. */
  readonly requestId: string | undefined;
}

/** Options of {@link EngineClient}. */
export interface EngineClientOptions {
  readonly onUnmatchedAnswer?: (answer: UnmatchedEngineAnswer) => void;
}

/** Sends control orders and completions to engines over HTTP. */
export class EngineClient {
  readonly counters = { unmatchedAnswers: 0 };
  private calls = 0;

  constructor(
    private readonly http: HttpClient,
    private readonly options: EngineClientOptions = {},
  ) {}

  /**
   * Fetches the inventory of a worker. The worker omits caches that have not changed since `cached`.
   *
   * @throws WoodbarrowError `peer_unreachable`
   */
  async inventory(origin: string, cached?: Inventory): Promise<Inventory> {
    const response = await this.sendControlRequest(
      'inventory',
      origin,
      `/inventory${cachesSinceQuery(cached)}`,
    );
    return parseInventory(await readJson(response.body), cached);
  }

  /**
   * Sends an order with a fence. Returns the worker's inventory after the order.
   *
   * @throws WoodbarrowError `fence_too_low`, `engine_refused` when the worker cannot execute the order,
   * `peer_unreachable` when there is no response, so that the worker may or may not have received it.
   */
  async order(origin: string, fence: number, order: EngineOrder, cached?: Inventory): Promise<Inventory> {
    const response = await this.sendControlRequest('order', origin, `/orders${cachesSinceQuery(cached)}`, {
      fence,
      order,
    });
    const body = await readJson(response.body);
    if (response.status === 409)
      throw new WoodbarrowError('fence_too_low', 'the worker has received a higher fence');
    if (response.status !== 200) {
      throw new WoodbarrowError('engine_refused', `order ${order.type} refused: ${JSON.stringify(body)}`);
    }
    return parseInventory(body, cached);
  }

  /** Sends a completion. The outcome states whether the request ran, did not run, or may have run. */
  async complete(call: CompletionCall): Promise<CompletionStart> {
    let response: HttpResponse;
    try {
      response = await this.send('completion', {
        method: 'POST',
        origin: call.origin,
        path: call.path,
        headers: {
          'content-type': 'application/json',
          [REQUEST_ID_HEADER]: call.requestId,
          'x-model': call.model,
          'x-adapter': call.adapter,
          'x-priority': String(call.priority),
        },
        body: call.body,
        signal: call.signal,
        timeoutMs: call.headTimeoutMs,
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { outcome: error instanceof HttpNotSentError ? 'not_run' : 'unknown', reason };
    }
    if (response.status === 200) return { outcome: 'started', response };
    if (response.headers[NOT_STARTED_HEADER] === 'true') {
      await readBody(response.body).catch(() => undefined);
      return { outcome: 'not_run', reason: `engine responded with status ${String(response.status)}` };
    }
    if (response.status < 500) return { outcome: 'rejected', response };
    await readBody(response.body).catch(() => undefined);
    return { outcome: 'unknown', reason: `engine responded with status ${String(response.status)}` };
  }

  private async sendControlRequest(
    call: EngineCall,
    origin: string,
    path: string,
    body?: object,
  ): Promise<HttpResponse> {
    try {
      return await this.send(call, {
        method: body === undefined ? 'GET' : 'POST',
        origin,
        path,
        headers: { 'content-type': 'application/json' },
        timeoutMs: CONTROL_TIMEOUT_MS,
        ...(body === undefined ? {} : { body: encodeText(JSON.stringify(body)) }),
      });
    } catch (error) {
      throw new WoodbarrowError('peer_unreachable', `no response from engine ${origin}`, { cause: error });
    }
  }

  /** Sends a call whose response is told from those to other calls by its id. */
  private async send(kind: EngineCall, call: HttpCall): Promise<HttpResponse> {
    this.calls += 1;
    try {
      return await this.http.send({ ...call, callId: String(this.calls) });
    } catch (error) {
      if (error instanceof UnmatchedAnswerError) this.noteUnmatched(kind, call, error.match);
      throw error;
    }
  }

  private noteUnmatched(
    call: EngineCall,
    { origin, headers }: HttpCall,
    match: UnmatchedAnswerError['match'],
  ): void {
    this.counters.unmatchedAnswers += 1;
    const requestId = headers?.[REQUEST_ID_HEADER];
    this.options.onUnmatchedAnswer?.({ match, call, origin, requestId });
  }
}

function cachesSinceQuery(cached: Inventory | undefined): string {
  return cached === undefined ? '' : `?caches-since=${String(cached.cacheGeneration)}`;
}

function parseInventory(body: unknown, cached: Inventory | undefined): Inventory {
  const parsed = inventorySchema.parse(body);
  const { hostCache = cached?.hostCache ?? [], diskCache = cached?.diskCache ?? [] } = parsed;
  return { ...parsed, hostCache, diskCache };
}
