/** A client of the ingress: sends requests on kept connections and collects what it receives. */
import { Agent, request as startRequest } from 'node:http';
import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

export function newId() {
  return randomBytes(8).toString('hex');
}

export function keptConnections(maximum = Infinity) {
  return new Agent({ keepAlive: true, maxSockets: maximum, maxFreeSockets: 256 });
}

/**
 * Sends one attempt. Resolves with what the client saw: `status` 0 without a head; `complete` for a whole answer; `gaveUp` when the
 * client's deadline passed first.
 */
export function send({
  daemon,
  agent,
  id,
  method = 'POST',
  path,
  host,
  headers = {},
  body = '',
  deadlineMs,
}) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const seen = { id, status: 0, headers: {}, body: '', complete: false, gaveUp: false, reused: false };
    const finish = () => {
      clearTimeout(timer);
      resolve({ ...seen, tookMs: performance.now() - sentAt });
    };
    const request = startRequest(
      {
        host: daemon.host,
        port: daemon.port,
        path,
        method,
        agent,
        headers: { Host: host, 'Request-Id': id, 'Deadline-Ms': String(deadlineMs), ...headers },
      },
      (response) => {
        seen.status = response.statusCode;
        seen.headers = response.headers;
        response.setEncoding('latin1');
        response.on('data', (text) => {
          seen.body += text;
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          seen.complete = response.complete;
          finish();
        });
      },
    );
    const timer = setTimeout(() => {
      seen.gaveUp = true;
      request.destroy();
    }, deadlineMs);
    request.on('error', (error) => {
      seen.error = error.code ?? error.message;
      if (seen.status === 0) finish();
    });
    request.on('socket', () => {
      seen.reused = request.reusedSocket;
    });
    request.end(body);
  });
}
