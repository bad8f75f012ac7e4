import { expect } from 'chai';
import {
  CHECKER_NAMES,
  parseScenario,
  runSimulation,
  type CheckerName,
  type Scenario,
} from '../src/index.js';
import { PLANTED_DEFECTS } from './planted-defects.js';

const BASE_SCENARIO = `
name: planted
durationSeconds: 60
settleSeconds: 20
zones: [{ name: alpha, daemons: 3 }]
workers: [{ zone: alpha, count: 3, memoryGib: 80, diskCacheShare: 1 }]
tenants:
  - name: desk
    partner: quetzal
    modelGroups: [{ prefix: contract, count: 4, memoryGib: 30, concurrency: 4 }]
    parameters: { priorityClasses: [{ name: standard, priority: 50, defaultWaitSeconds: 20 }] }
traffic:
  - { tenant: desk, models: contract, arrivals: { type: poisson, perSecond: 2 }, keyedShare: 0.5 }
`;

/** Faults that a checker's scenario needs to expose the planted defect. */
const FAULTS_BY_CHECKER: Partial<Record<CheckerName, string>> = {
  'answered-in-wait':
    '[{ type: cut-zone, at: 2, durationSeconds: 40, target: alpha }, { type: kill-worker, at: 1, durationSeconds: 50, target: alpha-w1 }, { type: kill-worker, at: 1, durationSeconds: 50, target: alpha-w2 }, { type: kill-worker, at: 1, durationSeconds: 50, target: alpha-w3 }]',
  'stream-order':
    '[{ type: kill-worker, at: 15, durationSeconds: 5, target: alpha-w1 }, { type: kill-worker, at: 25, durationSeconds: 5, target: alpha-w2 }, { type: kill-worker, at: 35, durationSeconds: 5, target: alpha-w3 }]',
  'leaving-drained':
    '[{ type: reclaim-worker, at: 5, durationSeconds: 50, target: alpha-w1 }, { type: reclaim-worker, at: 5, durationSeconds: 50, target: alpha-w2 }]',
  'planned-stop': '[{ type: drain-daemon, at: 20 }, { type: drain-daemon, at: 30 }]',
  'configuration-monotone': '[{ type: operator-race, at: 10, durationSeconds: 0 }]',
  'configuration-in-force': '[{ type: operator-race, at: 10, durationSeconds: 0 }]',
};

function scenarioFor(checker: CheckerName): Scenario {
  const faults = FAULTS_BY_CHECKER[checker];
  const memory =
    checker === 'memory-commit' ? BASE_SCENARIO.replace('memoryGib: 80', 'memoryGib: 40') : BASE_SCENARIO;
  // Long responses ensure that requests are in progress when a daemon stops or a worker is killed.
  const isLong = checker === 'planned-stop' || checker === 'stream-order';
  const text = isLong ? memory.replace('keyedShare: 0.5', 'tokens: [2000, 3000]') : memory;
  return parseScenario(faults === undefined ? text : `${text}faults: ${faults}\n`);
}

describe('checkers', () => {
  for (const checker of CHECKER_NAMES) {
    it(`${checker} reports no violation in unmodified code and detects its planted defect`, async () => {
      const scenario = scenarioFor(checker);
      const clean = await runSimulation({ scenario, seed: 1 });
      expect(clean.summary.violations).to.deep.equal([]);
      const restore = PLANTED_DEFECTS[checker]();
      try {
        const { summary } = await runSimulation({ scenario, seed: 1 });
        expect(summary.violations.map((violation) => violation.checker)).to.include(checker);
      } finally {
        restore();
      }
    });
  }
});
