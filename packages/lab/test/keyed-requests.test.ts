import { expect } from 'chai';
import { GONE_MS, JobDeployment, codeOf } from './job-deployment.js';

/** Time after which the loss of a daemon is known to all others, in milliseconds. */
const LOSS_KNOWN_MS = 20_000;
const OWN_KEY = { 'idempotency-key': 'order-7', 'x-woodbarrow-key-age-ms': '0' };

function requestFor(model: string): object {
  return { model, max_tokens: 4, messages: [{ role: 'user', content: 'please answer #one' }] };
}

async function startDeployment(): Promise<JobDeployment> {
  const test = new JobDeployment();
  await test.start();
  return test;
}

/** Sends a request to a daemon that will be lost before it answers. */
function beginLostRequest(test: JobDeployment, model: string): void {
  test
    .begin('alpha-d1', {
      method: 'POST',
      path: '/v1/chat/completions',
      body: requestFor(model),
      headers: OWN_KEY,
    })
    .catch(() => undefined);
}

// Guards against keys that stay blocked as already_running for their lifetime after the daemon with the request was lost.
describe('requests with an idempotency key', () => {
  it('have an unknown outcome when the daemon that ran the first of them was lost', async () => {
    const test = await startDeployment();
    test.onRun('one', () => {
      test.deployment.world.schedule(50, () => {
        test.deployment.killDaemon('alpha-d1', GONE_MS);
      });
    });
    beginLostRequest(test, 'contract-1');
    await test.advance(LOSS_KNOWN_MS);
    const reply = await test.complete('beta-d1', { marker: 'one', headers: OWN_KEY });
    expect([reply.status, codeOf(reply)]).to.deep.equal([504, 'outcome_unknown']);
    expect(test.runs('one')).to.equal(1);
  });

  it('are served when the daemon with the first of them was lost before the run', async () => {
    const test = await startDeployment();
    beginLostRequest(test, 'cold-1');
    await test.advance(1000);
    test.deployment.killDaemon('alpha-d1', GONE_MS);
    await test.advance(LOSS_KNOWN_MS);
    const reply = await test.complete('beta-d1', { marker: 'one', model: 'cold-1', headers: OWN_KEY });
    expect(reply.status).to.equal(200);
    expect(test.runs('one')).to.equal(1);
  });
});
