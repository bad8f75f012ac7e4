import { expect } from 'chai';
import { encodeText, readText } from '@woodbarrow/runtime';
import { SimulatedDeployment, parseScenario } from '../src/index.js';

const SCENARIO = parseScenario(`
name: operators
durationSeconds: 60
zones: [{ name: alpha, daemons: 3 }, { name: beta, daemons: 2 }]
workers: [{ zone: alpha, count: 2, diskCacheShare: 1 }, { zone: beta, count: 1, diskCacheShare: 1 }]
tenants:
  - { name: desk, partner: quetzal, modelGroups: [{ prefix: contract, count: 2, replicas: { maximum: 1 } }] }
  - { name: credit, partner: haddad, modelGroups: [{ prefix: invoice, count: 1 }] }
traffic: []
`);

interface ApiResponse {
  readonly status: number;
  readonly body: Record<string, unknown> & {
    error?: { code: string; details?: { current?: { revision: number } } };
  };
}

class OperatorTest {
  readonly deployment = new SimulatedDeployment({ scenario: SCENARIO, seed: 1 });

  async start(): Promise<void> {
    this.deployment.start();
    await this.deployment.world.run(15_000);
  }

  /** Sends a request and advances virtual time until the response is complete. */
  async send(
    daemon: string,
    listener: 'callers' | 'operators',
    token: string,
    call: ApiCall,
  ): Promise<ApiResponse> {
    const { deployment } = this;
    const origin =
      listener === 'callers' ? deployment.callerOrigin(daemon) : deployment.operatorOrigin(daemon);
    const zone = deployment.slot(daemon).plan.zone;
    let answer: ApiResponse | undefined;
    const sending = deployment
      .clientIn(zone)
      .send({
        method: call.method ?? 'GET',
        origin,
        path: call.path,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...call.headers },
        ...(call.body === undefined ? {} : { body: encodeText(JSON.stringify(call.body)) }),
      })
      .then(async (response) => {
        answer = {
          status: response.status,
          body: JSON.parse(await readText(response.body)) as ApiResponse['body'],
        };
      });
    await deployment.world.run(deployment.world.now + 60_000, () => answer !== undefined);
    await sending;
    if (answer === undefined) throw new Error('no response within 60 s of virtual time');
    return answer;
  }

  operator(daemon: string, call: ApiCall, partner = 'quetzal'): Promise<ApiResponse> {
    return this.send(daemon, 'operators', `${partner}-operator-token`, call);
  }
}

interface ApiCall {
  readonly path: string;
  readonly method?: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

function limitPatch(value: number): unknown {
  return { parameters: { limits: { queuedRequests: value } } };
}

describe("operators' API", () => {
  it('applies a change on all daemons, and returns the current revision on a write conflict', async () => {
    const test = new OperatorTest();
    await test.start();
    const shown = await test.operator('alpha-d1', { path: '/templates/desk' });
    const headers = { 'if-match': String(shown.body['revision']) };
    const path = '/templates/desk';
    const first = await test.operator('alpha-d1', { method: 'PATCH', path, headers, body: limitPatch(7) });
    expect(first.status).to.equal(200);
    expect(first.body['inForce']).to.deep.equal({ daemons: 5, of: 5 });
    const second = await test.operator('beta-d1', { method: 'PATCH', path, headers, body: limitPatch(8) });
    expect(second.status).to.equal(409);
    expect(second.body.error?.details?.current?.revision).to.equal(first.body['revision']);
    const history = await test.operator('beta-d2', { path: '/templates/desk/history' });
    expect(history.body['items']).to.have.length(2);
  });

  it('hides objects of other partners, and refuses operations that a token does not permit', async () => {
    const test = new OperatorTest();
    await test.start();
    expect((await test.operator('alpha-d1', { path: '/templates/credit' })).status).to.equal(404);
    const listed = await test.operator('alpha-d1', { path: '/templates' });
    expect((listed.body['items'] as { name: string }[]).map(({ name }) => name)).to.deep.equal(['desk']);
    const headers = { 'if-match': '5' };
    const taken = await test.operator('alpha-d1', {
      method: 'PUT',
      path: '/templates/credit',
      headers,
      body: { parameters: { models: [] } },
    });
    expect(taken.status).to.equal(403);
    const foreign = { partner: 'haddad', parameters: { models: [] } };
    const create = { 'if-none-match': '*' };
    expect(
      (
        await test.operator('alpha-d1', {
          method: 'PUT',
          path: '/templates/new',
          headers: create,
          body: foreign,
        })
      ).status,
    ).to.equal(403);
    expect((await test.operator('alpha-d1', { method: 'POST', path: '/drain' })).status).to.equal(403);
    expect(
      (await test.send('alpha-d1', 'operators', 'desk-caller-token', { path: '/templates' })).status,
    ).to.equal(403);
    expect((await test.send('alpha-d1', 'operators', 'nobody', { path: '/templates' })).status).to.equal(401);
    const models = await test.operator('alpha-d1', { path: '/status/models' });
    for (const entry of models.body['models'] as { model: string }[]) expect(entry.model).to.match(/^desk\//);
  });

  it('validates written objects, and changes nothing on a dry run', async () => {
    const test = new OperatorTest();
    await test.start();
    const before = test.deployment.platform.currentRevision;
    const headers = { 'if-none-match': '*' };
    const bad = { parameters: { models: [{ name: 'x', memoryGib: -4 }] } };
    const refused = await test.operator('alpha-d1', {
      method: 'PUT',
      path: '/templates/new',
      headers,
      body: bad,
    });
    expect(refused.status).to.equal(400);
    expect(JSON.stringify(refused.body)).to.contain('parameters.models.0.memoryGib');
    const good = { parameters: { models: [{ name: 'x', memoryGib: 4 }] } };
    const dry = await test.operator('alpha-d1', {
      method: 'PUT',
      path: '/templates/new?dryRun=true',
      headers,
      body: good,
    });
    expect(dry.body['dryRun']).to.equal(true);
    const orphan = { template: 'missing', tokens: [] };
    expect(
      (await test.operator('alpha-d1', { method: 'PUT', path: '/tenants/new', headers, body: orphan }))
        .status,
    ).to.equal(400);
    expect(test.deployment.platform.currentRevision).to.equal(before);
  });

  it('refuses writes with platform_unavailable while the platform is down, and confirms a write whose response was lost', async () => {
    const test = new OperatorTest();
    await test.start();
    const revision = (await test.operator('alpha-d1', { path: '/templates/desk' })).body['revision'];
    const call = {
      method: 'PATCH',
      path: '/templates/desk',
      headers: { 'if-match': String(revision) },
      body: limitPatch(9),
    };
    test.deployment.platform.faults.down = true;
    const refused = await test.operator('alpha-d1', call);
    expect(refused.body.error?.code).to.equal('platform_unavailable');
    test.deployment.platform.faults.down = false;
    test.deployment.platform.faults.loseAnswerShare = 1;
    const written = await test.operator('alpha-d1', call);
    expect(written.status).to.equal(200);
    const again = await test.operator('alpha-d1', { path: '/templates/desk/history' });
    expect(again.body['items']).to.have.length(2);
  });
});

describe('jobs', () => {
  const body = { model: 'contract-1', max_tokens: 4, messages: [{ role: 'user', content: 'x #job' }] };

  async function pollJobResult(test: OperatorTest, daemon: string, id: string): Promise<ApiResponse> {
    for (let poll = 0; poll < 60; poll += 1) {
      const path = `/v1/jobs/${encodeURIComponent(id)}/result`;
      const answer = await test.send(daemon, 'callers', 'desk-caller-token', { path });
      if (answer.status !== 202) return answer;
      await test.deployment.world.run(test.deployment.world.now + 1000);
    }
    throw new Error('job has no result after 60 polls');
  }

  it('can be polled at any daemon, but only by their own tenant', async () => {
    const test = new OperatorTest();
    await test.start();
    const call = { method: 'POST', path: '/v1/jobs', body };
    const taken = await test.send('alpha-d1', 'callers', 'desk-caller-token', call);
    expect(taken.status).to.equal(202);
    const id = String(taken.body['id']);
    const answer = await pollJobResult(test, 'beta-d2', id);
    expect(JSON.stringify(answer.body)).to.contain('job:3');
    const stranger = await test.send('beta-d2', 'callers', 'credit-caller-token', {
      path: `/v1/jobs/${encodeURIComponent(id)}`,
    });
    expect(stranger.status).to.equal(404);
  });

  it('survive a crash of the daemon that accepted them, and run at most once', async () => {
    const test = new OperatorTest();
    await test.start();
    let runs = 0;
    test.deployment.observers.push({ onRun: () => (runs += 1) });
    const call = { method: 'POST', path: '/v1/jobs', body };
    const taken = await test.send('beta-d1', 'callers', 'desk-caller-token', call);
    test.deployment.killDaemon('beta-d1', 1_000_000);
    const answer = await pollJobResult(test, 'alpha-d3', String(taken.body['id']));
    expect(runs).to.be.at.most(1);
    // The next daemon either ran the job or reports that its outcome is unknown.
    expect(JSON.stringify(answer.body)).to.match(/job:3|outcome_unknown|already_running/);
  });
});
