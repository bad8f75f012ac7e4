// Guards against a lost network that is taken for the end of a process, and against the end of a process that nobody may confirm.
import { BackendDirectory } from '@woodbarrow/backends';
import { CallFailures, silentLog } from '@woodbarrow/observability';
import { SimulatedCluster } from '@woodbarrow/peering';
import type { ProbeResult } from '@woodbarrow/quarantine';
import { Random } from '@woodbarrow/runtime';
import { expect } from 'chai';
import { BackendPaths, RelayPeers, RelayService, RelayedProbe } from '../src/index.js';
import { backEnd } from './simulated-network.js';

interface Prober {
  readonly probe: RelayedProbe;
  readonly paths: BackendPaths;
  readonly directory: BackendDirectory;
}

describe('probes of processes', () => {
  let cluster: SimulatedCluster;
  /** What each daemon's own probe shows. */
  let own: ProbeResult[];

  beforeEach(() => {
    cluster = new SimulatedCluster({ seed: 4 });
  });

  async function addDaemon(index: number): Promise<Prober> {
    const name = `d${String(index)}`;
    const { process: clock, peers, random } = await cluster.add(name);
    const directory = new BackendDirectory(clock);
    for (const id of ['b1', 'b2']) directory.put(backEnd(id));
    const direct = { probe: () => Promise.resolve(own[index] ?? 'unknown') };
    const canReach = (): Promise<boolean> => Promise.resolve(own[index] === 'running');
    const paths = new BackendPaths({ directory, probe: { canReach }, clock, random, log: silentLog });
    const members = () =>
      own.map((_, each) => ({
        id: `d${String(each)}`,
        address: `d${String(each)}:8082`,
        zone: 'zone-a',
        capacity: 100,
      }));
    const relayPeers = new RelayPeers({
      selfId: name,
      zone: 'zone-a',
      members,
      clock,
      random: new Random(1),
    });
    new RelayService({
      directory,
      paths,
      client: {
        connectionsOpened: 0,
        send: () => Promise.reject(new Error('not used')),
        closeIdleConnections: () => undefined,
      },
      probe: direct,
      peers,
      acquire: () => ({ end: () => undefined }),
      onHead: () => undefined,
      isStopping: () => false,
      clock,
    }).start();
    const failures = new CallFailures(clock, silentLog);
    return { probe: new RelayedProbe({ direct, paths, relayPeers, peers, failures }), paths, directory };
  }

  async function addDaemons(results: readonly ProbeResult[]): Promise<Prober[]> {
    own = [...results];
    const daemons: Prober[] = [];
    for (const index of own.keys()) daemons.push(await addDaemon(index));
    return daemons;
  }

  function probeAt({ probe }: Prober): Promise<ProbeResult> {
    return cluster.settle(probe.probe(backEnd('b1')));
  }

  it('do not count as refused when another daemon finds the process running', async () => {
    const [first] = await addDaemons(['refused', 'running']);
    expect(await probeAt(first as Prober)).to.equal('running');
  });

  it('count as refused when the other daemons have lost their paths to that process as well', async () => {
    const daemons = await addDaemons(['refused', 'refused', 'refused']);
    own = ['running', 'running', 'running'];
    for (const { paths } of daemons) paths.noteNotConnected('b1');
    await cluster.advance(100);
    own = ['refused', 'refused', 'refused'];
    for (const { paths } of daemons) expect(paths.isIsolated).to.equal(false);
    expect(await probeAt(daemons[0] as Prober)).to.equal('refused');
  });

  it('of an isolated daemon are made by another one, also after the record of the process has gone', async () => {
    const [first, second] = await addDaemons(['refused', 'running']);
    first?.paths.noteNotConnected('b1');
    await cluster.advance(100);
    expect(first?.paths.isIsolated).to.equal(true);
    own = ['refused', 'refused'];
    expect(await probeAt(first as Prober)).to.equal('refused');
    second?.directory.remove('b1');
    await cluster.advance(10);
    expect(await probeAt(first as Prober)).to.equal('refused');
  });

  it('of an isolated daemon show nothing when no other daemon can tell', async () => {
    const daemons = await addDaemons(['refused', 'refused']);
    for (const { paths } of daemons) paths.noteNotConnected('b1');
    await cluster.advance(100);
    expect(await probeAt(daemons[0] as Prober)).to.equal('unknown');
  });
});
