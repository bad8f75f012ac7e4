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
export const FREE_TURN: Turn = { sentTo: () => undefined, release: () => undefined };

interface HeldTurn {
  /** Process that the attempt was sent to, once it was. */
  processId?: string;
}

/** Turns of one daemon. */
export class SuspectTurns {
  private readonly held = new Map<string, HeldTurn>();
  /** Wakes those that wait for a turn of a content. */
  private readonly waiting = new Map<string, Set<() => void>>();

  /**
   * Resolves once no other attempt of the content is under way here; with a free turn when `signal` aborts, or when the content
   * is no longer suspected. Never rejects.
   */
  async take(content: string, isSuspect: () => boolean, signal: AbortSignal): Promise<Turn> {
    while (this.held.has(content)) {
      if (signal.aborted || !isSuspect()) return FREE_TURN;
      await this.nextChange(content, signal);
    }
    const turn: HeldTurn = {};
    this.held.set(content, turn);
    return {
      sentTo: (processId) => {
        turn.processId = processId;
      },
      release: () => {
        if (this.held.get(content) === turn) this.held.delete(content);
        this.wake(content);
      },
    };
  }

  /** Whether an attempt of a content is under way. */
  isTaken(content: string): boolean {
    return this.held.has(content);
  }

  /** Something has changed for a content: those that wait look again. */
  wake(content: string): void {
    for (const wake of this.waiting.get(content) ?? []) wake();
  }

  /** Processes that run other suspects now. */
  takenByOthers(content: string): string[] {
    const others = [...this.held].filter(([other]) => other !== content);
    return others.flatMap(([, { processId }]) => (processId === undefined ? [] : [processId]));
  }

  private nextChange(content: string, signal: AbortSignal): Promise<void> {
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
