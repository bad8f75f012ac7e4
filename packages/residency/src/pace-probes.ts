/**
 * Reads the health answers of workers whose pace is unknown, so that it is known before there is traffic. Reads have a
 * price: they end once a worker's pace is known well enough, and for services whose workers do not report it.
 */
import type { BackEnd, ReportedLoad, ServiceDefinition, WorkerPaces } from '@woodbarrow/backends';
import { hasSlowLoads } from '@woodbarrow/backends';
import { leastBy, type Clock } from '@woodbarrow/runtime';

/** Port: reads the health answers of workers. */
export interface HealthClient {
  /** Resolves with the load that the answer reports, and with undefined when no usable answer arrives. Never rejects. */
  readLoad(backEnd: BackEnd, path: string): Promise<ReportedLoad | undefined>;
}

/** Minimum time between two reads of one worker, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1000;
/**
 * Figures from which a pace counts as known. The reads are further apart than a slow period of a worker lasts, and one
 * in seven falls into such a period: three figures rarely consist mostly of those.
 */
const SUFFICIENT_FIGURES = 3;
/**
 * Maximum number of reads of one worker. Three suffice at first; the others replace figures that decay before traffic
 * begins, for about 20 s.
 */
const MAX_READS_PER_WORKER = 7;

interface Reads {
  count: number;
  /** Monotonic time of the last read. */
  lastAt: number;
}

/** Options of {@link PaceProbes}. */
export interface PaceProbesOptions {
  readonly paces: WorkerPaces;
  readonly health: HealthClient;
  readonly clock: Clock;
}

/** Reads of one daemon, for all zones that it coordinates. */
export class PaceProbes {
  private readonly reads = new Map<string, Reads>();
  /** Whether the workers of a service report their pace; absent until a health answer shows it. */
  private readonly reportsPace = new Map<string, boolean>();

  constructor(private readonly options: PaceProbesOptions) {}

  /** Reads the workers of a service whose pace is unknown. To be called repeatedly with the workers of each zone. */
  readUnknown(service: ServiceDefinition, workers: readonly BackEnd[]): void {
    const { healthPath } = service;
    if (healthPath === undefined) return;
    for (const worker of this.dueWorkers(service, workers)) void this.read(worker, healthPath);
  }

  /** Returns the workers to be read now; only one until it is known that the service reports a pace. */
  dueWorkers({ name, engine }: ServiceDefinition, workers: readonly BackEnd[]): readonly BackEnd[] {
    if (engine === undefined || !hasSlowLoads(engine) || this.reportsPace.get(name) === false) return [];
    const due = workers.filter(({ id }) => this.isDue(id));
    if (this.reportsPace.get(name) === true) return due;
    const first = leastBy(due, ({ id }) => this.reads.get(id)?.count ?? 0);
    return first === undefined ? [] : [first];
  }

  /** Removes what is known of a worker that is gone. */
  forget(backEndId: string): void {
    this.reads.delete(backEndId);
  }

  private isDue(backEndId: string): boolean {
    const { paces, clock } = this.options;
    const reads = this.reads.get(backEndId);
    if (reads !== undefined && reads.count >= MAX_READS_PER_WORKER) return false;
    if (reads !== undefined && clock.monotonic() - reads.lastAt < MIN_READ_INTERVAL_MS) return false;
    return paces.weightOf(backEndId) < SUFFICIENT_FIGURES;
  }

  private async read(worker: BackEnd, path: string): Promise<void> {
    const { paces, health, clock } = this.options;
    const count = (this.reads.get(worker.id)?.count ?? 0) + 1;
    this.reads.set(worker.id, { count, lastAt: clock.monotonic() });
    const load = await health.readLoad(worker, path);
    if (load === undefined) return;
    this.reportsPace.set(worker.service, load.pacePercent !== undefined);
    // The worker may have been removed while it was read.
    if (load.pacePercent !== undefined && this.reads.has(worker.id))
      paces.record(worker.id, load.pacePercent);
  }
}
