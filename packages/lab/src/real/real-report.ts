/** Summary table and violations of a run on loopback. */
import { distributionOf } from '../simulation/simulation-summary.js';
import type { RealDeployment } from './real-deployment.js';
import type { TrafficTotals } from './real-traffic.js';

export type ReportRows = readonly (readonly [label: string, value: string])[];

/** Results of one run. */
export interface RealReport {
  readonly rows: ReportRows;
  /** Violated guarantees; empty if all held. */
  readonly violations: readonly string[];
}

/** Builds the report of a run from engine records and traffic totals. */
export function buildRealReport(deployment: RealDeployment, totals: TrafficTotals): RealReport {
  const { observations, engineRecords } = deployment;
  const loads = sum(engineRecords.map((record) => record.loads));
  const overcommits = sum(engineRecords.map((record) => record.overcommitsRefused));
  const refused = Object.entries(totals.refusedByKind);
  const first = distributionOf(totals.firstContentMs);
  const violations: string[] = [];
  if (totals.lost > 0) violations.push(`${String(totals.lost)} requests lost`);
  if (totals.doubled > 0) violations.push(`${String(totals.doubled)} requests doubled`);
  if (observations.maximumOverLimit > 0) violations.push('more replicas than the limit');
  if (observations.maximumMemoryShare > 1 || overcommits > 0)
    violations.push('memory committed beyond capacity');
  const rows: ReportRows = [
    ['sent', String(totals.sent)],
    ['served', String(totals.served)],
    [
      'refused',
      refused.length === 0 ? '0' : refused.map(([kind, count]) => `${kind} ${String(count)}`).join(', '),
    ],
    ['failed visibly', String(totals.failed)],
    ['lost', String(totals.lost)],
    ['doubled', String(totals.doubled)],
    ['first content p50/p99 ms', `${String(first.p50)} / ${String(first.p99)}`],
    ['loads', String(loads)],
    ['replicas above limit', String(Math.max(0, observations.maximumOverLimit))],
    ['most memory used', `${(observations.maximumMemoryShare * 100).toFixed(0)}% of a worker`],
    ['orders beyond memory', String(overcommits)],
    ['platform readers, most at once', String(deployment.platform.maximumReaders)],
  ];
  return { rows, violations };
}

/** Formats rows as aligned text. */
export function formatRows(rows: ReportRows): string {
  const width = Math.max(...rows.map(([label]) => label.length));
  return rows.map(([label, value]) => `  ${label.padEnd(width)}  ${value}`).join('\n');
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
