/**
 * Stand-in of a worker, one process. Its options come as JSON in the first argument; it tells its parent what it has received and run.
 * It records itself in the store, answers requests, reports and orders as the pages say, and holds what it is ordered to hold.
 */
import { Buffer } from 'node:buffer';
import { createServer, request as call } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const options = JSON.parse(process.argv[2]);
const { id, service, zone, ip, store, weightsMb = 200, modelMb = 70, loadMs = 300, adapterMs = 20 } = options;
const models = new Map((options.models ?? []).map((name) => [name, new Set()]));
let state = 'ready';
let remainingMs;
let sequence = 0;
let beat = 0;
let runs = 0;
/** One of so many answers is spoilt; none if 0. */
let spoilsEach = 0;
let underWay;
let address;

const tell = (kind, facts) => process.send({ kind, at: Date.now(), worker: id, ...facts });
const held = () => [...models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));

function record() {
  const left = remainingMs === undefined ? {} : { remainingMs };
  const base = {
    service,
    address: options.advertise ?? address,
    zone,
    version: '1',
    slots: options.slots ?? 8,
    state,
    ...left,
  };
  return { ...base, coldRemainingMs: 0, sequence: beat, models: held() };
}

function write(method, target, body) {
  const [host, port] = store.split(':');
  return new Promise((resolve) => {
    const sent = call({ host, port, method, path: target, agent: false }, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode));
    });
    sent.on('error', () => resolve(0));
    sent.end(JSON.stringify(body));
  });
}

async function heartbeat() {
  beat += 1;
  const body = { metadata: { name: id }, specification: record() };
  const status = await write('PUT', `/objects/servers/${id}`, body);
  if (status === 404) await write('POST', '/objects/servers', body);
}

async function read(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

function json(response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json', 'Instance-Id': id });
  response.end(JSON.stringify(body));
}

/** Returns the status of an order. */
function carryOut({ operation, model, adapter, expectRevision }) {
  const target = `${operation} ${model}/${adapter ?? ''}`;
  if (expectRevision !== undefined && expectRevision !== sequence) return 409;
  if (adapter !== undefined) {
    const adapters = models.get(model);
    if (adapters === undefined) return 421;
    if (operation === 'unload') {
      sequence += 1;
      adapters.delete(adapter);
      return 200;
    }
    if (adapters.has(adapter)) return 200;
    sequence += 1;
    setTimeout(() => adapters.add(adapter), adapterMs);
    return 202;
  }
  if (underWay !== undefined) return underWay === target ? 202 : 409;
  if (operation === 'load' ? models.has(model) : !models.has(model)) return 200;
  if (operation === 'load' && (models.size + 1) * modelMb > weightsMb) tell('overload', { model });
  sequence += 1;
  underWay = target;
  if (operation === 'unload') models.delete(model);
  setTimeout(
    () => {
      if (operation === 'load') models.set(model, new Set());
      underWay = undefined;
    },
    operation === 'load' ? loadMs : 20,
  );
  return 202;
}

async function order(request, response) {
  const body = JSON.parse(await read(request));
  const status = carryOut(body);
  const { holder, fencingToken, operation, model, adapter } = body;
  tell('order', { holder, fence: fencingToken, operation, model, adapter, status });
  json(response, status, {});
}

/** Runs a request, or turns it away. */
async function run(request, response) {
  const body = await read(request);
  const requestId = request.headers['request-id'];
  const expected = request.headers['expect-instance'];
  if (requestId === undefined) {
    response.writeHead(400, { 'Not-Run': '1' }).end();
    return;
  }
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { 'Request-Id': requestId, 'Instance-Id': id }).end();
    return;
  }
  const [model, adapter] = (request.headers['model'] ?? '').split('/');
  if (model !== '' && (!models.has(model) || (adapter !== undefined && !models.get(model).has(adapter)))) {
    response.writeHead(421, { 'Request-Id': requestId, 'Instance-Id': id, 'Not-Run': '1' }).end();
    return;
  }
  tell('run', { request: requestId, method: request.method, target: request.url, bytes: body.length });
  if (model !== '' && options.events !== undefined) {
    writeStream(request, requestId);
    return;
  }
  runs += 1;
  const isSpoilt = spoilsEach > 0 && runs % spoilsEach === 0;
  setTimeout(() => {
    if (isSpoilt) {
      tell('spoilt', { request: requestId });
      request.socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n');
      return;
    }
    response.writeHead(200, { 'Request-Id': requestId, 'Server-Stamp': `stamp.${id}` });
    response.end(`answer to ${requestId} by ${id}\n`);
  }, options.workMs ?? 20);
}

/** Writes a stream with neither a length nor chunks, which ends with its connection. */
function writeStream({ socket }, requestId) {
  const { events, eventMs } = options;
  const head = ['HTTP/1.1 200 OK', `Request-Id: ${requestId}`, `Server-Stamp: stamp.${id}`];
  socket.write([...head, 'Content-Type: text/event-stream', 'Connection: close', '', ''].join('\r\n'));
  let next = 1;
  const timer = setInterval(() => {
    socket.write(`id: ${next}\ndata: ${requestId} event ${next} of ${events}\n\n`);
    tell('event', { request: requestId, event: next });
    next += 1;
    if (next <= events) return;
    clearInterval(timer);
    socket.end();
  }, eventMs);
  socket.on('close', () => clearInterval(timer));
}

const server = createServer((request, response) => {
  request.socket.setMaxListeners(0);
  if (request.url === '/order') return void order(request, response);
  if (request.url === '/report') {
    const busy = underWay !== undefined;
    return json(response, 200, {
      stage: 'prefill_decode',
      models: held(),
      busy,
      sequence,
      waiting: 0,
      running: 0,
      incoming: [],
      kvCacheUsed: 0,
      kvCacheTotal: 100_000,
      handles: 0,
    });
  }
  if (request.url === '/health') {
    response.writeHead(200, { 'Instance-Id': id, 'Server-Load': '0,0,8' }).end();
    return undefined;
  }
  return void run(request, response);
});
server.keepAliveTimeout = 20_000;

process.on('message', (message) => {
  if (message.spoilsEach !== undefined) spoilsEach = message.spoilsEach;
  if (message.state !== undefined) {
    state = message.state;
    remainingMs = message.remainingMs;
    void heartbeat().then(() => tell('state', { state }));
  }
});
process.on('disconnect', () => process.exit(0));

server.listen(0, ip, async () => {
  address = `${ip}:${server.address().port}`;
  await heartbeat();
  setInterval(() => void heartbeat(), 1200);
  tell('started', { address });
});
