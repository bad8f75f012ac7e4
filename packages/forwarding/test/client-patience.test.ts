import { expect } from 'chai';
import { ClientPatience } from '../src/index.js';

describe('ClientPatience', () => {
  it('takes a request for a first try while it grants as long a wait as any on its route', () => {
    const patience = new ClientPatience();
    expect(patience.isFirstTry('r', 25_000)).to.equal(true);
    expect(patience.isFirstTry('r', 24_950)).to.equal(true);
    expect(patience.isFirstTry('r', 22_000)).to.equal(false);
    expect(patience.isFirstTry('other', 4000)).to.equal(true);
  });

  it('takes one that does not say how long it waits for one that came back: it is not told to again', () => {
    expect(new ClientPatience().isFirstTry('r', undefined)).to.equal(false);
  });

  it('forgets routes that are gone', () => {
    const patience = new ClientPatience();
    patience.isFirstTry('gone', 25_000);
    patience.isFirstTry('kept', 25_000);
    patience.retain([{ name: 'kept' }]);
    expect(patience.isFirstTry('gone', 4000)).to.equal(true);
    expect(patience.isFirstTry('kept', 4000)).to.equal(false);
  });
});
