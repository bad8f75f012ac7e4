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

/** Turns of one daemon. */
export class SuspectTurns {
  private readonly queues = new Map<string, Promise<void>>();
  /** Process under each content that has its turn. */
  private readonly processes = new Map<string, string>();

  /** Resolves once no other attempt of the content is under way here. Never rejects. */
  async take(content: string): Promise<Turn> {
    const before = this.queues.get(content);
    let end: () => void = () => undefined;
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    const queue = (before ?? Promise.resolve()).then(() => ended);
    this.queues.set(content, queue);
    await before;
    return {
      sentTo: (processId) => this.processes.set(content, processId),
      release: () => {
        this.processes.delete(content);
        if (this.queues.get(content) === queue) this.queues.delete(content);
        end();
      },
    };
  }

  /** Processes that run other suspects now. */
  takenByOthers(content: string): string[] {
    return [...this.processes].filter(([other]) => other !== content).map(([, processId]) => processId);
  }
}
