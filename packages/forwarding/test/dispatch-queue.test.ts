import { expect } from 'chai';
import { FleetOfDaemons, type RequestKind } from './full-workers.js';

const STREAM = { runMs: 1500, tokens: 1000 };
/** Requests for the busiest model of the drafting service (docs/HARD-LOAD.md). */
const KINDS: readonly RequestKind[] = [
  {
    name: 'check',
    share: 0.5,
    priority: 0,
    runMs: 250,
    targetMs: 302,
    tokens: 430,
    value: 1.3,
    lateValue: 0.4,
  },
  { name: 'batch', share: 0.1, priority: 1, targetMs: 2502, value: 20.2, lateValue: 3, ...STREAM },
  { name: 'interactive', share: 0.4, priority: 2, targetMs: 402, value: 1.6, lateValue: 0.48, ...STREAM },
];
const PER_SECOND = 42;

describe('DispatchQueue under the load of the drafting service', () => {
  for (const daemons of [1, 12, 74])
    for (const hasQueue of [false, true])
      it(`explore ${String(daemons)} ${String(hasQueue)}`, async () => {
        const fleet = new FleetOfDaemons(daemons, 3, hasQueue);
        const line = (phase: string): void => {
          console.log(
            daemons,
            hasQueue,
            phase,
            'use',
            fleet.largestUse,
            'VALUE',
            [...fleet.results.values()].reduce((a, r) => a + r.value, 0).toFixed(0),
            ...[...fleet.results].map(
              ([n, r]) =>
                `${n} ${r.total} in ${(r.inTime / r.total).toFixed(2)} ref ${(r.refused / r.total).toFixed(2)} aband ${(r.abandoned / r.total).toFixed(2)}`,
            ),
            JSON.stringify(
              fleet.daemons
                .map((d) => d.queue.totals)
                .reduce((a, b) => ({
                  waiting: a.waiting + b.waiting,
                  waited: a.waited + b.waited,
                  refused: a.refused + b.refused,
                  lastResort: a.lastResort + b.lastResort,
                })),
            ),
          );
        };
        await fleet.play(PER_SECOND, 20, KINDS);
        await fleet.world.run(fleet.world.now + 10_000);
        line('normal');
        fleet.results.clear();
        await fleet.play(PER_SECOND, 3, KINDS);
        fleet.results.clear();
        await fleet.play(3 * PER_SECOND, 3, KINDS);
        await fleet.play(PER_SECOND, 5, KINDS);
        await fleet.world.run(fleet.world.now + 15_000);
        line('burst');
        expect(1).to.equal(1);
      });
});
