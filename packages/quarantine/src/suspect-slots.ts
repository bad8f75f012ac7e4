/**
 * Suspects run one at a time: of one content a single attempt is under way on this daemon, and two contents that have
 * ended several processes never share one, so that the next end says which of them it was.
 */

/** A turn of one content. */
export interface Turn {
  /** The attempt goes to this process. */
  sentTo(processId: string): void;
  /** Ends the turn; calling it again does nothing. */
  release(): void;
}

/** The turn of a content that nothing is known against. */
export const UNRESTRICTED_SLOT: Turn = { sentTo: () => undefined, release: () => undefined };

interface HeldSlot {
  /** Process that the attempt was sent to, once it was. */
  processId?: string;
}

/** Turns of one daemon. */
export class SuspectSlots {
  private readonly held = new Map<string, HeldSlot>();
  /** Wakes those that wait for a turn of a content. */
  private readonly waiters = new Map<string, Set<() => void>>();

  /**
   * Resolves once no other attempt of the content is under way here; with a free turn when `signal` aborts, or when the content
   * is no longer suspected. Never rejects.
   */
  async acquire(content: string, isSuspect: () => boolean, signal: AbortSignal): Promise<Turn> {
    while (this.held.has(content)) {
      if (signal.aborted || !isSuspect()) return UNRESTRICTED_SLOT;
      await this.waitForWake(content, signal);
    }
    const slot: HeldSlot = {};
    this.held.set(content, slot);
    return {
      sentTo: (processId) => {
        slot.processId = processId;
      },
      release: () => {
        if (this.held.get(content) === slot) this.held.delete(content);
        this.wake(content);
      },
    };
  }

  /** Whether an attempt of a content is under way. */
  isHeld(content: string): boolean {
    return this.held.has(content);
  }

  /** Something has changed for a content: those that wait look again. */
  wake(content: string): void {
    for (const wake of this.waiters.get(content) ?? []) wake();
  }

  /** Processes that run other suspects now. */
  processesOfOthers(content: string): string[] {
    const others = [...this.held].filter(([other]) => other !== content);
    return others.flatMap(([, { processId }]) => (processId === undefined ? [] : [processId]));
  }

  private waitForWake(content: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.waiters.get(content) ?? new Set();
      this.waiters.set(content, waiters);
      const wake = (): void => {
        waiters.delete(wake);
        if (waiters.size === 0 && this.waiters.get(content) === waiters) this.waiters.delete(content);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      waiters.add(wake);
      signal.addEventListener('abort', wake);
    });
  }
}
