import { expect } from 'chai';
import { electAndFailOver } from './example.js';

describe('embedding example', () => {
  it('makes a replicated value available to the next leader', async () => {
    expect(await electAndFailOver()).to.deep.equal({ text: 'hello' });
  });
});
