/** Applies the {@link UnreadBudget} to the answers of one daemon: observes what is unread, pauses answers and ends them. */
import type { EventLog } from '@woodbarrow/observability';
import type { CancelTimer, Clock } from '@woodbarrow/runtime';
import type { UnreadAnswer, UnreadBudget } from './unread-budget.js';

/** Interval between observations while something is unread, in milliseconds: half the pause target of streams (200 ms). */
const OBSERVATION_MS = 100;
/** Minimum time between two log lines on pauses, in milliseconds. */
const PAUSE_LOG_MS = 1000;

/** An answer whose unread bytes can be observed. */
export interface ObservableAnswer {
  readonly requestId: string;
  /** Tenant or client that the bytes are charged to. */
  readonly caller: string;
  /** Returns the bytes that the client has not read; 0 once its connection is closed. */
  unreadBytes(): number;
  /** Ends the answer as incomplete. */
  end(): void;
}

/** Meter of one answer. */
export interface AnswerMeter {
  /**
   * Records a write.
   *
   * @param drained Resolves when the client's side can accept more data; absent if it can at once.
   * @returns the same, but not before the budget allows more.
   */
  admit(writtenBytes: number, drained: Promise<void> | undefined): Promise<void> | undefined;
  /** Nothing more is written. What is unread is observed until the client has read it. */
  release(): void;
}

/** Unread bytes and paused answers now, and ended answers since the start. */
export interface UnreadTotals {
  readonly bytes: number;
  readonly paused: number;
  readonly ended: number;
}

/** Totals of a daemon without a budget. */
export const NO_UNREAD_TOTALS: UnreadTotals = { bytes: 0, paused: 0, ended: 0 };

/** Unread answers of one daemon. */
export class UnreadAnswers {
  /** Answers with unread bytes, by their entry in the budget. */
  private readonly backlog = new Map<UnreadAnswer, ObservableAnswer>();
  private readonly resumeByPaused = new Map<UnreadAnswer, () => void>();
  /** Answers that were ended and whose connections may still be closing. */
  private readonly ended = new WeakSet<UnreadAnswer>();
  private cancelObservation: CancelTimer | undefined;
  private pauseLoggedAt = -Infinity;
  private endedCount = 0;

  constructor(
    private readonly budget: UnreadBudget,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  get totals(): UnreadTotals {
    return { bytes: this.budget.unreadBytes, paused: this.resumeByPaused.size, ended: this.endedCount };
  }

  /** Begins to observe an answer. */
  watch(answer: ObservableAnswer): AnswerMeter {
    const entry = this.budget.open(answer.caller, this.clock.monotonic());
    return {
      admit: (writtenBytes, drained) => {
        this.observe(entry, answer, writtenBytes);
        return drained === undefined
          ? this.untilAllowed(entry)
          : drained.then(() => {
              this.observe(entry, answer, 0);
              return this.untilAllowed(entry);
            });
      },
      release: () => {
        this.resume(entry);
        this.observe(entry, answer, 0);
      },
    };
  }

  private observe(entry: UnreadAnswer, answer: ObservableAnswer, writtenBytes: number): void {
    if (this.ended.has(entry)) return;
    this.budget.record(entry, answer.unreadBytes(), writtenBytes, this.clock.monotonic());
    if (entry.unreadBytes === 0) this.backlog.delete(entry);
    else this.backlog.set(entry, answer);
    this.scheduleObservation();
  }

  /** Resolves when more of the answer may be read from its worker; undefined if that is now. */
  private untilAllowed(entry: UnreadAnswer): Promise<void> | undefined {
    if (this.budget.mayRead(entry, this.clock.monotonic())) return undefined;
    this.logPause();
    return new Promise((resolve) => {
      this.resumeByPaused.set(entry, resolve);
    });
  }

  private scheduleObservation(): void {
    if (this.cancelObservation !== undefined || this.backlog.size === 0) return;
    this.cancelObservation = this.clock.schedule(OBSERVATION_MS, () => {
      this.cancelObservation = undefined;
      for (const [entry, answer] of this.backlog) this.observe(entry, answer, 0);
      this.endSlowest();
      this.resumeAllowed();
      this.scheduleObservation();
    });
  }

  private endSlowest(): void {
    const now = this.clock.monotonic();
    for (;;) {
      const entry = this.budget.answerToEnd(now);
      if (entry === undefined) return;
      const answer = this.backlog.get(entry);
      this.endedCount += 1;
      this.log.warned('unread_answer_ended', {
        request: answer?.requestId,
        caller: entry.caller,
        unreadBytes: entry.unreadBytes,
        stalledMs: Math.round(now - entry.progressAt),
        totalBytes: this.budget.unreadBytes,
        budgetBytes: this.budget.budgetBytes,
      });
      this.ended.add(entry);
      this.budget.close(entry);
      this.backlog.delete(entry);
      answer?.end();
      this.resume(entry);
    }
  }

  private resumeAllowed(): void {
    const now = this.clock.monotonic();
    for (const entry of [...this.resumeByPaused.keys()]) {
      if (this.budget.mayRead(entry, now)) this.resume(entry);
    }
  }

  private resume(entry: UnreadAnswer): void {
    this.resumeByPaused.get(entry)?.();
    this.resumeByPaused.delete(entry);
  }

  private logPause(): void {
    const now = this.clock.monotonic();
    if (now - this.pauseLoggedAt < PAUSE_LOG_MS) return;
    this.pauseLoggedAt = now;
    this.log.changed('unread_answers_paused', {
      paused: this.resumeByPaused.size + 1,
      totalBytes: this.budget.unreadBytes,
      budgetBytes: this.budget.budgetBytes,
    });
  }
}
