/**
 * Pauses that back ends have asked this daemon for. While one lasts nothing is sent there; after it one request goes first, and the
 * others once that has been answered well: a queue that comes back all at once would overload the back end again.
 */
import type { Clock } from '@woodbarrow/runtime';
import type { NoticeField } from './backend-notice.js';
import { FREE_PERMIT, type SendPermit } from './send-permits.js';

/** Longest pause that is kept, in milliseconds: one that asks for more is tried again after it. */
const MAX_PAUSE_MS = 3_600_000;
/** Time after which to look again while the first request after a pause is under way, in milliseconds. */
const FIRST_REQUEST_POLL_MS = 100;

interface Pause {
  /** Monotonic. */
  readonly until: number;
  /** The request that goes first is under way. */
  isFirstInFlight: boolean;
}

/** Pauses by back end. */
export class BackendPauses {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly clock: Clock) {}

  /**
   * Takes what the head of an answer says of a pause.
   *
   * @param sentAt Monotonic time at which the request was sent: what was under way when a pause began cannot end it.
   */
  record(backEndId: string, field: NoticeField<number>, sentAt: number): void {
    const current = this.pauses.get(backEndId);
    if (field.kind === 'said') {
      const until = this.clock.monotonic() + Math.min(MAX_PAUSE_MS, field.value);
      this.pauses.set(backEndId, { until: Math.max(current?.until ?? 0, until), isFirstInFlight: false });
    } else if (current !== undefined && sentAt >= current.until) this.pauses.delete(backEndId);
  }

  /** Milliseconds until a request may be sent; 0 when it may be now. */
  waitMs(backEndId: string): number {
    const pause = this.pauses.get(backEndId);
    if (pause === undefined) return 0;
    const remainingMs = pause.until - this.clock.monotonic();
    if (remainingMs > 0) return remainingMs;
    return pause.isFirstInFlight ? FIRST_REQUEST_POLL_MS : 0;
  }

  /** A permit to send now; undefined during a pause, and while the first request after one is under way. */
  acquire(backEndId: string): SendPermit | undefined {
    if (this.waitMs(backEndId) > 0) return undefined;
    const pause = this.pauses.get(backEndId);
    if (pause === undefined) return { ...FREE_PERMIT, isValid: () => !this.pauses.has(backEndId) };
    pause.isFirstInFlight = true;
    const end = (): void => {
      pause.isFirstInFlight = false;
    };
    const isOpen = (): boolean => (this.pauses.get(backEndId) ?? pause) === pause;
    return { isValid: isOpen, giveBack: end, end };
  }

  /** Number of back ends that are left alone now. */
  get count(): number {
    return [...this.pauses.keys()].filter((id) => this.waitMs(id) > 0).length;
  }

  /** Forgets an incarnation that has ended. */
  forget(backEndId: string): void {
    this.pauses.delete(backEndId);
  }
}
