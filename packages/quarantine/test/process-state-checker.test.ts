// Guards against the end of a process that is missed because an earlier check, still in progress, found it running.
import { NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { SimulatedProcess, SimulatedWorld, sleep } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { ProcessStateChecker, type ProcessState } from '../src/process-state-checker.js';

const BACK_END: BackEnd = {
  id: 'b1',
  name: 'b1',
  service: 'models',
  address: 'b1:80',
  zone: 'zone-a',
  slots: 8,
  draining: false,
  models: [],
  nearby: NO_NEARBY_COPIES,
};
const PROBE_MS = 300;

describe('checks of whether a process has ended', () => {
  it('do not take over the result of a check that began before the answer ended', async () => {
    const world = new SimulatedWorld();
    const clock = new SimulatedProcess(world, { name: 'd1', zone: 'zone-a', region: 'r' });
    let isRunning = true;
    let probes = 0;
    const checker = new ProcessStateChecker(
      {
        probe: async () => {
          probes += 1;
          const result = isRunning ? 'running' : 'refused';
          await sleep(clock, PROBE_MS);
          return result;
        },
      },
      clock,
    );
    const states: ProcessState[] = [];
    const check = async (): Promise<void> => {
      states.push(await checker.check(BACK_END));
    };
    void check();
    await world.run(100);
    isRunning = false;
    void check();
    void check();
    await world.run(5000);
    expect(states).to.deep.equal(['running', 'ended', 'ended']);
    expect(probes, 'probes, the two later checks together').to.equal(3);
  });
});
