/** Sends a request by way of one other daemon and pulls the response. */
import { WoodbarrowError, errorMessage } from '@woodbarrow/errors';
import type { PeerNetwork } from '@woodbarrow/peering';
import {
  relayCancelMethod,
  relayReadMethod,
  relayStartMethod,
  type PeerMethod,
  type RelayFailure,
  type RelayReadAnswer,
  type RelayRefusal,
  type RelayStartAnswer,
  type RelayedHead,
} from '@woodbarrow/protocol';
import { HttpNotSentError, type BackendCall, type BackendResponse } from '@woodbarrow/runtime';
import type { RelayCandidate } from './relay-peers.js';

/** Time that a relay has to accept an exchange, in milliseconds. */
const START_TIMEOUT_MS = 600;
/** Time for which a read waits at the relay, in milliseconds. */
const READ_WAIT_MS = 500;
/** Time beyond the wait after which a relay counts as lost, in milliseconds. Another run is sought long before, see `RunReplacement`. */
const READ_GRACE_MS = 4000;

/** The relay did not send the request. */
export class RelayRefusedError extends Error {
  override readonly name = 'RelayRefusedError';

  constructor(
    readonly reason: RelayRefusal | 'no_answer' | 'unsupported',
    detail: string,
  ) {
    super(`relay sent nothing: ${detail}`);
  }
}

/** The relay could not connect to the back end, so the request was not sent. */
export class RelayNotConnectedError extends HttpNotSentError {
  constructor(
    readonly failure: Exclude<RelayFailure, 'broken'>,
    detail: string,
  ) {
    super(`relay: ${detail}`, failure === 'refused' ? { cause: refusedCause() } : undefined);
  }
}

/** The same cause as that of a refused direct connection. */
function refusedCause(): Error {
  return Object.assign(new Error('connection refused'), { code: 'ECONNREFUSED' });
}

/** One request by way of one relay. */
export class RelayClient {
  private hasEnded = false;
  /** Fails the call that waits for the relay. */
  private failCall: (error: Error) => void = () => undefined;

  constructor(
    private readonly peers: PeerNetwork,
    private readonly relay: RelayCandidate,
    /** Id of the exchange, unique over all daemons. */
    private readonly exchange: string,
    private readonly onEnded: () => void,
  ) {}

  /**
   * Resolves with the head of the response.
   *
   * @throws RelayRefusedError if the relay certainly sent nothing.
   * @throws RelayNotConnectedError if the relay could not connect to the back end.
   * @throws Error for any other failure; the back end may have received the request.
   */
  async send(call: BackendCall & { readonly backEndId: string }): Promise<BackendResponse> {
    const cancel = (): void => {
      this.cancel();
    };
    call.signal.addEventListener('abort', cancel, { once: true });
    try {
      await this.start(call);
      const head = await this.readHead();
      return this.toResponse(head, call.signal);
    } catch (error) {
      if (error instanceof RelayRefusedError || error instanceof RelayNotConnectedError) this.end();
      else this.cancel();
      throw error;
    }
  }

  private async start(call: BackendCall & { readonly backEndId: string }): Promise<void> {
    const { backEndId, requestId = '', method, target, headers, body } = call;
    const message = { exchange: this.exchange, backEndId, requestId, method, target, headers, body };
    let answer: RelayStartAnswer;
    try {
      answer = await this.call(relayStartMethod, message, START_TIMEOUT_MS);
    } catch (error) {
      const kind = error instanceof WoodbarrowError ? error.kind : undefined;
      if (kind === 'peer_unreachable') throw new RelayRefusedError('no_answer', errorMessage(error));
      // A build without relays does not know the method.
      if (kind === 'not_found') throw new RelayRefusedError('unsupported', errorMessage(error));
      throw error;
    }
    if (answer.refusal !== undefined) throw new RelayRefusedError(answer.refusal, answer.refusal);
  }

  private async readHead(): Promise<RelayedHead> {
    for (;;) {
      const { head, failure, detail = '' } = await this.read();
      if (head !== undefined) return head;
      if (failure === 'refused' || failure === 'not_connected')
        throw new RelayNotConnectedError(failure, detail);
      if (failure !== undefined) throw new Error(`relay: ${detail}`);
    }
  }

  /** Reads the next piece; without any field if none came in time. */
  private async read(): Promise<RelayReadAnswer> {
    const message = { exchange: this.exchange, waitMs: READ_WAIT_MS };
    return this.call(relayReadMethod, message, READ_WAIT_MS + READ_GRACE_MS);
  }

  /** Calls the relay. Fails at once when the exchange is cancelled, even if the relay does not answer. */
  private call<Request, Response>(
    method: PeerMethod<Request, Response>,
    message: Request,
    timeoutMs: number,
  ): Promise<Response> {
    if (this.hasEnded) return Promise.reject(new Error('request aborted'));
    const cancelled = new Promise<never>((_, reject) => {
      this.failCall = reject;
    });
    const answer = this.peers.call(this.relay.address, method, message, { timeoutMs, channel: 'bulk' });
    return Promise.race([answer, cancelled]);
  }

  private toResponse(head: RelayedHead, signal: AbortSignal): BackendResponse {
    return {
      status: head.status,
      headers: headersByName(head.headers),
      rawHeaders: head.headers,
      endsWithConnection: head.endsWithConnection,
      body: this.readBody(signal),
      discard: () => {
        this.cancel();
      },
    };
  }

  private async *readBody(signal: AbortSignal): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        if (signal.aborted) throw new Error('request aborted');
        const { chunk, hasEnded, failure, detail = '' } = await this.read();
        if (failure !== undefined) throw new Error(`relay: ${detail}`);
        if (hasEnded === true) {
          this.end();
          return;
        }
        if (chunk !== undefined) yield chunk;
      }
    } finally {
      this.cancel();
    }
  }

  /** Ends the work of the back end; without effect after the end of the response. */
  private cancel(): void {
    if (this.hasEnded) return;
    this.end();
    const options = { timeoutMs: START_TIMEOUT_MS, channel: 'bulk' } as const;
    // If this call is lost, the relay cancels when the connection closes or nothing is read any more.
    this.peers
      .call(this.relay.address, relayCancelMethod, { exchange: this.exchange }, options)
      .catch(() => undefined);
  }

  private end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.failCall(new Error('request aborted'));
    this.onEnded();
  }
}

/** Returns header values by lower-case name; repeated headers are joined. */
function headersByName(raw: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] ?? '').toLowerCase();
    const value = raw[index + 1] ?? '';
    headers[name] = headers[name] === undefined ? value : `${headers[name]}, ${value}`;
  }
  return headers;
}
