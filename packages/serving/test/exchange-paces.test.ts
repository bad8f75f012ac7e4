import { expect } from 'chai';
import { ExchangeWorld } from './exchange-world.js';

describe('exchange of the pace of workers', () => {
  let world: ExchangeWorld;

  beforeEach(async () => {
    world = new ExchangeWorld();
    await world.start(20);
  });

  afterEach(() => {
    for (const daemon of world.daemons) daemon.kill();
  });

  it('adds up the paces of workers at every daemon, and sends none where no worker reports any', async () => {
    const sent: unknown[] = [];
    for (const { paces } of world.daemons) {
      const combined = paces.combinedReport.bind(paces);
      paces.combinedReport = (...scopes) => {
        const entries = combined(...scopes);
        sent.push(...entries);
        return entries;
      };
    }
    await world.cluster.advance(3000);
    expect(sent).to.deep.equal([]);
    for (const { paces } of world.daemons) paces.record('w1', 160);
    await world.cluster.advance(4000);
    // The figures decay by a quarter on the way.
    expect(world.daemonsFailing(({ paces }) => paces.weightOf('w1') > 10)).to.deep.equal([]);
    expect(world.daemonsFailing(({ paces }) => paces.weightOf('w1') <= 20.5)).to.deep.equal([]);
    expect(world.daemonsFailing(({ paces }) => paces.paceOf('w1') > 1.4)).to.deep.equal([]);
  });

  it('keeps its own figures of a worker when a daemon is cut off, then takes the pace for unknown', async () => {
    const [isolated, other] = world.daemons.filter(({ exchange }) => !exchange.isRelay);
    if (isolated === undefined || other === undefined) throw new Error('too few attached daemons');
    for (let count = 0; count < 5; count += 1) {
      other.paces.record('seen elsewhere', 160);
      isolated.paces.record('seen here', 160);
      await world.cluster.advance(1000);
    }
    await world.cluster.advance(2000);
    expect(isolated.paces.paceOf('seen elsewhere')).to.be.above(1.3);
    world.cluster.network.cut((from, to) => [from.name, to.name].includes(isolated.self.id));
    await world.cluster.advance(13_000);
    expect(isolated.paces.paceOf('seen elsewhere')).to.equal(1);
    expect(isolated.paces.paceOf('seen here')).to.be.above(1.1);
  });
});
