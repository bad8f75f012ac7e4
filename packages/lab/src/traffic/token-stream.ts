/** A caller's stream of tokens, judged as it comes: in order, each token once, complete only when all have come. */
import { tokenText } from '@woodbarrow/standins';

/** What a daemon says of a failure. */
export interface AnswerError {
  readonly code?: string;
  readonly ran?: 'no' | 'maybe' | 'yes';
}

interface StreamEvent {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly error?: AnswerError;
}

const DATA = 'data: ';
const END_MARK = '[DONE]';
const EVENT_END = /\r?\n\r?\n/;

/** Stream of the tokens that an engine gives to one prompt. */
export class TokenStream {
  private rest = '';
  private tokens = 0;
  private firstFault: string | undefined;
  private lastError: AnswerError | undefined;
  private hasEndMark = false;

  /** @param expected Number of tokens of the whole answer. */
  constructor(
    private readonly marker: string,
    private readonly expected: number,
  ) {}

  /** The first thing that is wrong with it, or undefined. */
  get fault(): string | undefined {
    return this.firstFault;
  }

  /** The error that it has brought, if any. */
  get error(): AnswerError | undefined {
    return this.lastError;
  }

  /** Takes text as it comes. */
  add(text: string): void {
    const events = (this.rest + text).split(EVENT_END);
    this.rest = events.pop() ?? '';
    for (const event of events) this.takeEvent(event);
  }

  /** The stream has ended regularly: either it is whole, or an error has said that it is not. */
  end(): void {
    if (this.rest !== '') this.note('ended inside an event');
    if (!this.hasEndMark && this.lastError === undefined) this.note('ended without mark or error');
  }

  private takeEvent(event: string): void {
    if (this.hasEndMark || this.lastError !== undefined) {
      this.note('something follows the end');
      return;
    }
    if (event === DATA + END_MARK) {
      this.hasEndMark = true;
      if (this.tokens < this.expected) this.note(`complete after ${String(this.tokens)} tokens`);
      return;
    }
    const parsed = toEvent(event);
    if (parsed === undefined) this.note(`an event that cannot be read: ${event}`);
    else this.takeContent(parsed);
  }

  private takeContent({ choices, error }: StreamEvent): void {
    this.lastError = error;
    let content = choices?.[0]?.delta?.content ?? '';
    while (content !== '') {
      const token = tokenText(this.marker, this.tokens);
      if (this.tokens >= this.expected || !content.startsWith(token)) {
        this.note(`after ${String(this.tokens)} tokens: ${content}`);
        return;
      }
      content = content.slice(token.length);
      this.tokens += 1;
    }
  }

  private note(fault: string): void {
    this.firstFault ??= fault;
  }
}

function toEvent(text: string): StreamEvent | undefined {
  if (!text.startsWith(DATA)) return undefined;
  try {
    return JSON.parse(text.slice(DATA.length)) as StreamEvent;
  } catch {
    // The caller could not read it either.
    return undefined;
  }
}
