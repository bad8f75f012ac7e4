/** Verifies a token stream incrementally: in order, without gaps or duplicates, and complete. */
import { tokenText } from '@woodbarrow/standins';

/** Error object in a daemon's response. */
export interface AnswerError {
  readonly code?: string;
  readonly ran?: 'no' | 'maybe' | 'yes';
}

interface StreamEvent {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly error?: AnswerError;
}

const DATA_PREFIX = 'data: ';
const END_MARK = '[DONE]';
const EVENT_END = /\r?\n\r?\n/;

/** Parses a server-sent event stream and compares it with the tokens expected for one prompt. */
export class TokenStream {
  private buffered = '';
  private tokens = 0;
  private firstFault: string | undefined;
  private lastError: AnswerError | undefined;
  private hasEndMark = false;

  /** @param expected Number of tokens of the complete response. */
  constructor(
    private readonly marker: string,
    private readonly expected: number,
  ) {}

  /** The first fault of the stream, or undefined. */
  get fault(): string | undefined {
    return this.firstFault;
  }

  /** The error event that ended the stream, if any. */
  get error(): AnswerError | undefined {
    return this.lastError;
  }

  /** Processes the next part of the stream; events may be split over parts. */
  add(text: string): void {
    const events = (this.buffered + text).split(EVENT_END);
    this.buffered = events.pop() ?? '';
    for (const event of events) this.processEvent(event);
  }

  /** Verifies that a stream that was closed normally ends with an end mark or an error event. */
  end(): void {
    if (this.buffered !== '') this.recordFault('ended inside an event');
    if (!this.hasEndMark && this.lastError === undefined) this.recordFault('ended without mark or error');
  }

  private processEvent(event: string): void {
    if (this.hasEndMark || this.lastError !== undefined) {
      this.recordFault('something follows the end');
      return;
    }
    if (event === DATA_PREFIX + END_MARK) {
      this.hasEndMark = true;
      if (this.tokens < this.expected) this.recordFault(`complete after ${String(this.tokens)} tokens`);
      return;
    }
    const parsed = parseEvent(event);
    if (parsed === undefined) this.recordFault(`an event that cannot be read: ${event}`);
    else this.verifyContent(parsed);
  }

  private verifyContent({ choices, error }: StreamEvent): void {
    this.lastError = error;
    let content = choices?.[0]?.delta?.content ?? '';
    while (content !== '') {
      const token = tokenText(this.marker, this.tokens);
      if (this.tokens >= this.expected || !content.startsWith(token)) {
        this.recordFault(`after ${String(this.tokens)} tokens: ${content}`);
        return;
      }
      content = content.slice(token.length);
      this.tokens += 1;
    }
  }

  private recordFault(fault: string): void {
    this.firstFault ??= fault;
  }
}

function parseEvent(text: string): StreamEvent | undefined {
  if (!text.startsWith(DATA_PREFIX)) return undefined;
  try {
    return JSON.parse(text.slice(DATA_PREFIX.length)) as StreamEvent;
  } catch {
    // Reported by the caller of this function as an unreadable event.
    return undefined;
  }
}
