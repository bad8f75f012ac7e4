import { expect } from 'chai';
import { SERVICE, ZoneWorld, demand } from './zone-world.js';

describe('adapter versions', () => {
  /** Copies of adapters of m0 on the only worker. */
  function copies(zone: ZoneWorld): string[] {
    return [...(zone.workers.get('w0')?.models.get('m0') ?? [])];
  }

  function isInDirectory(zone: ZoneWorld, adapterVersion?: number): boolean {
    const target = { model: 'm0', adapter: 'a1' };
    const wanted = adapterVersion === undefined ? target : { ...target, adapterVersion };
    return zone.directory.holdersOf(SERVICE, wanted).length > 0;
  }

  it('are separate copies: a newer version is loaded beside the resident one', async () => {
    const zone = new ZoneWorld(41, 1);
    const coordinator = await zone.coordinator();
    expect((await zone.settle(demand(coordinator, 'm0', 'a1', 1))).held).to.equal(true);
    expect(isInDirectory(zone, 2)).to.equal(false);
    expect((await zone.settle(demand(coordinator, 'm0', 'a1', 2))).held).to.equal(true);
    expect(copies(zone)).to.have.members(['a1@1', 'a1@2']);
    expect([isInDirectory(zone, 1), isInDirectory(zone, 2)]).to.deep.equal([true, true]);
  });

  it('are loaded independently: a third version requested while the second is loading restarts no load', async () => {
    const zone = new ZoneWorld(42, 1);
    const coordinator = await zone.coordinator();
    await zone.settle(demand(coordinator, 'm0', 'a1', 1));
    const second = demand(coordinator, 'm0', 'a1', 2);
    await zone.world.run(zone.world.now + 10);
    const third = demand(coordinator, 'm0', 'a1', 3);
    const again = demand(coordinator, 'm0', 'a1', 2);
    const answers = await zone.settle(Promise.all([second, third, again]));
    expect(answers.map(({ held }) => held)).to.deep.equal([true, true, true]);
    expect(copies(zone)).to.have.members(['a1@1', 'a1@2', 'a1@3']);
    expect(zone.violations()).to.deep.equal([]);
  });

  it('serve a request for any version without another load', async () => {
    const zone = new ZoneWorld(43, 1);
    const coordinator = await zone.coordinator();
    await zone.settle(demand(coordinator, 'm0', 'a1', 2));
    expect(isInDirectory(zone)).to.equal(true);
    expect((await zone.settle(demand(coordinator, 'm0', 'a1'))).held).to.equal(true);
    expect(copies(zone)).to.deep.equal(['a1@2']);
  });

  it('are not evicted while requests for any version use them, and others are', async () => {
    const zone = new ZoneWorld(44, 1);
    const coordinator = await zone.coordinator();
    await zone.settle(demand(coordinator, 'm0', 'a1', 1));
    const ticket = zone.loads.start(
      'w0',
      { model: 'm0', adapter: 'a1' },
      { promptTokens: 1, outputTokens: 1 },
    );
    for (const adapter of ['a2', 'a3', 'a4', 'a5']) await zone.settle(demand(coordinator, 'm0', adapter));
    expect(copies(zone)).to.include('a1@1');
    ticket.ended();
    expect(zone.violations()).to.deep.equal([]);
  });

  it('are named in orders: a newer one is loaded, and an older one is unloaded by its own version', async () => {
    const zone = new ZoneWorld(45, 1);
    const coordinator = await zone.coordinator();
    for (const version of [1, 2, 3, 4]) await zone.settle(demand(coordinator, 'm0', 'a1', version));
    expect(copies(zone)).to.include('a1@4');
    expect(copies(zone)).not.to.include('a1@1');
    expect(isInDirectory(zone, 1)).to.equal(false);
    expect(zone.violations()).to.deep.equal([]);
  });
});
