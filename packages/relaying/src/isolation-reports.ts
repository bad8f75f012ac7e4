/**
 * Reports to the other daemons that this one reaches no back end, once another daemon has confirmed that the back ends answer. Others
 * then choose other relays and coordinators. Without the confirmation the back ends may be down for all.
 */
import type { BackendDirectory } from '@woodbarrow/backends';
import { logTaskFailures, type EventLog } from '@woodbarrow/observability';
import type { IsolationNews } from '@woodbarrow/protocol';
import { BackgroundService, type Clock, type Random } from '@woodbarrow/runtime';
import type { BackendPaths } from './backend-paths.js';
import { ISOLATION_REPORT_TTL_MS } from './relay-peers.js';
import type { RelayedProbe } from './relayed-probe.js';

const CONFIRMATION_INTERVAL_MS = 500;
/** Interval at which the report is repeated, in milliseconds; two fit into its lifetime. */
const REPEAT_INTERVAL_MS = ISOLATION_REPORT_TTL_MS / 2;

/** Options of {@link IsolationReports}. */
export interface IsolationReportsOptions {
  readonly daemon: string;
  readonly directory: BackendDirectory;
  readonly paths: BackendPaths;
  readonly probe: RelayedProbe;
  /** Sends the report to all other daemons. */
  readonly announce: (news: IsolationNews) => void;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
}

/** Confirms and reports the isolation of one daemon. */
export class IsolationReports extends BackgroundService {
  private confirmedBy: string | undefined;
  private reportedAt = -Infinity;

  constructor(private readonly options: IsolationReportsOptions) {
    super(options.clock, logTaskFailures(options.log));
  }

  start(): void {
    this.tasks.loop(
      'isolation.report',
      () => CONFIRMATION_INTERVAL_MS,
      () => this.step(),
    );
  }

  /** Whether this daemon reaches no back end while another daemon does. */
  get isConfirmed(): boolean {
    return this.confirmedBy !== undefined;
  }

  private async step(): Promise<void> {
    const { paths, clock } = this.options;
    if (!paths.isIsolated) {
      this.withdraw();
      return;
    }
    await this.confirm();
    if (!this.isConfirmed || clock.monotonic() - this.reportedAt < REPEAT_INTERVAL_MS) return;
    this.reportedAt = clock.monotonic();
    this.announce(true);
  }

  private async confirm(): Promise<void> {
    if (this.confirmedBy !== undefined) return;
    const { directory, probe, paths, random, log } = this.options;
    const backEnd = random.pick(directory.all().filter(({ draining }) => !draining));
    if (backEnd === undefined) return;
    const answer = await probe.probeByPeers(backEnd);
    if (answer?.result !== 'running' || !paths.isIsolated) return;
    this.confirmedBy = answer.prober.id;
    log.warned('isolation_confirmed', { backEnd: backEnd.id, by: answer.prober.id });
  }

  private withdraw(): void {
    if (this.confirmedBy === undefined) return;
    this.confirmedBy = undefined;
    this.reportedAt = -Infinity;
    this.announce(false);
  }

  private announce(isIsolated: boolean): void {
    this.options.announce({ kind: 'isolation', daemon: this.options.daemon, isIsolated });
  }
}
