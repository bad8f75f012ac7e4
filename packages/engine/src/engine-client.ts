/** Client of the model engines: fenced orders, inventories and completions. */
import { WoodbarrowError } from '@woodbarrow/errors';
import {
  HttpNotSentError,
  encodeText,
  readBody,
  readJson,
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
  /** Lower numbers go first. */
  readonly priority: number;
  readonly signal: AbortSignal;
  /** Milliseconds to wait for the response's head. */
  readonly headTimeoutMs: number;
}

/** How an engine took a completion. */
export type CompletionStart =
  | { readonly outcome: 'started'; readonly response: HttpResponse }
  /** The engine did not start it, or never received it. */
  | { readonly outcome: 'not_run'; readonly reason: string }
  /** The request is at fault. */
  | { readonly outcome: 'rejected'; readonly response: HttpResponse }
  /** It may have run. */
  | { readonly outcome: 'unknown'; readonly reason: string };

/** Header by which an engine states that it did not start a request. */
const NOT_STARTED_HEADER = 'x-not-started';

/** Talks to engines. */
export class EngineClient {
  constructor(private readonly http: HttpClient) {}

  /**
   * What a worker holds. Caches that have not changed since `known` are not sent again.
   *
   * @throws WoodbarrowError `peer_unreachable`
   */
  async inventory(origin: string, cached?: Inventory): Promise<Inventory> {
    const response = await this.sendControlRequest(origin, 'GET', `/inventory${cachesSinceQuery(cached)}`);
    return parseInventory(await readJson(response.body), cached);
  }

  /**
   * Gives an order under a fence. The inventory after the order comes back.
   *
   * @throws WoodbarrowError `fence_too_low`, `engine_refused` when the worker cannot carry it out,
   * `peer_unreachable` when it is not known whether it was received.
   */
  async order(origin: string, fence: number, order: EngineOrder, cached?: Inventory): Promise<Inventory> {
    const response = await this.sendControlRequest(origin, 'POST', `/orders${cachesSinceQuery(cached)}`, {
      fence,
      order,
    });
    const body = await readJson(response.body);
    if (response.status === 409)
      throw new WoodbarrowError('fence_too_low', 'the worker has seen a higher fence');
    if (response.status !== 200) {
      throw new WoodbarrowError('engine_refused', `order ${order.type} refused: ${JSON.stringify(body)}`);
    }
    return parseInventory(body, cached);
  }

  /** Sends a completion. Says exactly what is known of whether it ran. */
  async complete(call: CompletionCall): Promise<CompletionStart> {
    let response: HttpResponse;
    try {
      response = await this.http.send({
        method: 'POST',
        origin: call.origin,
        path: call.path,
        headers: {
          'content-type': 'application/json',
          'x-request-id': call.requestId,
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
      return { outcome: 'not_run', reason: `engine answered ${String(response.status)}` };
    }
    if (response.status < 500) return { outcome: 'rejected', response };
    await readBody(response.body).catch(() => undefined);
    return { outcome: 'unknown', reason: `engine answered ${String(response.status)}` };
  }

  private async sendControlRequest(
    origin: string,
    method: string,
    path: string,
    body?: object,
  ): Promise<HttpResponse> {
    try {
      return await this.http.send({
        method,
        origin,
        path,
        headers: { 'content-type': 'application/json' },
        timeoutMs: CONTROL_TIMEOUT_MS,
        ...(body === undefined ? {} : { body: encodeText(JSON.stringify(body)) }),
      });
    } catch (error) {
      throw new WoodbarrowError('peer_unreachable', `no answer from engine ${origin}`, { cause: error });
    }
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
