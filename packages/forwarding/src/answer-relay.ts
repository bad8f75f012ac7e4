/** Relays answers of back ends to one client: bodies once they are complete, streams event by event. */
import type { BackendResponse, Clock } from '@woodbarrow/runtime';
import { ABORTED, raceAbort } from './race-abort.js';
import { BodyReader, type IdleTimeout, type ProcessCheck } from './body-reader.js';
import type { ByteStreamAnswer, EventStreamAnswer, PendingAnswer } from './client-answer.js';
import { EventSplitter } from './event-splitter.js';
import type { BufferedAnswer } from './request-completion.js';
import type { Continuation, StreamPosition } from './stream-position.js';
import type { SilenceEnd } from './run-replacement.js';
import type { WireDialect } from './wire-dialect.js';

/** Answers up to this size, in bytes, are buffered until complete, so that an incomplete one can be replaced. */
const MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

/** Result of relaying an answer that is not a stream. */
export type BodyRelayResult =
  /** The client has received all of it. */
  | { readonly kind: 'passed' }
  /** It is complete and buffered; nothing has been forwarded. */
  | { readonly kind: 'held'; readonly answer: BufferedAnswer }
  | BrokenResult
  | ReplacedResult;

/** The answer ended early, or the request's time ran out. */
export interface BrokenResult {
  readonly kind: 'broken';
  /** Bytes of an incomplete event at a regular end of the body; 0 if the connection broke. */
  readonly tornBytes: number;
  /** Whether the answer was silent until its process was known to have ended. */
  readonly wasSilent?: boolean;
  /** Whether an event, or comments between events, exceeded their limit. */
  readonly isOverlong?: boolean;
}

/** The answer was silent, and another run has taken its place. */
export interface ReplacedResult {
  readonly kind: 'replaced';
}

/** How long an answer may be silent, and what happens then. */
export interface SilenceOptions {
  /** Milliseconds without data after which another run is sought; unlimited when undefined. */
  readonly idleTimeoutMs: IdleTimeout;
  /** Called when the answer is silent. @param ready Resolves when the answer can be read on. */
  readonly onSilence: (ready: Promise<void>) => Promise<SilenceEnd>;
}

/** Result of relaying a stream. */
export type StreamRelayResult =
  /** The client has received all of it. */
  | { readonly kind: 'passed'; readonly lastEvent: string | undefined }
  /** An event does not follow those that the client has; it and all later ones were dropped. */
  | {
      readonly kind: 'refused';
      readonly reason: Exclude<Continuation, 'follows'>;
      readonly firstEvent: string | undefined;
    }
  | BrokenResult
  | ReplacedResult;

/** Options of {@link AnswerRelay.relayStream}. */
export interface StreamRelayOptions extends SilenceOptions {
  /** Position of the client in the stream; absent if the stream cannot be resumed, and then event ids are not checked. */
  readonly position?: StreamPosition;
  readonly isProcessAlive: ProcessCheck;
  /** Called before the client receives its first event. */
  readonly onBegin: () => void;
  /** Called once, when the first events of this run have been accepted. */
  readonly onAccepted: () => void;
}

/** Relay of one request; a stream may continue across several answers. */
export class AnswerRelay {
  /** Monotonic time at which the last chunk of a stream arrived. */
  private lastChunkAt: number | undefined;
  private maxGapMs = 0;
  private firstEventId: string | undefined;
  /** Whether a run ended inside an event, so that at least one more event must follow. */
  private expectsMoreEvents = false;

  constructor(
    private readonly dialect: WireDialect,
    private readonly clock: Clock,
    /** Aborts when time is up, so that a client that does not read cannot hold the request. */
    private readonly expired: AbortSignal,
  ) {}

  /** Longest time between two chunks of a stream, in milliseconds; 0 before the second chunk. */
  get longestGapMs(): number {
    return this.maxGapMs;
  }

  /** Id of the first event of the latest run. */
  get firstEventIdOfRun(): string | undefined {
    return this.firstEventId;
  }

  /**
   * Reads an answer to its end; one that exceeds the buffer is forwarded while it arrives. No other run can go on with what the client
   * has received, so that silence is limited only before.
   */
  async relayBody(
    client: PendingAnswer,
    answer: BackendResponse,
    silence: SilenceOptions,
    isProcessAlive: ProcessCheck,
  ): Promise<BodyRelayResult> {
    const reader = new BodyReader(answer, this.clock, isProcessAlive);
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    const buffered: Uint8Array[] = [];
    let byteAnswer: ByteStreamAnswer | undefined;
    let size = 0;
    for (;;) {
      const step = await reader.next(() => (byteAnswer === undefined ? silence.idleTimeoutMs() : undefined));
      if (step.kind === 'silent') {
        const end = await this.awaitReader(reader, answer, silence);
        if (end === undefined) continue;
        return end;
      }
      if (step.kind === 'broken') return { kind: 'broken', tornBytes: 0 };
      if (step.kind === 'end') break;
      buffered.push(step.chunk);
      size += step.chunk.byteLength;
      if (size <= MAX_BUFFERED_ANSWER_BYTES) continue;
      byteAnswer ??= client.beginBytes({ status: answer.status, headers });
      const drained = byteAnswer.write(Buffer.concat(buffered.splice(0)));
      if (await this.expiresBeforeDrained(drained)) return { kind: 'broken', tornBytes: 0 };
    }
    if (byteAnswer === undefined)
      return { kind: 'held', answer: { status: answer.status, headers, body: Buffer.concat(buffered) } };
    byteAnswer.complete();
    return { kind: 'passed' };
  }

  /**
   * Forwards a stream event by event. The client's answer begins with the first accepted event; until then another answer may
   * replace it. A resumed stream keeps the head of its first run.
   */
  async relayStream(
    client: PendingAnswer | EventStreamAnswer,
    answer: BackendResponse,
    options: StreamRelayOptions,
  ): Promise<StreamRelayResult> {
    const reader = new BodyReader(answer, this.clock, options.isProcessAlive);
    const splitter = new EventSplitter();
    this.firstEventId = undefined;
    let target = client;
    let hasAccepted = false;
    if (target.kind === 'events') target.startRun();
    for (;;) {
      const step = await reader.next(options.idleTimeoutMs);
      if (step.kind === 'silent') {
        const end = await this.awaitReader(reader, answer, options);
        if (end === undefined) continue;
        this.noteIncompleteEvent(splitter);
        return end;
      }
      if (step.kind === 'broken') return this.brokenResult(splitter);
      if (step.kind === 'end') break;
      this.recordChunkArrival();
      const events = splitter.push(step.chunk);
      if (splitter.isOverlong) {
        answer.discard();
        return { ...this.brokenResult(splitter), isOverlong: true };
      }
      if (events.length === 0) continue;
      this.firstEventId ??= events.find(({ id }) => id !== undefined)?.id;
      if (target.kind === 'not_begun') {
        const continuation = options.position?.check(events) ?? 'follows';
        if (continuation !== 'follows') return this.refuseContinuation(answer, continuation);
        target = this.begin(target, answer, options);
      }
      const { continuation, drained } = target.write(events);
      if (await this.expiresBeforeDrained(drained)) return { kind: 'broken', tornBytes: 0 };
      if (continuation !== 'follows') return this.refuseContinuation(answer, continuation);
      if (!hasAccepted) options.onAccepted();
      hasAccepted = true;
      this.expectsMoreEvents = false;
    }
    // Clients drop an event without its terminating blank line, so a stream that ends there must not look complete.
    if (splitter.incompleteEventBytes > 0 || this.expectsMoreEvents)
      return { ...this.brokenResult(splitter), tornBytes: splitter.incompleteEventBytes };
    if (!hasAccepted) options.onAccepted();
    if (target.kind === 'not_begun') target = this.begin(target, answer, options);
    // Comments after the last event are part of the body.
    const { remainder: bytes } = splitter;
    if (bytes.byteLength > 0) {
      const { drained } = target.write([{ bytes, isEvent: false }]);
      await this.expiresBeforeDrained(drained);
    }
    const lastEvent = target.lastEventId;
    target.complete();
    return { kind: 'passed', lastEvent };
  }

  /** Waits until the client's side can accept more data. Returns whether time ran out first. */
  private async expiresBeforeDrained(drained: Promise<void> | undefined): Promise<boolean> {
    if (drained === undefined) return this.expired.aborted;
    return (await raceAbort(drained, this.expired)) === ABORTED;
  }

  private begin(
    client: PendingAnswer,
    answer: BackendResponse,
    { position, onBegin }: StreamRelayOptions,
  ): EventStreamAnswer {
    onBegin();
    const headers = this.dialect.answerHeaders(answer.rawHeaders);
    return client.beginEvents({ status: answer.status, headers }, position);
  }

  private refuseContinuation(
    answer: BackendResponse,
    reason: Exclude<Continuation, 'follows'>,
  ): StreamRelayResult {
    answer.discard();
    return { kind: 'refused', reason, firstEvent: this.firstEventId };
  }

  /** Waits for a silent answer. Returns how it ended; undefined if it can be read on. */
  private async awaitReader(
    reader: BodyReader,
    answer: BackendResponse,
    { onSilence }: SilenceOptions,
  ): Promise<BrokenResult | ReplacedResult | undefined> {
    const end = await onSilence(reader.whenReady());
    if (end === 'ready') return undefined;
    answer.discard();
    return end === 'replaced' ? { kind: 'replaced' } : { kind: 'broken', tornBytes: 0, wasSilent: true };
  }

  private brokenResult(splitter: EventSplitter): BrokenResult {
    this.noteIncompleteEvent(splitter);
    return { kind: 'broken', tornBytes: 0 };
  }

  private noteIncompleteEvent({ incompleteEventBytes }: EventSplitter): void {
    this.expectsMoreEvents ||= incompleteEventBytes > 0;
  }

  private recordChunkArrival(): void {
    const now = this.clock.monotonic();
    if (this.lastChunkAt !== undefined) this.maxGapMs = Math.max(this.maxGapMs, now - this.lastChunkAt);
    this.lastChunkAt = now;
  }
}
