import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { NodeIngress } from '../src/index.js';

const LIMITS = {
  maximumHeaderBytes: 8192,
  headerTimeoutMs: 1000,
  idleTimeoutMs: 1000,
};

/** Sends a request line of the given version; resolves with what came, and how the connection ended. */
function ask(port: number, version: string): Promise<{ readonly text: string; readonly end: string }> {
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
      const chunked = await ask(ingress.port, '1.1');
      expect(chunked.text).to.match(/half/);
      expect(chunked.text).to.not.match(/\r\n0\r\n/);
      const plain = await ask(ingress.port, '1.0');
      expect(plain.text).to.match(/half$/);
      expect(plain.end).to.equal('reset');
    } finally {
      await ingress.close();
    }
  });
});
