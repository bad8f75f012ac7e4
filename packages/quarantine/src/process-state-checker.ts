/**
 * Determines whether a process has ended after a response broke off or a load call was not answered. A
 * broken connection alone is no proof, because connections are also reset by the network. The process
 * is probed over a separate connection.
 */
import type { BackEnd } from '@woodbarrow/backends';
import { sleep, type Clock } from '@woodbarrow/runtime';

/** Result of one probe. */
export type ProbeResult =
  /** The process answered under its own id. */
  | 'running'
  /** Another process answers at its address. */
  | 'replaced'
  /** The connection was refused. */
  | 'refused'
  /** There was no answer. */
  | 'unknown';

/** Port that probes whether a process runs. Never rejects. */
export interface ProcessProbe {
  probe(backEnd: BackEnd): Promise<ProbeResult>;
}

/** Outcome of a check. */
export type ProcessState = 'running' | 'ended' | 'unknown';

/**
 * Delays before each probe, in milliseconds. A process that exits may still accept connections after
 * its open connections have closed.
 */
const PROBE_DELAYS_MS = [20, 100, 400, 1000];
/**
 * Consecutive refusals that prove that the process has ended. A single refusal may come from a full
 * accept queue.
 */
const REFUSALS_FOR_ENDED = 2;
/** Time for which an ended process is remembered, in milliseconds. */
const ENDED_RETENTION_MS = 60_000;

interface OngoingCheck {
  readonly state: Promise<ProcessState>;
  /** Number of checks requested before this one began. */
  readonly beganAt: number;
}

/** Checks processes, with at most one check per process at a time. */
export class ProcessStateChecker {
  private readonly checks = new Map<string, OngoingCheck>();
  private requestedChecks = 0;
  private readonly endedAt = new Map<string, number>();

  constructor(
    private readonly probe: ProcessProbe,
    private readonly clock: Clock,
    /**
     * Called when a process is found to have ended, by this daemon or another one. May be called
     * repeatedly for the same process.
     */
    private readonly onEnded: (processId: string) => void = () => undefined,
  ) {}

  /**
   * Determines whether a process has ended. Takes up to the sum of the probe delays and the probes.
   * Never rejects.
   */
  check(backEnd: BackEnd): Promise<ProcessState> {
    this.requestedChecks += 1;
    return this.checkSince(backEnd, this.requestedChecks);
  }

  /** A check that began before it was requested may have found the process running just before its end, and is repeated. */
  private async checkSince(backEnd: BackEnd, requestedAt: number): Promise<ProcessState> {
    if (this.hasEnded(backEnd.id)) return 'ended';
    const ongoing = this.checks.get(backEnd.id);
    if (ongoing === undefined) return this.startCheck(backEnd);
    const state = await ongoing.state;
    const isCurrent = ongoing.beganAt >= requestedAt || state === 'ended';
    return isCurrent ? state : this.checkSince(backEnd, requestedAt);
  }

  private startCheck(backEnd: BackEnd): Promise<ProcessState> {
    const state = this.probeUntilDecided(backEnd).finally(() => this.checks.delete(backEnd.id));
    this.checks.set(backEnd.id, { state, beganAt: this.requestedChecks });
    return state;
  }

  /**
   * Returns whether a process was found to have ended. The result is remembered for
   * {@link ENDED_RETENTION_MS}.
   */
  hasEnded(processId: string): boolean {
    return this.endedAt.has(processId);
  }

  /** Records that a process has ended, as found by this daemon or another one. */
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
      const result = await this.probe.probe(backEnd);
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
