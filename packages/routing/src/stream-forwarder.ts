/** Passes an engine's answer on without reparsing it, and makes sure that a cut-off answer never looks whole. */
import { encodeText, readBody, type HttpResponse } from '@woodbarrow/runtime';
import { WoodbarrowError } from '@woodbarrow/errors';
import { CompletionStream } from './completion-stream.js';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** Called once, when the engine is done with the request. */
export type FinishCallback = (result: 'completed' | 'failed') => void;

/** The response for the caller. Whole answers are collected first, so that a cut-off one becomes an error. */
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
    throw new WoodbarrowError('stream_interrupted', 'the engine broke off its answer', { cause: error });
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
    // The caller is told below, unless it has the whole stream already.
  } finally {
    finish(stream.isComplete ? 'completed' : 'failed');
  }
  if (!stream.isComplete) yield interruptionEvent();
}

/** The explicit end of a stream that was cut off; no `[DONE]` follows it. */
function interruptionEvent(): Uint8Array {
  const error = {
    message: 'the engine broke off its answer',
    type: 'server_error',
    code: 'stream_interrupted',
    ran: 'yes',
    retryable: false,
  };
  return encodeText(`data: ${JSON.stringify({ error })}\n\n`);
}
