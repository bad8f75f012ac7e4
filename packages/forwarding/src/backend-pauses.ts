/**
 * Tracks pauses that back ends have requested from this daemon. Nothing is sent during a pause; after it a single request is sent
 * first, and the others once it has succeeded, so that queued requests don't overload the back end at once.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { NoticeField } from './backend-notice.js';
import { UNLIMITED_PERMIT, type SendPermit } from './send-permits.js';

/** Maximum length of a pause, in milliseconds; longer requests are cut to it. */
const MAX_PAUSE_MS = 3_600_000;
/** Poll interval while the first request after a pause is in flight, in milliseconds. */
const FIRST_REQUEST_POLL_MS = 100;

interface Pause {
  /** Monotonic time at which the pause ends. */
  readonly until: number;
  /** Whether the first request after the pause is in flight. */
  isFirstInFlight: boolean;
}

/** Pauses by back end. */
export class BackendPauses {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records the pause field of an answer.
   *
   * @param sentAt Monotonic time at which the request was sent: the answer to a request sent before the end of the pause cannot end it.
   */
  record(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    const current = this.pauses.get(backEndId);
    if (field.kind === 'said') {
      const until = this.clock.monotonic() + Math.min(MAX_PAUSE_MS, field.value);
      this.pauses.set(backEndId, { until: Math.max(current?.until ?? 0, until), isFirstInFlight: false });
    } else if (current !== undefined && sentAt >= current.until) this.pauses.delete(backEndId);
  }

  /** Milliseconds until a request may be sent; 0 if it may be sent now. */
  waitMs(backEndId: string): number {
    const pause = this.pauses.get(backEndId);
    if (pause === undefined) return 0;
    const remainingMs = pause.until - this.clock.monotonic();
    if (remainingMs > 0) return remainingMs;
    return pause.isFirstInFlight ? FIRST_REQUEST_POLL_MS : 0;
  }

  /** Returns a permit to send now; undefined during a pause and while the first request after it is in flight. */
  acquire(backEndId: string): SendPermit | undefined {
    if (this.waitMs(backEndId) > 0) return undefined;
    const pause = this.pauses.get(backEndId);
    if (pause === undefined) return { ...UNLIMITED_PERMIT, isValid: () => !this.pauses.has(backEndId) };
    pause.isFirstInFlight = true;
    const end = (): void => {
      pause.isFirstInFlight = false;
    };
    const isOpen = (): boolean => (this.pauses.get(backEndId) ?? pause) === pause;
    return { isValid: isOpen, refund: end, end };
  }

  /** Number of back ends that accept no requests now. */
  get count(): number {
    return [...this.pauses.keys()].filter((id) => this.waitMs(id) > 0).length;
  }

  /** Removes the pause of an incarnation that has ended. */
  forget(backEndId: string): void {
    this.pauses.delete(backEndId);
  }
}
