/** The one error class of the project, built on modern-errors, and conversions to and from it. */
import ModernError from 'modern-errors';
import {
  ERROR_RESPONSES,
  answerFor,
  type ErrorResponseSpec,
  type ErrorKind,
  type RanState,
} from './kinds.js';

/** Options of {@link WoodbarrowError}. */
export interface WoodbarrowErrorOptions {
  /** The error that led to this one. */
  readonly cause?: unknown;
  /** Overrides the table's `ran` where the thrower knows better, for example after bytes were sent. */
  readonly ran?: RanState;
  /** Overrides the table's `Retry-After`, in seconds. */
  readonly retryAfterSeconds?: number;
  /** Further facts for the receiver, for example the newer revision after a lost race. */
  readonly details?: Readonly<Record<string, unknown>>;
}

class CustomError extends ModernError {
  /** Kind of the failure. */
  readonly kind: ErrorKind;
  /** Whether the request ran on an engine. */
  readonly ran: RanState;
  /** Seconds after which to come back. */
  readonly retryAfterSeconds: number | undefined;
  /** Further facts for the receiver. */
  readonly details: Readonly<Record<string, unknown>> | undefined;

  constructor(kind: ErrorKind, message: string, options: WoodbarrowErrorOptions = {}) {
    super(message);
    const answer = answerFor(kind);
    this.kind = kind;
    this.ran = options.ran ?? answer.ran;
    this.retryAfterSeconds = options.retryAfterSeconds ?? answer.retryAfterSeconds;
    this.details = options.details;
    // Set here rather than by modern-errors, which would merge the cause's message into this one's.
    if (options.cause !== undefined) this.cause = options.cause;
  }

  /** The table's answer for this error's kind. */
  get responseSpec(): ErrorResponseSpec {
    return answerFor(this.kind);
  }
}

/** A failure of one of the closed list of kinds. */
export type WoodbarrowError = CustomError & Error;

/** Makes {@link WoodbarrowError}s. */
export type WoodbarrowErrorConstructor = new (
  kind: ErrorKind,
  message: string,
  options?: WoodbarrowErrorOptions,
) => WoodbarrowError;

/** A failure of one of the closed list of kinds. */
export const WoodbarrowError = ModernError.subclass('WoodbarrowError', {
  custom: CustomError as never,
}) as unknown as WoodbarrowErrorConstructor;

/** What something thrown says. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Turns anything thrown into a {@link WoodbarrowError}; unknown errors become `internal`. */
export function toWoodbarrowError(thrown: unknown): WoodbarrowError {
  if (thrown instanceof WoodbarrowError) return thrown;
  return new WoodbarrowError('internal', messageOf(thrown), { cause: thrown });
}

/** Whether something thrown is a {@link WoodbarrowError} of one of the given kinds. */
export function isKind(thrown: unknown, ...kinds: ErrorKind[]): thrown is WoodbarrowError {
  return thrown instanceof WoodbarrowError && kinds.includes(thrown.kind);
}

/** Whether a string names an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, text);
}
