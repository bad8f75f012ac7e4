/** HTTP client of a daemon's API for operators. */
import {
  HttpNotSentError,
  encodeText,
  readJson,
  UndiciHttpClient,
  type HttpResponse,
} from '@woodbarrow/runtime';
import { EXIT_CODES } from './exit-codes.js';

/** A failed command with its exit code. */
export class CommandError extends Error {
  override readonly name = 'CommandError';

  constructor(
    message: string,
    readonly exitCode: number,
    /** Response body of the daemon, if any. */
    readonly body?: unknown,
  ) {
    super(message);
  }
}

/** A configuration object with its revision. */
export interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly value: Record<string, unknown>;
}

const REQUEST_TIMEOUT_MS = 30_000;
const EXIT_CODE_BY_STATUS: Readonly<Record<number, number>> = {
  401: EXIT_CODES.denied,
  403: EXIT_CODES.denied,
  409: EXIT_CODES.conflict,
};

/** Sends requests to the operators' API of one daemon. */
export class OperatorClient {
  private readonly http = new UndiciHttpClient();

  constructor(
    private readonly origin: string,
    private readonly token: string,
  ) {}

  /** Sends a request and returns the JSON response. @throws CommandError when it fails or is refused. */
  async request(
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<unknown> {
    const response = await this.send(method, path, body, headers);
    const answer = await readJson(response.body).catch(() => undefined);
    if (response.status < 400) return answer;
    const error = (answer as { error?: { message?: string; code?: string } } | undefined)?.error;
    const message = `${error?.code ?? String(response.status)}: ${error?.message ?? 'no message'}`;
    throw new CommandError(message, EXIT_CODE_BY_STATUS[response.status] ?? EXIT_CODES.failure, answer);
  }

  /** Opens a streamed response. @throws CommandError when the status is not 200 or the daemon is unreachable. */
  async stream(path: string): Promise<AsyncIterable<Uint8Array>> {
    const response = await this.send('GET', path, undefined, {});
    if (response.status !== 200 || response.body instanceof Uint8Array) {
      throw new CommandError(
        `status ${String(response.status)}`,
        EXIT_CODE_BY_STATUS[response.status] ?? EXIT_CODES.failure,
      );
    }
    return response.body;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.http.close();
  }

  private async send(
    method: string,
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<HttpResponse> {
    try {
      return await this.http.send({
        method,
        origin: this.origin,
        path,
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json', ...headers },
        timeoutMs: REQUEST_TIMEOUT_MS,
        ...(body === undefined ? {} : { body: encodeText(JSON.stringify(body)) }),
      });
    } catch (error) {
      const reason = error instanceof HttpNotSentError ? 'is not reachable' : 'did not respond';
      throw new CommandError(`${this.origin} ${reason}`, EXIT_CODES.unreachable);
    }
  }
}
