/**
 * Serializes the runs of suspects. A daemon runs one attempt of a suspect at a time, and contents that
 * have each crashed several processes never share one, so that the next crash can be attributed.
 */

/** The right to run one attempt of a content. */
export interface SuspectSlot {
  /** Records the process that the attempt is sent to. */
  assignProcess(processId: string): void;
  /** Releases the slot. Further calls have no effect. */
  release(): void;
}

/** Slot of a content that is no suspect. */
export const UNRESTRICTED_SLOT: SuspectSlot = { assignProcess: () => undefined, release: () => undefined };

interface HeldSlot {
  /** Process that the attempt was sent to, if any. */
  processId?: string;
}

/** Slots of one daemon. */
export class SuspectSlots {
  private readonly held = new Map<string, HeldSlot>();
  /** Callbacks that wake the waiters for a slot, by content. */
  private readonly waiting = new Map<string, Set<() => void>>();

  /**
   * Waits until no other attempt of the content holds the slot. Returns {@link UNRESTRICTED_SLOT} if
   * `signal` aborts or the content is no longer a suspect. Never rejects.
   */
  async acquire(content: string, isSuspect: () => boolean, signal: AbortSignal): Promise<SuspectSlot> {
    while (this.held.has(content)) {
      if (signal.aborted || !isSuspect()) return UNRESTRICTED_SLOT;
      await this.waitForWake(content, signal);
    }
    const slot: HeldSlot = {};
    this.held.set(content, slot);
    return {
      assignProcess: (processId) => {
        slot.processId = processId;
      },
      release: () => {
        if (this.held.get(content) === slot) this.held.delete(content);
        this.wake(content);
      },
    };
  }

  /** Returns whether an attempt of a content holds the slot. */
  isHeld(content: string): boolean {
    return this.held.has(content);
  }

  /** Wakes the waiters of a content so that they check its state again. */
  wake(content: string): void {
    for (const wake of this.waiting.get(content) ?? []) wake();
  }

  /** Returns the processes that run other suspects. */
  processesOfOthers(content: string): string[] {
    const others = [...this.held].filter(([other]) => other !== content);
    return others.flatMap(([, { processId }]) => (processId === undefined ? [] : [processId]));
  }

  private waitForWake(content: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.waiting.get(content) ?? new Set();
      this.waiting.set(content, waiting);
      const wake = (): void => {
        waiting.delete(wake);
        if (waiting.size === 0 && this.waiting.get(content) === waiting) this.waiting.delete(content);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      waiting.add(wake);
      signal.addEventListener('abort', wake);
    });
  }
}
