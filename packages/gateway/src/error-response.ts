/** Error responses in the format of the OpenAI API, extended by `ran`, `retryable` and `details`. */
import { errorResponseSpec, toWoodbarrowError, type WoodbarrowError } from '@woodbarrow/errors';
import { jsonResponse, type HttpResponse } from '@woodbarrow/runtime';

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

/** Returns the HTTP response for a thrown value. */
export function errorResponse(thrown: unknown): HttpResponse {
  const error = toWoodbarrowError(thrown);
  const retryAfter = error.retryAfterSeconds;
  const headers = retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfter)) };
  return jsonResponse(error.responseSpec.status, errorBody(error), headers);
}

/** Returns the response body for an error. The message of an internal error is not exposed. */
export function errorBody(error: WoodbarrowError): ErrorBody {
  const { status, retryable } = errorResponseSpec(error.kind);
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
