/** The error class that all packages throw, built on modern-errors, and helpers to convert to it. */
import ModernError from 'modern-errors';
import {
  ERROR_RESPONSES,
  errorResponseSpec,
  type ErrorResponseSpec,
  type ErrorKind,
  type RanState,
} from './kinds.js';

/** Options of the {@link WoodbarrowError} constructor. */
export interface WoodbarrowErrorOptions {
  readonly cause?: unknown;
  /** Overrides the `ran` of the error kind, for example when bytes of the request were already sent. */
  readonly ran?: RanState;
  /** Overrides the `Retry-After` of the error kind, in seconds. */
  readonly retryAfterSeconds?: number;
  /** Additional data sent to the receiver, for example the current revision after a conflicting write. */
  readonly details?: Readonly<Record<string, unknown>>;
}

class CustomError extends ModernError {
  readonly kind: ErrorKind;
  readonly ran: RanState;
  /** Delay before a retry in seconds; undefined when waiting does not help. */
  readonly retryAfterSeconds: number | undefined;
  /** Additional data sent to the receiver. */
  readonly details: Readonly<Record<string, unknown>> | undefined;

  constructor(kind: ErrorKind, message: string, options: WoodbarrowErrorOptions = {}) {
    super(message);
    const spec = errorResponseSpec(kind);
    this.kind = kind;
    this.ran = options.ran ?? spec.ran;
    this.retryAfterSeconds = options.retryAfterSeconds ?? spec.retryAfterSeconds;
    this.details = options.details;
    // Not passed to modern-errors, which would merge the cause's message into this error's message.
    if (options.cause !== undefined) this.cause = options.cause;
  }

  /** Status and retry advice of this error's kind, without the overrides. */
  get responseSpec(): ErrorResponseSpec {
    return errorResponseSpec(this.kind);
  }
}

/** An error with one of the closed list of kinds. */
export type WoodbarrowError = CustomError & Error;

/** Constructor signature of {@link WoodbarrowError}. */
export type WoodbarrowErrorConstructor = new (
  kind: ErrorKind,
  message: string,
  options?: WoodbarrowErrorOptions,
) => WoodbarrowError;

/** An error with one of the closed list of kinds. */
export const WoodbarrowError = ModernError.subclass('WoodbarrowError', {
  custom: CustomError as never,
}) as unknown as WoodbarrowErrorConstructor;

/** Returns the message of a thrown value, or its string form when it is not an `Error`. */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Converts a thrown value to a {@link WoodbarrowError}; any other value becomes kind `internal`. */
export function toWoodbarrowError(thrown: unknown): WoodbarrowError {
  if (thrown instanceof WoodbarrowError) return thrown;
  return new WoodbarrowError('internal', errorMessage(thrown), { cause: thrown });
}

/** Whether a thrown value is a {@link WoodbarrowError} of one of the given kinds. */
export function isKind(thrown: unknown, ...kinds: ErrorKind[]): thrown is WoodbarrowError {
  return thrown instanceof WoodbarrowError && kinds.includes(thrown.kind);
}

/** Whether a string names an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, text);
}
