/** Summarizes one simulation run. */
import type { Violation, InForceTimes } from '../checkers/index.js';
import { isDeferrable } from '../traffic/request-facts.js';
import type { AcceleratorMeter } from './accelerator-meter.js';
import type { SimulatedDeployment } from './simulated-deployment.js';
import type { RequestHistory, TrafficDriver } from './traffic-driver.js';

/** Percentiles of a set of values, rounded; all zero for an empty set. */
export interface Distribution {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Number of requests by outcome. */
export interface RequestCounts {
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  readonly refusedByKind: Readonly<Record<string, number>>;
  /** Requests that ended in an interrupted stream, a closed connection or a corrupt response. */
  readonly failed: number;
  readonly unanswered: number;
  /** Requests that ran twice although they must run at most once. */
  readonly doubled: number;
}

/** Result of one seed, as printed by `simulate --json`. */
export interface SimulationSummary {
  readonly seed: number;
  readonly digest: string;
  readonly virtualSeconds: number;
  readonly events: number;
  readonly violations: readonly Violation[];
  readonly requests: RequestCounts;
  /** Time from first attempt to first content of served requests that found no ready replica and are not deferrable. */
  readonly coldStartMs: Distribution;
  /** Time from first attempt to first content of served deferrable requests. */
  readonly deferredStartMs: Distribution;
  /** Time from first attempt to first content of all served requests that are not deferrable. */
  readonly firstTokenMs: Distribution;
  readonly idleAcceleratorHours: number;
  readonly busyAcceleratorHours: number;
  readonly loads: number;
  readonly unloads: number;
  readonly maxReplicasOverDecided: number;
  readonly maxPlatformReaders: number;
  readonly configurationInForceMs: Distribution;
}

/** Inputs of {@link summarize}. */
export interface SummaryInput {
  readonly deployment: SimulatedDeployment;
  readonly traffic: TrafficDriver;
  readonly violations: readonly Violation[];
  readonly meter: AcceleratorMeter;
  readonly inForceTimes: InForceTimes;
  readonly seed: number;
}

/** Returns the summary of a finished run. */
export function summarize(input: SummaryInput): SimulationSummary {
  const { deployment, traffic, violations, meter, inForceTimes, seed } = input;
  const served = traffic.histories.filter((history) => history.attempts.at(-1)?.outcome === 'served');
  const urgent = served.filter((history) => !isDeferrable(history.planned.request, deployment.plan));
  const engines = [...deployment.workers.values()].map((slot) => slot.engine.record);
  return {
    seed,
    digest: deployment.world.digest,
    virtualSeconds: Math.round(deployment.world.now / 1000),
    events: deployment.world.eventCount,
    violations,
    requests: countRequests(traffic, violations),
    coldStartMs: distributionOf(urgent.filter((history) => history.cold).map(timeToFirstTokenMs)),
    deferredStartMs: distributionOf(
      served.filter((history) => !urgent.includes(history)).map(timeToFirstTokenMs),
    ),
    firstTokenMs: distributionOf(urgent.map(timeToFirstTokenMs)),
    idleAcceleratorHours: round(meter.idleHours),
    busyAcceleratorHours: round(meter.busyHours),
    loads: engines.reduce((total, record) => total + record.loads, 0),
    unloads: engines.reduce((total, record) => total + record.unloads, 0),
    maxReplicasOverDecided: violations.filter((violation) => violation.checker === 'replica-limit').length,
    maxPlatformReaders: deployment.platform.maximumReaders,
    configurationInForceMs: distributionOf(inForceTimes.milliseconds),
  };
}

/** Returns the nearest-rank percentiles of `values`, in any unit. */
export function distributionOf(values: readonly number[]): Distribution {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number): number => {
    const index = Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1);
    return Math.round(sorted[Math.max(0, index)] ?? 0);
  };
  return { count: sorted.length, p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1) };
}

function timeToFirstTokenMs(history: RequestHistory): number {
  return (history.attempts.at(-1)?.answeredAtMs ?? history.firstSentAtMs) - history.firstSentAtMs;
}

function countRequests(traffic: TrafficDriver, violations: readonly Violation[]): RequestCounts {
  const refusedByKind: Record<string, number> = {};
  const counts = { served: 0, refused: 0, failed: 0, unanswered: 0 };
  for (const { attempts } of traffic.histories) {
    const last = attempts.at(-1);
    switch (last?.outcome) {
      case 'served':
        counts.served += 1;
        break;
      case 'refused':
        counts.refused += 1;
        refusedByKind[last.code ?? 'unknown'] = (refusedByKind[last.code ?? 'unknown'] ?? 0) + 1;
        break;
      case undefined:
        counts.unanswered += 1;
        break;
      default:
        counts.failed += 1;
    }
  }
  const doubled = violations.filter((violation) => violation.checker === 'at-most-once').length;
  return { sent: traffic.histories.length, ...counts, refusedByKind, doubled };
}

function round(hours: number): number {
  return Math.round(hours * 1000) / 1000;
}
