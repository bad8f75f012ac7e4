/** Forwards an engine's response without parsing its content, and marks a truncated response as an error. */
import { encodeText, readBody, type HttpResponse } from '@woodbarrow/runtime';
import { WoodbarrowError } from '@woodbarrow/errors';
import { CompletionStream } from './completion-stream.js';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** Called once, when the engine's response has ended. */
export type FinishCallback = (result: 'completed' | 'failed') => void;

/**
 * Returns the response for the caller. A response that is not streamed is read completely first, so that a truncated
 * one becomes an error.
 *
 * @throws WoodbarrowError `stream_interrupted`
 */
export async function forwardStream(
  response: HttpResponse,
  streaming: boolean,
  finish: FinishCallback,
): Promise<HttpResponse> {
  if (streaming) {
    return { status: 200, headers: STREAM_HEADERS, body: forwardEvents(response.body, finish) };
  }
  try {
    const body = await readBody(response.body);
    finish('completed');
    return { status: 200, headers: { 'content-type': 'application/json' }, body };
  } catch (error) {
    finish('failed');
    throw new WoodbarrowError('stream_interrupted', 'the engine did not complete its response', {
      cause: error,
    });
  }
}

async function* forwardEvents(
  body: HttpResponse['body'],
  finish: FinishCallback,
): AsyncGenerator<Uint8Array> {
  const stream = new CompletionStream();
  try {
    for await (const chunk of body instanceof Uint8Array ? [body] : body) {
      const events = stream.push(chunk);
      if (events !== undefined) yield events;
    }
  } catch {
    // Reported below, unless the complete stream has already been forwarded.
  } finally {
    finish(stream.isComplete ? 'completed' : 'failed');
  }
  if (!stream.isComplete) yield interruptionEvent();
}

/** Error event that ends a truncated stream; no `[DONE]` follows it. */
function interruptionEvent(): Uint8Array {
  const error = {
    message: 'the engine did not complete its response',
    type: 'server_error',
    code: 'stream_interrupted',
    ran: 'yes',
    retryable: false,
  };
  return encodeText(`data: ${JSON.stringify({ error })}\n\n`);
}
