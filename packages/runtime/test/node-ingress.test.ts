import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { MAX_BUFFERED_RESPONSE_BYTES, NodeIngress } from '../src/index.js';

const LIMITS = {
  maximumHeaderBytes: 8192,
  headerTimeoutMs: 1000,
  idleTimeoutMs: 1000,
};

/** Sends a request of the given HTTP version; resolves with the received text and how the connection ended. */
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

/** Whether a client without chunked encoding considers the response complete: by its length, or without one by the end of the connection. */
function isWhole(text: string): boolean {
  const [head = '', ...rest] = text.split('\r\n\r\n');
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  return head !== '' && (length === undefined || rest.join('\r\n\r\n').length >= Number(length));
}

describe('NodeIngress', () => {
  it('marks an aborted response as incomplete, also for a client without chunked encoding', async () => {
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, async (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: [] });
      await stream.write(Buffer.from('half'));
      // Lets the client read the data first, as a reset discards undelivered data.
      setTimeout(() => {
        stream.abort();
      }, 50);
    });
    try {
      const chunked = await sendRequest(ingress.port, '1.1');
      expect(chunked.text).to.match(/half/);
      expect(chunked.text).to.not.match(/\r\n0\r\n/);
      // Neither a response nor a normal end of the connection, which would mark it as complete.
      expect(await sendRequest(ingress.port, '1.0')).to.deep.equal({ text: '', end: 'reset' });
    } finally {
      await ingress.close();
    }
  });

  it('reports what a client has not read, and discards it when the exchange is aborted after its end', async () => {
    const size = 32 * 1024 * 1024;
    const states: number[] = [];
    const ingress = await NodeIngress.listen('127.0.0.1:0', LIMITS, (exchange) => {
      const stream = exchange.beginStream({ status: 200, headers: [] });
      states.push(exchange.unreadBytes?.() ?? -1);
      void stream.write(Buffer.alloc(size, 'x'));
      stream.end();
      setTimeout(() => {
        states.push(exchange.unreadBytes?.() ?? -1);
        exchange.abort();
        states.push(exchange.unreadBytes?.() ?? -1);
      }, 100);
      return Promise.resolve();
    });
    try {
      let text = '';
      await new Promise<void>((resolve) => {
        const socket = connect(ingress.port, '127.0.0.1');
        socket.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n');
        socket.on('data', (chunk) => (text += chunk.toString('latin1')));
        socket.on('error', () => undefined);
        socket.on('close', () => {
          resolve();
        });
        socket.pause();
        setTimeout(() => socket.resume(), 200);
      });
      expect(states[0]).to.be.lessThan(1024);
      expect(states[1]).to.be.greaterThan(0);
      expect(states[2]).to.equal(0);
      expect(text.length).to.be.lessThan(size);
      expect(text).to.not.match(/\r\n0\r\n/);
    } finally {
      await ingress.close();
    }
  });

  // Without a length, a partial response would look complete after a crash, as the kernel closes the connection normally.
  it('marks a partial response as incomplete for a client without chunked encoding when the process is killed', async () => {
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
    // The kernel closes the connections of a killed process in the same way.
    await ingress.close();
    expect(isWhole((await asked).text)).to.equal(false);
  });

  it('sends a stream with a content length to a client without chunked encoding', async () => {
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

  it('resets the connection of a client without chunked encoding when the response exceeds the buffer limit', async () => {
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
