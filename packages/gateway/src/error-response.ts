/** Error answers in the shape that OpenAI's clients expect, with this project's additions. */
import { answerFor, toWoodbarrowError, type WoodbarrowError } from '@woodbarrow/errors';
import { jsonResponse, type HttpResponse } from '@woodbarrow/runtime';

/** The body of an error answer. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: 'invalid_request_error' | 'server_error';
    readonly code: string;
    readonly ran: 'no' | 'maybe' | 'yes';
    readonly retryable: boolean;
    readonly details?: Readonly<Record<string, unknown>>;
  };
}

const MIN_SERVER_ERROR_STATUS = 500;

/** The answer for anything thrown. */
export function errorResponse(thrown: unknown): HttpResponse {
  const error = toWoodbarrowError(thrown);
  const retryAfter = error.retryAfterSeconds;
  const headers = retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfter)) };
  return jsonResponse(error.responseSpec.status, errorBody(error), headers);
}

/** The body for an error. An internal failure's own message stays inside. */
export function errorBody(error: WoodbarrowError): ErrorBody {
  const { status, retryable } = answerFor(error.kind);
  return {
    error: {
      message: error.kind === 'internal' ? 'internal error' : error.message,
      type: status >= MIN_SERVER_ERROR_STATUS ? 'server_error' : 'invalid_request_error',
      code: error.kind,
      ran: error.ran,
      retryable: retryable && error.ran === 'no',
      ...(error.details === undefined ? {} : { details: error.details }),
    },
  };
}
