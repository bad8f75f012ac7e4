/** Passes calls to back ends on unchanged, and reports to {@link BackendPaths} what they show of the direct paths. */
import {
  HttpNotSentError,
  UnmatchedAnswerError,
  type BackendCall,
  type BackendClient,
  type BackendResponse,
  type Clock,
} from '@woodbarrow/runtime';
import { SILENCE_BEFORE_PROBE_MS, type BackendPaths } from './backend-paths.js';

/** Minimum duration of a call that ended without an answer for it to count as silence, in milliseconds. */
const MIN_SILENCE_MS = 200;

/** Client for direct connections whose calls are evidence of the paths. */
export class PathObserver implements BackendClient {
  constructor(
    private readonly client: BackendClient,
    private readonly paths: BackendPaths,
    private readonly clock: Clock,
  ) {}

  get connectionsOpened(): number {
    return this.client.connectionsOpened;
  }

  async send(call: BackendCall): Promise<BackendResponse> {
    const { backEndId } = call;
    if (backEndId === undefined) return this.client.send(call);
    const { paths, clock } = this;
    const sentAt = clock.monotonic();
    // While other back ends answer, a missing answer is no sign of a lost network; the end of the call is then judged.
    const cancelTimer = clock.schedule(SILENCE_BEFORE_PROBE_MS, () => {
      if (!paths.hasContactWithin(SILENCE_BEFORE_PROBE_MS)) paths.noteSilence(backEndId);
    });
    try {
      const response = await this.client.send(call);
      paths.noteContact(backEndId);
      return observeBody(response, () => {
        paths.noteContact(backEndId);
      });
    } catch (error) {
      const isAborted = call.signal.aborted;
      if (error instanceof HttpNotSentError && !isAborted) paths.noteNotConnected(backEndId);
      else if (error instanceof UnmatchedAnswerError) paths.noteContact(backEndId);
      else if (clock.monotonic() - sentAt >= MIN_SILENCE_MS && !paths.hasContactSince(backEndId, sentAt))
        paths.noteSilence(backEndId);
      throw error;
    } finally {
      cancelTimer();
    }
  }

  closeIdleConnections(address: string): void {
    this.client.closeIdleConnections(address);
  }
}

/** Returns the response with a body that reports each chunk. */
function observeBody(response: BackendResponse, onChunk: () => void): BackendResponse {
  const iterator = response.body[Symbol.asyncIterator]();
  const body: AsyncIterableIterator<Uint8Array> = {
    [Symbol.asyncIterator]: () => body,
    next: async () => {
      const step = await iterator.next();
      if (step.done !== true) onChunk();
      return step;
    },
    return: () => iterator.return?.() ?? Promise.resolve({ done: true, value: undefined }),
  };
  return {
    status: response.status,
    headers: response.headers,
    rawHeaders: response.rawHeaders,
    endsWithConnection: response.endsWithConnection,
    body,
    discard: () => {
      response.discard();
    },
  };
}
