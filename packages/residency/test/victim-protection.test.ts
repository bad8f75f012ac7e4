import { expect } from 'chai';
import { selectReplicaVictims, type VictimPresence } from '../src/index.js';

const HOLDERS: Readonly<Record<string, readonly string[]>> = {
  unused: ['w1'],
  'unused-elsewhere': ['w1', 'w2'],
  used: ['w0', 'w1'],
  running: ['w0', 'w1'],
};

const PRESENCE: VictimPresence = {
  demandFor: (model) => (model.startsWith('unused') ? 0 : 8),
  holdersOf: (model) => HOLDERS[model] ?? [],
  copiesOf: () => ['w1', 'w3'],
  endsInMs: (_, model) => (model === 'running' ? 900 : 0),
};

describe('selectReplicaVictims', () => {
  // Replicas flap if one of a model in use, between two of its requests, is evicted before a model that nobody requests.
  it('returns models without runs first, and of these the unused ones', () => {
    const ranked = ['running', 'used', 'unused', 'unused-elsewhere'].map((name) => ({ name }));
    expect(selectReplicaVictims('w1', ranked, PRESENCE).map(({ name }) => name)).to.deep.equal([
      'unused-elsewhere',
      'unused',
      'used',
      'running',
    ]);
  });

  it('omits the replica of a model in use on the worker with the lowest id', () => {
    const ranked = [{ name: 'used' }];
    expect(selectReplicaVictims('w0', ranked, PRESENCE)).to.deep.equal([]);
    expect(selectReplicaVictims('w1', ranked, PRESENCE)).to.deep.equal(ranked);
  });
});
