/**
 * Finds out whether an answer belongs to the call that is in progress on its connection. A server may send a second answer to an earlier
 * call where the answer to the next one is expected. What an answer says may be used only if it names the call, if its connection has
 * carried no other call, or, for calls without an id, if it differs from the answer before. Connections are reused accordingly.
 */
import type { IncomingMessage } from 'node:http';
import type { BackendCall, BackendResponse } from './streaming-http.js';

/** How an answer relates to the call in progress on its connection. */
export type AnswerMatch =
  /** It names the call. */
  | 'named'
  /** Neither it nor the call has an id, and it is not the answer to the call before. */
  | 'distinct'
  /** It names no call, and the connection has carried no other call. */
  | 'sole'
  /** It is a second answer to the call before; that to the call in progress is still to come. */
  | 'repeated'
  /** It names an unknown call. */
  | 'other_call'
  /** It names no call, and the connection has carried another call before. */
  | 'no_call';

/** An answer that does not name the call in progress on its connection, although the call has an id or the answer names one. */
export interface UnmatchedAnswer {
  readonly match: Exclude<AnswerMatch, 'named' | 'distinct'>;
  /** Whether the answer is skipped and the next one on the connection awaited. */
  readonly isSkipped: boolean;
  readonly backEndId: string | undefined;
  /** Id of the call in progress; undefined if it has none. */
  readonly requestId: string | undefined;
  /** Id that the answer names; undefined if it names none. */
  readonly answeredId: string | undefined;
  readonly status: number;
}

/** The answer belongs to another call. The call itself may have been carried out. */
export class UnmatchedAnswerError extends Error {
  override readonly name = 'UnmatchedAnswerError';

  constructor(readonly match: UnmatchedAnswer['match']) {
    super(match === 'no_call' ? 'the answer names no call' : 'the answer names another call');
  }
}

/** Last call on a connection that was answered, and the head of its answer. */
interface AnsweredCall {
  readonly id: string | undefined;
  readonly operation: string;
  /** Undefined if the call has an id, which tells its answer from others. */
  readonly head: string | undefined;
}

/** Matches the answers of one client with its calls. */
export class AnswerMatcher {
  private readonly answered = new WeakMap<object, AnsweredCall>();

  /** @param answeredId Returns the id of the call that an answer names; undefined if it names none. */
  constructor(readonly answeredId: (headers: BackendResponse['headers']) => string | undefined) {}

  /** Whether an answer can name the call. */
  hasId({ requestId }: BackendCall): boolean {
    return requestId !== undefined && requestId !== '';
  }

  /**
   * Whether a call may use an idle connection: its answer must differ from that of the last call there. So that call had another id,
   * or was of another kind if this one has no id.
   */
  fits(call: BackendCall, connection: object): boolean {
    const before = this.answered.get(connection);
    return this.hasId(call) ? before?.id !== call.requestId : before?.operation !== operationOf(call);
  }

  match(call: BackendCall, connection: object, message: IncomingMessage): AnswerMatch {
    const answeredId = this.answeredId(message.headers as BackendResponse['headers']);
    const before = this.answered.get(connection);
    if (answeredId !== undefined) {
      if (answeredId === call.requestId) return 'named';
      return answeredId === before?.id ? 'repeated' : 'other_call';
    }
    if (before === undefined) return this.hasId(call) ? 'sole' : 'distinct';
    if (this.hasId(call)) return 'no_call';
    return headOf(message) === before.head ? 'repeated' : 'distinct';
  }

  /** Records the answer to a call. */
  noteAnswered(call: BackendCall, connection: object, message: IncomingMessage): void {
    const { requestId: id } = call;
    const head = this.hasId(call) ? undefined : headOf(message);
    this.answered.set(connection, { id, operation: operationOf(call), head });
  }
}

function operationOf({ method, target }: BackendCall): string {
  return `${method} ${target}`;
}

function headOf({ statusCode, rawHeaders }: IncomingMessage): string {
  return [statusCode, ...rawHeaders].join('\n');
}
