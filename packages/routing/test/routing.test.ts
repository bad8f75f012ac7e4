import { expect } from 'chai';
import type { EnqueueRequest, ReplicaInfo } from '@woodbarrow/protocol';
import {
  Random,
  SimulatedProcess,
  SimulatedWorld,
  decodeText,
  encodeText,
  readText,
} from '@woodbarrow/runtime';
import {
  Admission,
  CircuitBreakers,
  ModelQueue,
  ReplicaDirectory,
  forwardStream,
  type QueueGrant,
} from '../src/index.js';

class QueueTest {
  readonly world = new SimulatedWorld();
  readonly process = new SimulatedProcess(this.world, { name: 'p', zone: 'z', region: 'r' });
  readonly queue = new ModelQueue('t/m', this.process, new Random(1));
  readonly granted: string[] = [];

  enqueue(requestId: string, more: Partial<EnqueueRequest> = {}): Promise<QueueGrant | undefined> {
    const request: EnqueueRequest = {
      requestId,
      routerId: 'router',
      model: 't/m',
      adapter: '',
      priority: 50,
      remainingMs: 60_000,
      deferrable: false,
      affinity: 0,
      avoid: [],
      holdMs: 1000,
      directArrivals: 0,
      queueLimit: 100,
      ...more,
    };
    return this.queue.enqueue(request).then((grant) => {
      if (grant !== undefined) this.granted.push(requestId);
      return grant;
    });
  }

  async pass(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }
}

function replica(workerId: string, more: Partial<ReplicaInfo> = {}): ReplicaInfo {
  return {
    workerId,
    origin: `http://${workerId}`,
    model: 't/m',
    version: '1',
    adapters: [],
    concurrency: 1,
    running: 0,
    accepting: true,
    ...more,
  };
}

describe('model queue', () => {
  it('grants free slots by priority, then by deadline', async () => {
    const test = new QueueTest();
    void test.enqueue('late', { remainingMs: 50_000 });
    void test.enqueue('early', { remainingMs: 10_000 });
    void test.enqueue('rush', { priority: 5 });
    test.queue.setReplicas([replica('w1')]);
    await test.pass(10);
    expect(test.granted).to.deep.equal(['rush']);
    test.queue.endGrant('rush', 'w1', 'completed');
    await test.pass(10);
    test.queue.endGrant('early', 'w1', 'completed');
    await test.pass(10);
    expect(test.granted).to.deep.equal(['rush', 'early', 'late']);
  });

  it('raises the priority of a request with its waiting time, so that no class starves', async () => {
    const test = new QueueTest();
    const keepAsking = async (): Promise<void> => {
      while ((await test.enqueue('old', { priority: 20, remainingMs: 100_000 })) === undefined);
    };
    void keepAsking();
    await test.pass(25_000);
    void test.enqueue('new', { priority: 10 });
    test.queue.setReplicas([replica('w1')]);
    await test.pass(10);
    expect(test.granted).to.deep.equal(['old']);
  });

  it('resolves a poll after the hold time and keeps the place of a request that is polled again', async () => {
    const test = new QueueTest();
    const first = test.enqueue('a');
    await test.pass(1500);
    expect(await first).to.equal(undefined);
    expect(test.queue.waiting).to.equal(1);
    const second = test.enqueue('a');
    test.queue.setReplicas([replica('w1')]);
    await test.pass(10);
    expect((await second)?.replica.workerId).to.equal('w1');
    // A grant whose response was lost is returned again.
    expect((await test.enqueue('a'))?.replica.workerId).to.equal('w1');
    expect(test.queue.activeGrants).to.equal(1);
  });

  it('rejects new requests when full, and still accepts polls for queued requests', async () => {
    const test = new QueueTest();
    const first = test.enqueue('a', { queueLimit: 2 });
    void test.enqueue('b', { queueLimit: 2 });
    expect(() => test.enqueue('c', { queueLimit: 2 })).to.throw(/2 requests wait/);
    await test.pass(1500);
    expect(await first).to.equal(undefined);
    const again = test.enqueue('a', { queueLimit: 2 });
    test.queue.setReplicas([replica('w1')]);
    await test.pass(10);
    expect((await again)?.replica.workerId).to.equal('w1');
  });

  it('removes requests and grants of a router that is gone, and requests that are no longer polled', async () => {
    const test = new QueueTest();
    test.queue.setReplicas([replica('w1')]);
    void test.enqueue('a', { routerId: 'lost' });
    void test.enqueue('b');
    await test.pass(10);
    expect(test.granted).to.deep.equal(['a']);
    test.queue.removeRouter('lost');
    await test.pass(10);
    expect(test.granted).to.deep.equal(['a', 'b']);
    void test.enqueue('c');
    await test.pass(5000);
    test.queue.sweep();
    expect(test.queue.waiting).to.equal(0);
  });

  it('prefers replicas with the adapter or the prompt prefix, and excludes a replica that failed', async () => {
    const test = new QueueTest();
    test.queue.setReplicas([
      replica('w1', { concurrency: 9 }),
      replica('w2', { concurrency: 9, adapters: ['tuned'] }),
    ]);
    expect((await test.enqueue('a', { adapter: 'tuned' }))?.replica.workerId).to.equal('w2');
    const first = (await test.enqueue('b', { affinity: 7 }))?.replica.workerId;
    for (const id of ['c', 'd', 'e']) {
      expect((await test.enqueue(id, { affinity: 7 }))?.replica.workerId).to.equal(first);
    }
    test.queue.endGrant('a', 'w2', 'failed');
    expect((await test.enqueue('f', { avoid: [] }))?.replica.workerId).to.equal('w1');
    expect(test.queue.takeDemand().suspects).to.deep.equal(['w2']);
  });

  it('reports its demand and resets the count of arrivals', () => {
    const test = new QueueTest();
    void test.enqueue('a', { adapter: 'tuned', priority: 5, remainingMs: 900 });
    void test.enqueue('b', { deferrable: true });
    const demand = test.queue.takeDemand();
    expect(demand).to.include({ topPriority: 5, firstDeadlineMs: 900, deferrable: false, arrivals: 2 });
    expect(demand.waiting).to.deep.include({ adapter: 'tuned', count: 1 });
    expect(test.queue.takeDemand().arrivals).to.equal(0);
  });
});

describe('replica directory', () => {
  it('chooses a replica without a grant only while its entry is valid, its load low and its breaker closed', async () => {
    const world = new SimulatedWorld();
    const process = new SimulatedProcess(world, { name: 'p', zone: 'z', region: 'r' });
    const breakers = new CircuitBreakers(process);
    const directory = new ReplicaDirectory(process, new Random(1), breakers);
    expect(directory.chooseDirect('t/m', '')).to.equal(undefined);
    directory.update('t/m', [replica('w1', { concurrency: 4 })], false);
    expect(directory.chooseDirect('t/m', '')?.workerId).to.equal('w1');
    expect(directory.chooseDirect('t/m', 'tuned')).to.equal(undefined);
    expect(directory.takeDirectArrivals('t/m')).to.equal(1);
    const end = [directory.beginRequest('w1'), directory.beginRequest('w1')];
    expect(directory.chooseDirect('t/m', '')).to.equal(undefined);
    for (const finish of end) finish();
    for (let failure = 0; failure < 3; failure += 1) breakers.recordFailure('w1');
    expect(directory.chooseDirect('t/m', '')).to.equal(undefined);
    breakers.recordSuccess('w1');
    expect(directory.chooseDirect('t/m', '')?.workerId).to.equal('w1');
    await world.run(5000);
    expect(directory.chooseDirect('t/m', '')).to.equal(undefined);
  });
});

describe('admission', () => {
  function kindOf(action: () => unknown): string {
    try {
      action();
      return 'admitted';
    } catch (error) {
      return (error as { kind: string }).kind;
    }
  }

  it('limits tenants, and limits partners to their fair share only when the daemon nears its limit', () => {
    const admission = new Admission({ maximumRequests: 100 });
    const release = admission.admit('small', 'a', 1, 2);
    expect(kindOf(() => admission.admit('small', 'a', 1, 2))).to.equal('tenant_over_limit');
    release();
    release();
    expect(admission.active).to.equal(0);
    let admitted = 0;
    while (kindOf(() => admission.admit('greedy', 'a', 1000, 2)) === 'admitted') admitted += 1;
    expect(admitted).to.equal(75);
    for (let request = 0; request < 25; request += 1) {
      expect(kindOf(() => admission.admit('modest', 'b', 1000, 2))).to.equal('admitted');
    }
    expect(kindOf(() => admission.admit('modest', 'b', 1000, 2))).to.equal('shed');
  });
});

describe('stream forwarder', () => {
  async function* chunksOf(...texts: string[]): AsyncGenerator<Uint8Array> {
    for (const text of texts) {
      if (text === 'cut') throw new Error('cut');
      yield await Promise.resolve(encodeText(text));
    }
  }

  async function forward(streaming: boolean, ...texts: string[]): Promise<[string, string]> {
    let result = 'none';
    const response = await forwardStream(
      { status: 200, headers: {}, body: chunksOf(...texts) },
      streaming,
      (outcome) => {
        result = outcome;
      },
    );
    return [await readText(response.body), result];
  }

  it('forwards a complete stream unchanged, however its bytes are split', async () => {
    expect(await forward(true, 'data: 1\n\n', 'data: [DO', 'NE]\n\n')).to.deep.equal([
      'data: 1\n\ndata: [DONE]\n\n',
      'completed',
    ]);
  });

  it('ends a stream that fails or stops before [DONE] with an error event', async () => {
    for (const end of [['cut'], []]) {
      const [text, result] = await forward(true, 'data: 1\n\n', ...end);
      expect(result).to.equal('failed');
      expect(text).to.contain('stream_interrupted').and.not.to.contain('[DONE]');
    }
  });

  it('omits the incomplete event of a truncated stream, so that the error event can be parsed', async () => {
    for (const end of [['cut'], []]) {
      const [text, result] = await forward(true, 'data: 1\n\ndata: {"a', ...end);
      expect(result).to.equal('failed');
      expect(text).to.match(/^data: 1\n\ndata: {"error":.*stream_interrupted.*\n\n$/);
    }
  });

  it('does not treat content that contains the text of the [DONE] event as the end of the stream', async () => {
    for (const event of ['data: {"text":"data: [DONE]"}\n\n', 'data: [DONE] is not the end\n\n']) {
      for (const end of [['cut'], []]) {
        const [text, result] = await forward(true, event, ...end);
        expect(result).to.equal('failed');
        expect(text.startsWith(event)).to.equal(true);
        expect(text).to.contain('stream_interrupted');
      }
    }
  });

  it('adds nothing after [DONE], even when the connection then fails', async () => {
    const whole = 'data: 1\r\n\r\ndata: [DONE]\r\n\r\n';
    for (const end of [['cut'], [], ['data: 2\r\n\r\n'], ['data: 2', 'cut']]) {
      expect(await forward(true, whole, ...end)).to.deep.equal([whole, 'completed']);
    }
  });

  it('turns a truncated response that is not streamed into an error', async () => {
    const outcome = await forward(false, '{"a":', 'cut').catch(
      (error: unknown) => (error as { kind: string }).kind,
    );
    expect(outcome).to.equal('stream_interrupted');
    expect(decodeText(encodeText((await forward(false, '{"a":', '1}'))[0]))).to.equal('{"a":1}');
  });
});
