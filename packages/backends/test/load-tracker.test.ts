import { expect } from 'chai';
import { SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import { LoadTracker, isTargetOfModel, summarizedReport } from '../src/index.js';

const SIZE = { promptTokens: 100, outputTokens: 10 };

describe('load tracker', () => {
  let world: SimulatedWorld;
  let books: LoadTracker[];

  beforeEach(() => {
    world = new SimulatedWorld();
    const process = new SimulatedProcess(world, { name: 'd', zone: 'a', region: 'r' });
    books = [0, 1, 2].map(() => new LoadTracker(process));
  });

  const book = (index: number): LoadTracker => books[index] as LoadTracker;

  it('sums the reports of several sources and counts repeated reports once', () => {
    for (const each of books) each.start('w', { model: 'm' }, SIZE);
    for (let time = 0; time < 3; time += 1) book(0).acceptReport('1', 'attached', book(1).ownReport());
    book(0).acceptReport('2', 'relay', book(2).ownReport());
    expect(book(0).loadOf('w')).to.deep.equal({ requests: 3, unreadTokens: 300, heldTokens: 330 });
    expect(book(0).requestsFor('w', 'm')).to.equal(3);
  });

  it('keeps no use times of requests that waited, since no back end is removed that would clear them', () => {
    const ticket = book(1).startWaiting({ model: 'm' }, 2);
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    expect(book(0).waitingFor('m', 2)).to.equal(1);
    ticket.ended();
    expect(book(1).waitingFor('m', 2)).to.equal(0);
    expect(book(1).idleMs('waiting/2/m', 'm')).to.equal(Infinity);
    expect(book(0).idleMs('waiting/2/m', 'm')).to.equal(Infinity);
    expect(book(1).ownReport().loads).to.deep.equal([]);
  });

  it('combines only reports of the given scopes and without the excluded source', () => {
    for (const each of books) each.start('w', { model: 'm' }, SIZE);
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    book(0).acceptReport('2', 'relay', book(2).ownReport());
    expect(book(0).combinedReport(['attached', 'relay'], '1').loads[0]?.requests).to.equal(2);
    expect(book(0).combinedReport(['attached']).loads[0]?.requests).to.equal(2);
    expect(book(0).combinedReport([]).loads[0]?.requests).to.equal(1);
  });

  it('expires work that is no longer reported, and decays demand', async () => {
    book(1).start('w', { model: 'm' }, SIZE);
    for (let count = 0; count < 8; count += 1) book(1).recordDemand('m');
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    expect(book(0).demandFor('m')).to.be.closeTo(8, 0.01);
    await world.run(2000);
    expect(book(0).demandFor('m')).to.be.closeTo(8 * Math.SQRT1_2, 0.01);
    await world.run(2100);
    expect(book(0).loadOf('w').requests).to.equal(0);
  });

  it('bounds demand that has stopped, however high it was', async () => {
    const ask = (): void => {
      for (let count = 0; count < 100; count += 1) book(1).recordDemand('m');
      book(0).acceptReport('1', 'attached', book(1).ownReport());
    };
    ask();
    await world.run(600);
    expect(book(0).demandFor('m')).to.be.greaterThan(80);
    for (let report = 0; report < 10; report += 1) {
      await world.run(world.now + 300);
      book(0).acceptReport('1', 'attached', book(1).ownReport());
    }
    expect(book(0).demandFor('m')).to.be.lessThan(5);
    ask();
    expect(book(0).demandFor('m')).to.be.greaterThan(100);
  });

  it('reports a target for a short time after its last request, so that others observe its use', async () => {
    book(1).start('w', { model: 'm', adapter: 'a' }, SIZE).ended();
    await world.run(300);
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    expect(book(0).idleMs('w', 'm/a')).to.equal(0);
    await world.run(2000);
    expect(book(1).ownReport().loads).to.deep.equal([]);
  });

  it('summarizes the work in progress by back end', () => {
    book(0).start('w', { model: 'm' }, SIZE);
    book(0).start('w', { model: 'n' }, SIZE);
    book(0).start('v', { model: 'n' }, SIZE).ended();
    const { loads, demand } = summarizedReport(book(0).ownReport());
    expect(loads).to.deep.equal([
      { backEndId: 'w', target: '', requests: 2, unreadTokens: 200, heldTokens: 220, endsInMs: 0 },
    ]);
    expect(demand).to.deep.equal([]);
  });

  // A coordinator that does not see them takes a model whose requests all wait for an unused one.
  it('counts waiting requests of all daemons and priorities by model, also from a summary', async () => {
    book(0).start('w', { model: 'm' }, SIZE);
    book(0).startWaiting({ model: 'm', adapter: 'a' }, 0);
    book(0).startWaiting({ model: 'm' }, 2).ended();
    book(1).startWaiting({ model: 'm' }, 1);
    book(2).startWaiting({ model: 'org/n' }, 9);
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    book(0).acceptReport('2', 'relay', summarizedReport(book(2).ownReport()));
    expect([...book(0).waitingByModel()]).to.have.deep.members([
      ['m', 2],
      ['org/n', 1],
    ]);
    await world.run(world.now + 2001);
    expect([...book(0).waitingByModel()]).to.deep.equal([['m', 1]]);
  });

  it('returns the same requests for all back ends at once as for one of them', () => {
    book(0).start('w', { model: 'm' }, SIZE);
    book(0).start('w', { model: 'n' }, SIZE).ended();
    book(1).start('w', { model: 'm', adapter: 'a' }, SIZE);
    book(2).start('v', { model: 'n' }, SIZE);
    book(0).acceptReport('1', 'attached', book(1).ownReport());
    book(0).acceptReport('2', 'relay', book(2).ownReport());
    const all = book(0).requestsByTarget();
    const requestsFor = (id: string, model: string): number =>
      [...(all.get(id) ?? [])].reduce(
        (sum, [key, count]) => sum + (isTargetOfModel(key, model) ? count : 0),
        0,
      );
    expect(all.size).to.equal(2);
    for (const id of ['v', 'w'])
      for (const model of ['m', 'n']) expect(requestsFor(id, model)).to.equal(book(0).requestsFor(id, model));
    expect(requestsFor('w', 'm')).to.equal(2);
  });
});
