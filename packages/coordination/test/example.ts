/**
 * Example of embedding: three processes elect a leader, which replicates a value; after it crashes, the next
 * leader has the value. example.test.ts runs it on a virtual clock. On real machines, use a `PeerNetwork`
 * over `TcpTransport` and `SystemClock` instead of `SimulatedCluster`.
 */
import { SimulatedCluster } from '@woodbarrow/peering';
import { LeaseCandidate, LeaseVoter, type Lease, type VoterSets } from '../src/index.js';

/** Runs the example; resolves with the value that the second leader read. */
export async function electAndFailOver(): Promise<object | undefined> {
  const cluster = new SimulatedCluster({ seed: 42 });
  const names = ['one', 'two', 'three'];
  const nodes = await Promise.all(names.map((name) => cluster.add(name)));
  const voters = nodes.map(({ peers, process }) => ({
    id: process.name,
    address: peers.address,
    instance: 1,
  }));
  const sets: VoterSets = { current: { group: 'leader', epoch: 1, voters } };
  const leases: { readonly name: string; readonly lease: Lease }[] = [];
  for (const { peers, process, random } of nodes) {
    const id = process.name;
    new LeaseVoter({ peers, clock: process, id, instance: 1 }).start();
    const candidate = new LeaseCandidate({
      group: 'leader',
      id,
      peers,
      clock: process,
      random,
      voterSets: () => sets,
      isWilling: () => true,
    });
    candidate.events.on('acquired', (lease) => {
      leases.push({ name: id, lease });
    });
    candidate.start();
  }
  await cluster.advance(5000);
  await cluster.settle(
    leases[0]?.lease.write(new Map([['greeting', { text: 'hello' }]])) ?? Promise.resolve(),
  );
  nodes.find(({ process }) => process.name === leases[0]?.name)?.process.kill();
  await cluster.advance(10_000);
  return leases[1]?.lease.values().get('greeting');
}
