// Guards against a daemon that takes one dead back end for a lost network, or a lost network for dead back ends.
import { expect } from 'chai';
import { SimulatedPaths } from './simulated-network.js';

const BACK_ENDS = ['b1', 'b2', 'b3', 'b4', 'b5'];

function cutOff(network: SimulatedPaths): void {
  for (const id of BACK_ENDS) network.unreachable.add(id);
}

describe('direct paths to back ends', () => {
  it('are all lost within a second of the first failed connection when no back end is reached', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    cutOff(network);
    network.paths.noteNotConnected('b1');
    await network.advance(1000);
    expect(network.paths.isIsolated).to.equal(true);
    for (const id of BACK_ENDS) expect(network.paths.isDirect(id)).to.equal(false);
  });

  it('are all lost within a second of silence on a connection that stays open', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    cutOff(network);
    network.paths.noteSilence('b3');
    await network.advance(1000);
    expect(network.paths.isIsolated).to.equal(true);
  });

  it('are lost for one back end alone while others are reached', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    network.unreachable.add('b1');
    network.paths.noteNotConnected('b1');
    await network.advance(1000);
    expect(network.paths.isIsolated).to.equal(false);
    expect(network.paths.isDirect('b1')).to.equal(false);
    expect(network.paths.isDirect('b2')).to.equal(true);
  });

  it('stay in use when a slow back end answers a probe', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    network.paths.noteSilence('b1');
    await network.advance(1000);
    expect(network.paths.isDirect('b1')).to.equal(true);
    expect(network.probed).to.deep.equal(['b1']);
  });

  it('are in use again within 1.5 s of the end of a cut, without a request of a client, each time', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    for (let cut = 0; cut < 3; cut += 1) {
      cutOff(network);
      network.paths.noteNotConnected('b1');
      await network.advance(4000);
      expect(network.paths.isIsolated).to.equal(true);
      network.unreachable.clear();
      await network.advance(1500);
      expect(network.paths.isIsolated).to.equal(false);
      for (const id of BACK_ENDS) expect(network.paths.isDirect(id), id).to.equal(true);
    }
  });

  it('are used directly for a while when other daemons do not reach the back end either', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    network.unreachable.add('b1');
    network.paths.noteNotConnected('b1');
    network.paths.noteDownForOthers('b1');
    expect(network.paths.isDirect('b1')).to.equal(true);
    await network.advance(1200);
    expect(network.paths.isDirect('b1')).to.equal(false);
  });

  it('are not probed for each of many failed connections to one dead back end', async () => {
    const network = new SimulatedPaths(BACK_ENDS);
    network.unreachable.add('b1');
    for (let failure = 0; failure < 50; failure += 1) {
      network.paths.noteNotConnected('b1');
      await network.advance(10);
    }
    expect(network.probed.length).to.be.below(5);
  });
});
