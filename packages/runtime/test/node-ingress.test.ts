import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { MAX_BUFFERED_RESPONSE_BYTES, NodeIngress } from '../src/index.js';

const LIMITS = {
  maximumHeaderBytes: 8192,
  headerTimeoutMs: 1000,
  idleTimeoutMs: 1000,
};

/** Sends a request line of the given version; resolves with what came, and how the connection ended. */
function sendRequest(
  port: number,
  version: string,
): Promise<{ readonly text: string; readonly end: string }> {
  return new Promise((resolve) => {
    let text = '';
    const socket: Socket = connect(port, '127.0.0.1');
    socket.write(`GET / HTTP/${version}\r\nHost: test\r\n\r\n`);
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
    socket.once('end', () => {
      resolve({ text, end: 'closed' });
    });
    socket.once('error', () => {
      resolve({ text, end: 'reset' });
    });
  });
}

/** Whether a client without chunks takes it for a whole answer: as long as its head says, or up to the close where it says nothing. */
function isWhole(text: string): boolean {
  const [head = '', ...rest] = text.split('\r\n\r\n');
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  return head !== '' && (length === undefined || rest.join('\r\n\r\n').length >= Number(length));
}

describe('NodeIngress', () => {
  it('lets no answer that is cut look complete, also to a client that takes no chunks', async () => {
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, async (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: [] });
      await stream.write(Buffer.from('half'));
      // Time for the client to read it: a reset drops what is still on its way.
      setTimeout(() => {
        stream.abort();
      }, 50);
    });
    try {
      const chunked = await sendRequest(ingress.port, '1.1');
      expect(chunked.text).to.match(/half/);
      expect(chunked.text).to.not.match(/\r\n0\r\n/);
      // Nothing came that could be taken for an answer, and no plain close either.
      expect(await sendRequest(ingress.port, '1.0')).to.deep.equal({ text: '', end: 'reset' });
    } finally {
      await ingress.close();
    }
  });

  /*
   * Seen by reading: a client of HTTP/1.0 takes no chunks, so that its answer ends with the connection. A daemon that is killed cannot reset it, and
   * the kernel closes it plainly: half a stream passed for a whole one. Such an answer is given a length now, and so only when it is whole.
   */
  it('lets no answer look complete to a client that takes no chunks when the process is gone', async () => {
    let begun: () => void = () => undefined;
    const hasBegun = new Promise<void>((resolve) => (begun = resolve));
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, async (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: ['Content-Type', 'text/event-stream'] });
      await stream.write(Buffer.from('id: 0\ndata: half\n\n'));
      begun();
    });
    const asked = sendRequest(ingress.port, '1.0');
    await hasBegun;
    await new Promise((resolve) => setTimeout(resolve, 50));
    // What the kernel does with the connections of a process that is killed.
    await ingress.close();
    expect(isWhole((await asked).text)).to.equal(false);
  });

  it('gives a client that takes no chunks the whole of a stream, with its length', async () => {
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, async (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: ['Content-Type', 'text/event-stream'] });
      for (const event of ['id: 0\n\n', 'id: 1\n\n']) await stream.write(Buffer.from(event));
      stream.end();
    });
    try {
      const { text } = await sendRequest(ingress.port, '1.0');
      expect(text).to.match(/Content-Length: 14\r\n/);
      expect(isWhole(text)).to.equal(true);
    } finally {
      await ingress.close();
    }
  });

  it('cuts off a client that takes no chunks where its answer is larger than is kept for it', async () => {
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, async (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: [] });
      for (let index = 0; index < 5; index += 1)
        await stream.write(Buffer.alloc(MAX_BUFFERED_RESPONSE_BYTES / 4));
      stream.end();
    });
    try {
      expect(await sendRequest(ingress.port, '1.0')).to.deep.equal({ text: '', end: 'reset' });
    } finally {
      await ingress.close();
    }
  });
});
