// Guards against daemons whose shares of the slots of a brittle back end add up to more than it has, or leave slots to nobody.
import { BackendDirectory, LoadTracker, NO_NEARBY_COPIES } from '@woodbarrow/backends';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { SlotShare } from '../src/index.js';

const BACK_ENDS = ['b1', 'b2', 'b3'];

function shares(daemons: number, slots: number, declinesPerSecond: number | undefined): SlotShare[] {
  const world = new SimulatedWorld();
  const clock = new SimulatedProcess(world, { name: 'd', zone: 'z', region: 'r' });
  const directory = new BackendDirectory(clock);
  for (const id of BACK_ENDS)
    directory.put({
      id,
      name: id,
      service: 'portal',
      address: `${id}:80`,
      zone: 'z',
      slots,
      draining: false,
      models: [],
      nearby: NO_NEARBY_COPIES,
    });
  const members = Array.from({ length: daemons }, (_, index) => ({ id: `d${String(index)}` }));
  return members.map(
    ({ id }) =>
      new SlotShare({
        daemon: id,
        members: () => members,
        directory,
        loads: new LoadTracker(clock),
        declinesPerSecond: () => declinesPerSecond,
        clock,
      }),
  );
}

describe('shares of the slots of a brittle back end', () => {
  for (const [daemons, slots] of [
    [1, 8],
    [4, 8],
    [7, 6],
    [7, 64],
    [5, 24],
  ] as const) {
    it(`add up to its slots, ${String(daemons)} daemons and ${String(slots)} slots`, () => {
      const all = shares(daemons, slots, 3);
      for (const id of BACK_ENDS) {
        const limits = all.map((share) => share.maxRequests(id) ?? Infinity);
        // A daemon without a share may send single requests while half of the slots are free.
        const fixed = daemons <= slots ? limits : limits.slice(0, slots);
        expect(fixed.reduce((sum, limit) => sum + limit, 0)).to.equal(slots);
      }
    });
  }

  it('do not bound requests to back ends that are not brittle', () => {
    for (const share of shares(4, 8, undefined)) expect(share.maxRequests('b1')).to.equal(undefined);
  });

  it('are nothing for a while after a declined request', () => {
    const [share] = shares(4, 8, 3);
    share?.noteDeclined('b1');
    expect(share?.maxRequests('b1')).to.equal(0);
    expect(share?.maxRequests('b2')).to.equal(2);
  });
});
