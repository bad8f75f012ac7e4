import { expect } from 'chai';
import { silentLog } from '@woodbarrow/observability';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { createUnreadAnswers } from '../src/unread-bound.js';

/** Guards against answers being paused or ended in deployments whose settings do not call for a bound. */
describe('bound on unread answers', () => {
  const clock = new SimulatedProcess(new SimulatedWorld(), { name: 'd', zone: 'a', region: 'r' });

  it('exists only where callers compete for capacity', () => {
    const settings = { hasContendedCapacity: false, memoryMb: 210 };
    expect(createUnreadAnswers(settings, clock, silentLog)).to.equal(undefined);
    const contended = { ...settings, hasContendedCapacity: true };
    expect(createUnreadAnswers(contended, clock, silentLog)?.totals.bytes).to.equal(0);
  });
});
