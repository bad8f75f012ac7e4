/** One request that a relay sends to a back end for another daemon, which pulls the response. */
import { errorMessage } from '@woodbarrow/errors';
import type { RelayFailure, RelayReadAnswer, RelayStartMessage } from '@woodbarrow/protocol';
import {
  HttpNotSentError,
  isConnectionRefused,
  settleWithin,
  type BackendClient,
  type BackendResponse,
  type CancelTimer,
  type Clock,
} from '@woodbarrow/runtime';

/** Timeout for opening a connection, in milliseconds. Short, as the daemon has already waited for its own connection. */
const CONNECT_TIMEOUT_MS = 250;
/** Time without a read after which the daemon counts as gone, in milliseconds. */
const UNREAD_TIMEOUT_MS = 10_000;

/** Status and headers of a response. */
export type ResponseHead = Pick<BackendResponse, 'status' | 'headers'>;

/** Options of {@link RelayedExchange}. */
export interface RelayedExchangeOptions {
  readonly message: RelayStartMessage;
  /** Address of the back end. */
  readonly address: string;
  readonly client: BackendClient;
  /** Aborts when the connection of the daemon closes. */
  readonly disconnected: AbortSignal;
  readonly onHead: (head: ResponseHead) => void;
  /** Called once, when the exchange has ended for any reason. */
  readonly onClosed: () => void;
  readonly clock: Clock;
}

/** An exchange in progress. Reads the next piece only after the previous one was taken. */
export class RelayedExchange {
  private readonly controller = new AbortController();
  private response: BackendResponse | undefined;
  /** Next piece, being read from the back end. */
  private next: Promise<RelayReadAnswer> | undefined;
  private cancelUnreadTimer: CancelTimer = () => undefined;
  private isClosed = false;
  private readonly onDisconnected = (): void => {
    this.cancel();
  };

  constructor(private readonly options: RelayedExchangeOptions) {}

  /** Sends the request. */
  start(): void {
    const { disconnected } = this.options;
    if (disconnected.aborted) {
      this.cancel();
      return;
    }
    disconnected.addEventListener('abort', this.onDisconnected);
    this.next = this.readHead();
    this.restartUnreadTimer();
  }

  /** Waits for the next piece, at most `waitMs` milliseconds. */
  async read(waitMs: number): Promise<RelayReadAnswer> {
    this.cancelUnreadTimer();
    this.next ??= this.readChunk();
    const { clock } = this.options;
    const settled = await settleWithin(clock, waitMs, this.next);
    if (settled.timedOut) {
      this.restartUnreadTimer();
      return {};
    }
    this.next = undefined;
    if (settled.value.hasEnded === true || settled.value.failure !== undefined) this.close();
    else this.restartUnreadTimer();
    return settled.value;
  }

  /** Ends the exchange and the work of the back end. */
  cancel(): void {
    this.controller.abort();
    this.response?.discard();
    this.close();
  }

  private async readHead(): Promise<RelayReadAnswer> {
    const { message, address, client, onHead } = this.options;
    try {
      const response = await client.send({
        backEndId: message.backEndId,
        requestId: message.requestId,
        address,
        method: message.method,
        target: message.target,
        headers: message.headers,
        body: message.body,
        signal: this.controller.signal,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
      });
      this.response = response;
      if (this.controller.signal.aborted) response.discard();
      onHead(response);
      const { status, rawHeaders, endsWithConnection } = response;
      return { head: { status, headers: rawHeaders, endsWithConnection } };
    } catch (error) {
      return { failure: failureOf(error), detail: errorMessage(error) };
    }
  }

  private async readChunk(): Promise<RelayReadAnswer> {
    const iterator = this.response?.body[Symbol.asyncIterator]();
    if (iterator === undefined) return { failure: 'broken', detail: 'the response has no body' };
    try {
      const step = await iterator.next();
      return step.done === true ? { hasEnded: true } : { chunk: step.value };
    } catch (error) {
      return { failure: 'broken', detail: errorMessage(error) };
    }
  }

  private restartUnreadTimer(): void {
    this.cancelUnreadTimer();
    this.cancelUnreadTimer = this.options.clock.schedule(UNREAD_TIMEOUT_MS, () => {
      this.cancel();
    });
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.cancelUnreadTimer();
    this.options.disconnected.removeEventListener('abort', this.onDisconnected);
    this.options.onClosed();
  }
}

function failureOf(error: unknown): RelayFailure {
  if (isConnectionRefused(error)) return 'refused';
  return error instanceof HttpNotSentError ? 'not_connected' : 'broken';
}
