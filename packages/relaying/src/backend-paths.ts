/**
 * Tracks whether this daemon's own connections reach the back ends. Failed connections and missing answers lead to probes, and
 * lost paths are probed until they work again, so that clients' requests do not have to find out.
 */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import { logTaskFailures, type EventLog } from '@woodbarrow/observability';
import { BackgroundService, type Clock, type Random } from '@woodbarrow/runtime';
import type { PathProbe } from './path-probe.js';

/** Time without any answer of a back end to a request in progress after which the path is probed, in milliseconds. */
export const SILENCE_BEFORE_PROBE_MS = 300;
/** Interval between two probes of a lost path, in milliseconds. */
const LOST_PROBE_INTERVAL_MS = 1000;
/** Minimum interval between two probes of a path that works, in milliseconds. */
const WORKING_PROBE_INTERVAL_MS = 1000;
/** Interval at which due probes are started, in milliseconds. */
const TICK_MS = 250;
/** Other back ends that are probed when one is not reached, to tell a lost back end from a lost network. */
const COMPARISON_PROBES = 3;
/** Back ends that a daemon which reaches none probes in each interval. */
const RECOVERY_PROBES = 2;
const MAX_PROBES_PER_TICK = 8;
/** Minimum interval between two comparisons with other back ends, in milliseconds. */
const COMPARISON_INTERVAL_MS = 1000;
/** Lost paths from which on a comparison is made although back ends answer over connections opened earlier. */
const MANY_LOST_PATHS = 3;
/** Time for which a back end that other daemons do not reach either is used directly again, in milliseconds. */
const DOWN_MS = 1000;

/** Options of {@link BackendPaths}. */
export interface BackendPathsOptions {
  readonly directory: BackendDirectory;
  readonly probe: PathProbe;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Why a path was found to be lost. */
export type PathLossCause = 'not_connected' | 'no_answer' | 'no_back_end_reached';

interface LostPath {
  /** Monotonic time of the loss. */
  readonly since: number;
  nextProbeAt: number;
}

/** Gauges and counters for metrics. */
export interface PathTotals {
  /** Back ends whose direct path is lost. */
  readonly lost: number;
  /** Whether no back end is reached. */
  readonly isolated: boolean;
  /** Probes since the start, by result. */
  readonly probes: ReadonlyMap<'reached' | 'failed', number>;
}

/** Direct paths of one daemon to all back ends. */
export class BackendPaths extends BackgroundService {
  /** Called when this daemon has stopped reaching any back end. */
  onIsolated: () => void = () => undefined;
  /** Called when the path to a back end is lost. */
  onLost: (backEndId: string) => void = () => undefined;
  private readonly lost = new Map<string, LostPath>();
  /** Monotonic time until which a back end that nobody reaches counts as reachable, so that no relay is asked for it. */
  private readonly downUntil = new Map<string, number>();
  private readonly probing = new Map<string, Promise<boolean>>();
  /** Monotonic time of the last successful probe. */
  private readonly reachedAt = new Map<string, number>();
  private lastContactAt = -Infinity;
  /** Monotonic time of the last bytes of each back end. */
  private readonly contactAt = new Map<string, number>();
  private isolatedSince: number | undefined;
  private nextRecoveryProbeAt = 0;
  private comparedAt = -Infinity;
  private readonly probeCounts = new Map<'reached' | 'failed', number>();

  constructor(private readonly options: BackendPathsOptions) {
    super(options.clock, logTaskFailures(options.log));
  }

  /** Starts probing lost paths. */
  start(): void {
    this.tasks.loop(
      'paths.probe',
      () => TICK_MS,
      () => {
        this.startDueProbes();
        return Promise.resolve();
      },
    );
  }

  /** Whether requests to a back end should use this daemon's own connections. */
  isDirect(backEndId: string): boolean {
    if ((this.downUntil.get(backEndId) ?? -Infinity) > this.options.clock.monotonic()) return true;
    return this.isolatedSince === undefined && !this.lost.has(backEndId);
  }

  /** Whether this daemon reaches no back end. */
  get isIsolated(): boolean {
    return this.isolatedSince !== undefined;
  }

  get totals(): PathTotals {
    return { lost: this.lost.size, isolated: this.isIsolated, probes: this.probeCounts };
  }

  /** Records that bytes of a back end arrived over a direct connection. */
  noteContact(backEndId: string): void {
    this.lastContactAt = this.options.clock.monotonic();
    this.contactAt.set(backEndId, this.lastContactAt);
    this.downUntil.delete(backEndId);
  }

  /** Records that no connection to a back end could be opened, and compares with other back ends. */
  noteNotConnected(backEndId: string): void {
    this.markLost(backEndId, 'not_connected');
    this.tasks.spawn('paths.compare', () => this.compareWithOthers(backEndId));
  }

  /** Records that a back end left a request or call without an answer, and probes the path. */
  noteSilence(backEndId: string): void {
    if (!this.isDirect(backEndId) || this.probing.has(backEndId)) return;
    const lastReachedAt = this.reachedAt.get(backEndId) ?? -Infinity;
    if (this.options.clock.monotonic() - lastReachedAt < WORKING_PROBE_INTERVAL_MS) return;
    this.tasks.spawn('paths.check', () => this.checkSilent(backEndId));
  }

  /** Whether any back end has sent bytes over a direct connection within the last `forMs` milliseconds. */
  hasContactWithin(forMs: number): boolean {
    return this.options.clock.monotonic() - this.lastContactAt <= forMs;
  }

  /** Whether a back end has sent bytes over a direct connection since a monotonic time. */
  hasContactSince(backEndId: string, since: number): boolean {
    return (this.contactAt.get(backEndId) ?? -Infinity) >= since;
  }

  /** Records that other daemons do not reach a back end either. */
  noteDownForOthers(backEndId: string): void {
    this.downUntil.set(backEndId, this.options.clock.monotonic() + DOWN_MS);
  }

  /** Removes the state of a back end that no longer exists. */
  forget(backEndId: string): void {
    this.lost.delete(backEndId);
    this.downUntil.delete(backEndId);
    this.reachedAt.delete(backEndId);
    this.contactAt.delete(backEndId);
  }

  private async checkSilent(backEndId: string): Promise<void> {
    if (await this.probe(backEndId)) return;
    this.markLost(backEndId, 'no_answer');
    await this.compareWithOthers(backEndId);
  }

  /** Probes other back ends. If none of them is reached either, this daemon counts as isolated. */
  private async compareWithOthers(backEndId: string): Promise<void> {
    const now = this.options.clock.monotonic();
    if (this.isIsolated || now - this.comparedAt < COMPARISON_INTERVAL_MS) return;
    if (this.hasContactWithin(SILENCE_BEFORE_PROBE_MS) && this.lost.size < MANY_LOST_PATHS) return;
    this.comparedAt = now;
    const others = this.usableBackEnds().filter(({ id }) => id !== backEndId);
    const chosen = this.options.random.shuffle(others).slice(0, COMPARISON_PROBES);
    const reached = await Promise.all(chosen.map(({ id }) => this.probe(id)));
    if (reached.includes(true) || !this.lost.has(backEndId) || this.isIsolated) return;
    for (const { id } of chosen) this.markLost(id, 'no_back_end_reached');
    this.setIsolated(chosen.length + 1);
  }

  private setIsolated(probed: number): void {
    const now = this.options.clock.monotonic();
    this.isolatedSince = now;
    this.nextRecoveryProbeAt = now + LOST_PROBE_INTERVAL_MS;
    const lastContactAgoMs = Math.round(now - this.lastContactAt);
    this.options.log.warned('back_ends_unreachable', {
      probed,
      ...(Number.isFinite(lastContactAgoMs) ? { lastContactAgoMs } : {}),
    });
    this.onIsolated();
  }

  private endIsolation(backEndId: string): void {
    const { clock, log } = this.options;
    const now = clock.monotonic();
    const forMs = Math.round(now - (this.isolatedSince ?? now));
    this.isolatedSince = undefined;
    for (const path of this.lost.values()) path.nextProbeAt = now;
    log.changed('back_ends_reachable', { backEnd: backEndId, forMs });
  }

  private markLost(backEndId: string, cause: PathLossCause): void {
    if (this.lost.has(backEndId)) return;
    const now = this.options.clock.monotonic();
    this.lost.set(backEndId, { since: now, nextProbeAt: now + LOST_PROBE_INTERVAL_MS });
    this.options.log.changed('path_lost', { backEnd: backEndId, cause });
    this.onLost(backEndId);
  }

  private markReached(backEndId: string): void {
    const { clock, log } = this.options;
    const now = clock.monotonic();
    this.reachedAt.set(backEndId, now);
    const path = this.lost.get(backEndId);
    this.lost.delete(backEndId);
    if (path !== undefined)
      log.changed('path_restored', { backEnd: backEndId, forMs: Math.round(now - path.since) });
    if (this.isIsolated) this.endIsolation(backEndId);
  }

  private startDueProbes(): void {
    const now = this.options.clock.monotonic();
    if (this.isIsolated) {
      if (now < this.nextRecoveryProbeAt) return;
      this.nextRecoveryProbeAt = now + LOST_PROBE_INTERVAL_MS;
      const chosen = this.options.random.shuffle(this.usableBackEnds()).slice(0, RECOVERY_PROBES);
      for (const { id } of chosen) this.spawnProbe(id);
      return;
    }
    let started = 0;
    for (const [id, path] of this.lost) {
      if (path.nextProbeAt > now) continue;
      path.nextProbeAt = now + LOST_PROBE_INTERVAL_MS;
      this.spawnProbe(id);
      started += 1;
      if (started >= MAX_PROBES_PER_TICK) return;
    }
  }

  private spawnProbe(backEndId: string): void {
    this.tasks.spawn('paths.recover', async () => {
      await this.probe(backEndId);
    });
  }

  /** Probes a back end, with at most one probe for each at a time. */
  private probe(backEndId: string): Promise<boolean> {
    const ongoing = this.probing.get(backEndId);
    if (ongoing !== undefined) return ongoing;
    const probe = this.probeOnce(backEndId).finally(() => this.probing.delete(backEndId));
    this.probing.set(backEndId, probe);
    return probe;
  }

  private async probeOnce(backEndId: string): Promise<boolean> {
    const backEnd = this.options.directory.get(backEndId);
    if (backEnd === undefined) {
      this.forget(backEndId);
      return false;
    }
    const isReached = await this.options.probe.canReach(backEnd);
    const result = isReached ? 'reached' : 'failed';
    this.probeCounts.set(result, (this.probeCounts.get(result) ?? 0) + 1);
    if (isReached) this.markReached(backEndId);
    return isReached;
  }

  private usableBackEnds(): BackEnd[] {
    return this.options.directory.all().filter(({ draining }) => !draining);
  }
}
