/**
 * Structured, non-blocking log with rate limits: each class of lines has a limit per second, and lines that exceed the buffer
 * for standard output are dropped. Dropped lines are counted and reported at most once per second.
 */
import { write as writeToDescriptor } from 'node:fs';
import { pino, type Logger } from 'pino';
import type { Clock } from '@woodbarrow/runtime';
import type { EventDetails, EventLog } from './event-log.js';
import type { LogEventName } from './log-events.js';

/** Classes of log lines, each with its own rate limit. */
export type LineClass = 'routine' | 'failure' | 'change';

/** Writes bytes and calls `done` when the write has succeeded or failed. */
export type ByteSink = (bytes: Buffer, done: () => void) => void;

/** Options of {@link BoundedLog}. */
export interface BoundedLogOptions {
  readonly clock: Clock;
  /** Fields added to every line. */
  readonly fields: EventDetails;
  /** Destination of the lines. @default standard output */
  readonly sink?: ByteSink;
  /** Maximum number of lines per second for each class. */
  readonly linesPerSecond?: Readonly<Record<LineClass, number>>;
}

/** Maximum size of the buffer for standard output; further lines are dropped. */
export const MAX_PENDING_LOG_BYTES = 256 * 1024;
/** Delay for which lines are batched before a write, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;
const BUDGET_WINDOW_MS = 1000;
const DEFAULT_LINES_PER_SECOND: Readonly<Record<LineClass, number>> = {
  routine: 150,
  failure: 150,
  change: 200,
};
const STANDARD_OUTPUT = 1;

/** Log that drops lines over its limits instead of blocking the daemon. */
export class BoundedLog implements EventLog {
  /** Dropped lines since the start: by class when over the rate limit, and under `not_taken` when the buffer was full. */
  readonly dropped: Record<LineClass | 'not_taken', number> = {
    routine: 0,
    failure: 0,
    change: 0,
    not_taken: 0,
  };
  private readonly logger: Logger;
  private readonly sink: ByteSink;
  private readonly lineLimits: Readonly<Record<LineClass, number>>;
  private readonly usedLines: Record<LineClass, number> = { routine: 0, failure: 0, change: 0 };
  private windowStart = 0;
  private reportedDropped = 0;
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isFlushScheduled = false;

  constructor(private readonly options: BoundedLogOptions) {
    this.sink = options.sink ?? standardOutput;
    this.lineLimits = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    this.logger = pino(
      {
        base: { ...options.fields },
        messageKey: 'event',
        timestamp: () => `,"time":${String(options.clock.wall())}`,
      },
      {
        write: (line: string) => {
          this.enqueue(line);
        },
      },
    );
  }

  changed(event: LogEventName, details: EventDetails = {}): void {
    if (this.allows('change')) this.logger.info(details, event);
  }

  warned(event: LogEventName, details: EventDetails = {}): void {
    if (this.allows('failure')) this.logger.warn(details, event);
  }

  /** Logs a step of request processing, which occurs for every request. */
  routine(event: LogEventName, details: EventDetails): void {
    if (this.allows('routine')) this.logger.info(details, event);
  }

  /** Writes the buffered lines immediately, unless a write is in progress. */
  flush(): void {
    this.isFlushScheduled = false;
    if (this.isWriting || this.pendingLines.length === 0) return;
    const bytes = Buffer.from(this.pendingLines.join(''));
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.sink(bytes, () => {
      this.isWriting = false;
      if (this.pendingLines.length > 0) this.scheduleFlush();
    });
  }

  private allows(lineClass: LineClass): boolean {
    const now = this.options.clock.monotonic();
    if (now - this.windowStart >= BUDGET_WINDOW_MS) this.startWindow(now);
    if (this.usedLines[lineClass] >= this.lineLimits[lineClass]) {
      this.dropped[lineClass] += 1;
      return false;
    }
    this.usedLines[lineClass] += 1;
    return true;
  }

  private startWindow(now: number): void {
    this.windowStart = now;
    this.usedLines.routine = 0;
    this.usedLines.failure = 0;
    this.usedLines.change = 0;
    const { routine, failure, change, not_taken } = this.dropped;
    const total = routine + failure + change + not_taken;
    if (total > this.reportedDropped) {
      this.reportedDropped = total;
      this.logger.warn({ routine, failure, change, notTaken: not_taken }, 'log_lines_dropped');
    }
  }

  private enqueue(line: string): void {
    if (this.pendingBytes + line.length > MAX_PENDING_LOG_BYTES) {
      this.dropped.not_taken += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length;
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.clock.schedule(FLUSH_INTERVAL_MS, () => {
      this.flush();
    });
  }
}

/** Writes asynchronously: a blocked pipe then stalls a thread of the pool instead of the event loop. */
function standardOutput(bytes: Buffer, done: () => void): void {
  writeToDescriptor(STANDARD_OUTPUT, bytes, 0, bytes.length, null, (error, written) => {
    if (error === null && written < bytes.length) standardOutput(bytes.subarray(written), done);
    else done();
  });
}
