/**
 * Whether the process behind a broken answer, or under a load that is no longer answered, has ended. A broken connection alone says nothing: connections are reset and
 * links cut while the process lives on. The process is asked, over a connection of its own.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { sleep, type Clock } from '@woodbarrow/runtime';

/** What one question to a process says. */
export type ProcessAnswer =
  /** It answered under its own id. */
  | 'running'
  /** Another process answers at its address. */
  | 'replaced'
  /** Nobody listens at its address. */
  | 'refused'
  /** No answer. */
  | 'unknown';

/** Port: asks a process whether it runs. Never rejects. */
export interface ProcessProbe {
  ask(backEnd: BackEnd): Promise<ProcessAnswer>;
}

/** What is known in the end. */
export type ProcessState = 'running' | 'ended' | 'unknown';

/** Pauses before each question, in milliseconds: a process that ends closes its connections before it stops listening. */
const PROBE_DELAYS_MS = [20, 100, 400, 1000];
/** Refusals in a row after which nobody listens any more: a single one may come of a full queue of connections. */
const REFUSALS_FOR_ENDED = 2;
/** Time for which it is remembered that a process has ended, in milliseconds. */
const ENDED_RETENTION_MS = 60_000;

/** Fates of processes, as one daemon finds them out; one check a process at a time. */
export class ProcessStateChecker {
  private readonly checks = new Map<string, Promise<ProcessState>>();
  private readonly endedAt = new Map<string, number>();

  constructor(
    private readonly probe: ProcessProbe,
    private readonly clock: Clock,
    /** Called when a process is found to have ended, here or by another daemon; again for one that is known. */
    private readonly onEnded: (processId: string) => void = () => undefined,
  ) {}

  /** Finds out whether a process has ended; some 2 s at the longest. Never rejects. */
  check(backEnd: BackEnd): Promise<ProcessState> {
    if (this.hasEnded(backEnd.id)) return Promise.resolve('ended');
    const ongoing = this.checks.get(backEnd.id);
    if (ongoing !== undefined) return ongoing;
    const check = this.probeUntilDecided(backEnd).finally(() => this.checks.delete(backEnd.id));
    this.checks.set(backEnd.id, check);
    return check;
  }

  /** Whether a process is known to have ended, for a while after it was found out. */
  hasEnded(processId: string): boolean {
    return this.endedAt.has(processId);
  }

  /** Another daemon found that a process has ended. */
  noteEnded(processId: string): void {
    const now = this.clock.monotonic();
    for (const [id, at] of this.endedAt) if (now - at > ENDED_RETENTION_MS) this.endedAt.delete(id);
    this.endedAt.set(processId, now);
    this.onEnded(processId);
  }

  private async probeUntilDecided(backEnd: BackEnd): Promise<ProcessState> {
    let refusals = 0;
    for (const pauseMs of PROBE_DELAYS_MS) {
      await sleep(this.clock, pauseMs);
      if (this.hasEnded(backEnd.id)) return 'ended';
      const result = await this.probe.ask(backEnd);
      if (result === 'running') return 'running';
      refusals = result === 'refused' ? refusals + 1 : 0;
      if (result === 'replaced' || refusals >= REFUSALS_FOR_ENDED) {
        this.noteEnded(backEnd.id);
        return 'ended';
      }
    }
    return this.hasEnded(backEnd.id) ? 'ended' : 'unknown';
  }
}
