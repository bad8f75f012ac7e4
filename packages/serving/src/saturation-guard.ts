/** Watches the event loop of a daemon and decides which arrivals it admits while it is saturated. */
import { AdmissionControl, type SaturationChange } from '@woodbarrow/forwarding';
import type { EventLog } from '@woodbarrow/observability';
import { LoopDelay, type Clock } from '@woodbarrow/runtime';

/** Admitted share below which a daemon reports that it is not ready, so that new clients go to others. */
const READY_SHARE = 0.5;

/** Options of {@link SaturationGuard}. */
export interface SaturationGuardOptions {
  readonly clock: Clock;
  /** Whether the event loop serves this daemon alone; otherwise nothing is measured or refused. @default true */
  readonly hasOwnEventLoop?: boolean;
  readonly log: EventLog;
  /** Returns the number of requests in progress. */
  readonly inProgress: () => number;
}

/** Admission control of one daemon, with the measurement that it follows. */
export class SaturationGuard {
  readonly admission: AdmissionControl;
  private readonly delay: LoopDelay;

  constructor(private readonly options: SaturationGuardOptions) {
    const { clock } = options;
    this.delay = new LoopDelay(clock);
    this.admission = new AdmissionControl({
      delay: this.delay,
      clock,
      onChange: (change) => {
        this.logChange(change);
      },
    });
  }

  /** Whether new clients are better served by another daemon. */
  get shouldAvoidClients(): boolean {
    return this.admission.totals.admittedShare < READY_SHARE;
  }

  /** Measures and adjusts until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.options.hasOwnEventLoop === false) return;
    await this.delay.run(signal, () => {
      this.admission.update();
    });
  }

  private logChange({ isSaturated, standingMs, ageMs, admittedShare, refused }: SaturationChange): void {
    const { log, inProgress } = this.options;
    log.changed(isSaturated ? 'daemon_saturated' : 'daemon_unsaturated', {
      standingDelayMs: Math.round(standingMs),
      ageMs: Math.round(ageMs),
      admittedShare,
      refused,
      inProgress: inProgress(),
    });
  }
}
