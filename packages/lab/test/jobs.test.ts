import { expect } from 'chai';
import {
  GONE_MS,
  JobDeployment,
  codeOf,
  contentOf,
  keepersOf,
  type JobOptions,
  type Reply,
} from './job-deployment.js';

/** Time within which a job whose runner is lost has its end at each daemon, in milliseconds. */
const END_BOUND_MS = 20_000;
/** The same for a job whose copies are all lost. */
const LOST_BOUND_MS = 30_000;
/** Lifetime of idempotency keys in the template of the deployment. */
const KEY_LIFETIME_MS = 60_000;
/** More than the 64 KiB that the ledger of claims stores of an answer. */
const LARGE_MARKER = 'm'.repeat(20_000);

/** Fails unless every daemon gives the same true end, with the given status if there is one. */
function expectOneEnd(
  replies: ReadonlyMap<string, Reply>,
  test: JobDeployment,
  job: JobOptions,
  status?: number,
): void {
  const described = [...replies].map(
    ([daemon, { status, text }]) => `${daemon}: ${String(status)} ${text.slice(0, 160)}`,
  );
  const [first] = replies.values();
  if (first === undefined) throw new Error('no daemon is alive');
  for (const { status, text } of replies.values()) {
    expect({ status, text }, described.join('\n')).to.deep.equal({ status: first.status, text: first.text });
  }
  if (status !== undefined) expect(first.status, described.join('\n')).to.equal(status);
  const { marker } = job;
  expect(first.status, described.join('\n')).not.to.be.oneOf([202, 404]);
  expect(test.runs(marker), 'runs').to.be.at.most(1);
  if (first.status === 200) {
    const body = JSON.parse(first.text) as { choices: { message: { content: string } }[] };
    expect(body.choices[0]?.message.content).to.equal(contentOf(job));
    return;
  }
  const { error } = JSON.parse(first.text) as { error: { code: string; ran: string } };
  expect(error.code, described.join('\n')).not.to.equal('already_running');
  if (error.ran === 'no') expect(test.runs(marker), 'runs of a job that ended as not run').to.equal(0);
}

const OWN_KEY = { 'idempotency-key': 'order-7', 'x-woodbarrow-key-age-ms': '0' };
const QUESTION = {
  model: 'contract-1',
  max_tokens: 4,
  messages: [{ role: 'user', content: 'please answer #one' }],
};

async function startDeployment(): Promise<JobDeployment> {
  const test = new JobDeployment();
  await test.start();
  return test;
}

describe('jobs', () => {
  // Guards against a job that ends as already_running, or never, after the daemon that ran it was killed.
  for (const back of [GONE_MS, 3000]) {
    for (const moment of [0, 20, 60, 120]) {
      for (const alsoSecond of [false, true]) {
        const title = `end once the runner was killed ${String(moment)} ms into the run${alsoSecond ? ' with the second keeper' : ''}, ${back === GONE_MS ? 'gone' : 'back after 3 s'}`;
        it(title, async () => {
          const test = await startDeployment();
          const job = { marker: 'one' };
          let killed = false;
          let id = '';
          test.onRun('one', () => {
            if (killed) return;
            killed = true;
            test.deployment.world.schedule(moment, () => {
              const [runner = '', second = ''] = keepersOf(id);
              test.deployment.killDaemon(runner, back);
              if (alsoSecond) test.deployment.killDaemon(second, back);
            });
          });
          id = await test.submit('alpha-d1', job);
          await test.advance(END_BOUND_MS);
          expect(killed).to.equal(true);
          expectOneEnd(await test.results(id), test, job);
        });
      }
    }
  }

  // Guards against different ends where one keeper missed the report of a result that the ledger does not store.
  it('have the same large result at each daemon when a keeper was cut off during the run and the runner is lost', async () => {
    const test = await startDeployment();
    const job = { marker: LARGE_MARKER };
    const id = await test.submit('alpha-d1', job);
    const [runner = '', , third = ''] = keepersOf(id);
    const { process } = test.deployment.slot(third);
    const heal = test.deployment.network.cut((from, to) => from === process || to === process);
    await test.advance(2500);
    test.deployment.killDaemon(runner, GONE_MS);
    await test.advance(500);
    heal();
    await test.advance(END_BOUND_MS);
    expectOneEnd(await test.results(id), test, job, 200);
  });

  // Guards against a job that counts as run although its runner was lost while it waited for a model.
  it('run once at another daemon when the runner is lost before the run', async () => {
    const test = await startDeployment();
    const job = { marker: 'one', model: 'cold-1' };
    const id = await test.submit('alpha-d1', job);
    await test.advance(1000);
    expect(test.runs('one')).to.equal(0);
    test.deployment.killDaemon('alpha-d1', GONE_MS);
    await test.advance(END_BOUND_MS);
    expectOneEnd(await test.results(id), test, job, 200);
    expect(test.runs('one')).to.equal(1);
  });

  // Guards against a claim that a suspended runner uses after it was given to another daemon.
  it('run once when the runner is suspended before the run for longer than it takes to replace it', async () => {
    const test = await startDeployment();
    const job = { marker: 'one', model: 'cold-1' };
    const id = await test.submit('alpha-d1', job);
    await test.advance(1000);
    test.deployment.pauseDaemon('alpha-d1', 15_000);
    await test.advance(15_000 + END_BOUND_MS);
    expectOneEnd(await test.results(id), test, job, 200);
    expect(test.runs('one')).to.equal(1);
  });

  // Guards against results that are lost although every daemon stopped as planned.
  it('keep their result while all daemons are restarted one after the other', async () => {
    const test = await startDeployment();
    const job = { marker: 'one' };
    const id = await test.submit('alpha-d1', job);
    await test.advance(1000);
    for (const daemon of test.deployment.daemons.keys()) {
      void test.deployment.drainDaemon(daemon, 500);
      await test.advance(20_000);
    }
    const replies = await test.results(id);
    expect(replies.size).to.equal(6);
    expectOneEnd(replies, test, job, 200);
  });

  // Guards against a job that waits for its model being lost with the daemons that stored it when they stop as planned.
  it('run after all their keepers stopped as planned', async () => {
    const test = await startDeployment();
    const job = { marker: 'one', model: 'cold-1' };
    const id = await test.submit('alpha-d1', job);
    for (const keeper of keepersOf(id)) void test.deployment.drainDaemon(keeper, GONE_MS);
    await test.advance(60_000);
    const replies = await test.results(id);
    expect(replies.size).to.equal(3);
    expectOneEnd(replies, test, job, 200);
  });

  // Guards against 404 for a job that exists: its keepers may be cut off, or were all lost during its run.
  it('are not reported as unknown while their keepers are absent', async () => {
    const test = await startDeployment();
    const job = { marker: 'one', tokens: 400 };
    const id = await test.submit('alpha-d1', job);
    await test.advance(1000);
    expect(test.runs('one')).to.equal(1);
    for (const keeper of keepersOf(id)) test.deployment.killDaemon(keeper, GONE_MS);
    await test.advance(100);
    const [other] = test.living();
    const early = await test.result(other?.plan.id ?? '', id);
    expect([early.status, codeOf(early)]).to.deep.equal([503, 'not_ready']);
    await test.advance(LOST_BOUND_MS);
    expectOneEnd(await test.results(id), test, job, 504);
  });

  it('that never existed are reported as not found', async () => {
    const test = await startDeployment();
    for (const id of ['job_alpha-d1~alpha-d2~alpha-d3~mywpjk1d-abc', 'job_x', 'nothing']) {
      const reply = await test.result('beta-d1', id);
      expect([reply.status, codeOf(reply)]).to.deep.equal([404, 'not_found']);
    }
  });

  // Guards against a job that ends as already_running while another request with its idempotency key is in progress.
  it('with a key that is in progress wait for its result and return it, whatever its size', async () => {
    const test = await startDeployment();
    const job = { marker: LARGE_MARKER, headers: OWN_KEY };
    const first = await test.submit('alpha-d1', job);
    const second = await test.submit('beta-d1', job);
    await test.advance(5000);
    expectOneEnd(await test.results(first), test, job, 200);
    expectOneEnd(await test.results(second), test, job, 200);
    const repeated = await test.complete('beta-d2', job);
    expect([repeated.status, repeated.headers['x-woodbarrow-replayed']]).to.deep.equal([200, 'true']);
    expect(test.runs(LARGE_MARKER)).to.equal(1);
  });

  it('with a key that was used for another body end as key_reused', async () => {
    const test = await startDeployment();
    await test.submit('alpha-d1', { marker: 'one', headers: OWN_KEY });
    await test.advance(2000);
    const job = { marker: 'two', headers: OWN_KEY };
    const id = await test.submit('beta-d1', job);
    await test.advance(2000);
    const replies = await test.results(id);
    expectOneEnd(replies, test, job, 422);
    for (const reply of replies.values()) expect(codeOf(reply)).to.equal('key_reused');
  });

  // Guards against keys of which only the end was used, so that two jobs with long keys shared one claim.
  it('with long keys that differ only at the start run each', async () => {
    const test = await startDeployment();
    for (const start of ['a', 'b']) {
      const headers = { 'idempotency-key': start + 'k'.repeat(250), 'x-woodbarrow-key-age-ms': '0' };
      const job = { marker: start, headers };
      const id = await test.submit('alpha-d1', job);
      await test.advance(3000);
      expectOneEnd(await test.results(id), test, job, 200);
      expect(test.runs(start)).to.equal(1);
    }
  });

  // Guards against a job that runs again because the claim of its key expired before the job did.
  it('run once when the runner is lost after the lifetime of idempotency keys', async () => {
    const test = await startDeployment();
    const job = { marker: 'one', tokens: 40_000 };
    const id = await test.submit('alpha-d1', job);
    await test.advance(KEY_LIFETIME_MS + 20_000);
    test.deployment.killDaemon('alpha-d1', GONE_MS);
    await test.advance(END_BOUND_MS);
    expectOneEnd(await test.results(id), test, job, 504);
    expect(test.runs('one')).to.equal(1);
  });

  // Guards against a job that was refused as not run and runs later from a copy whose acknowledgement was lost.
  it('that are refused for want of a copy never run', async () => {
    const test = await startDeployment();
    const { deployment } = test;
    const { process } = deployment.slot('alpha-d1');
    // Copies reach the keepers, and their acknowledgements arrive after the daemon has stopped waiting for them.
    const heal = deployment.network.cut(
      (from, to) => to === process && from !== process && !deployment.isClient(from),
    );
    deployment.world.schedule(1700, heal);
    const reply = await test.send('alpha-d1', { method: 'POST', path: '/v1/jobs', body: QUESTION });
    await test.advance(END_BOUND_MS);
    expect(reply.status).to.equal(503);
    expect(test.runs('one')).to.equal(0);
  });
});
