/**
 * A worker gives some of its answers a second time, late: in the place where the answer to the next request of the connection is due. Each
 * copy names the `Request-Id` of the request that it answered. Checks that no `unsafe` request is run more than once.
 */
import { fileURLToPath } from 'node:url';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import { keptConnections, newId, send } from '../stand-ins/client.mjs';
import { Deployment, runCase } from '../stand-ins/deployment.mjs';
import { PlainWorker } from '../stand-ins/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'supplier.example';
const PATH = '/advance/status';
const ZONES = ['abdali', 'sahab', 'marka'];
const CLIENTS = 40;
const DEADLINE_MS = 1500;
const WORK_MS = 40;
/** Milliseconds from the start of traffic; each window is shorter than the 6.75 s of the site file. */
const WINDOWS = [
  [2000, 8000],
  [10_000, 16_000],
  [18_000, 24_000],
  [26_000, 32_000],
  [34_000, 40_000],
];
const TRAFFIC_MS = 42_000;
/** Share of the answers of the one worker in three that is disturbed; the site file goes to 0.05 at a share of 0.6. */
const EXTRA_SHARE = 0.05;

const deployment = new Deployment(ZONES);
const note = (text) => deployment.note(text);
let trafficFrom = Infinity;

function isInWindow() {
  const at = Date.now() - trafficFrom;
  return HAS_TROUBLE && WINDOWS.some(([from, to]) => at >= from && at < to);
}

let answers = 0;
let extras = 0;
const disturbed = {
  /** Keeps a copy of some answers for the next request of their connection. */
  onAnswer(connection, request, text, status) {
    if (!isInWindow()) return;
    answers += 1;
    if (Math.random() >= EXTRA_SHARE) return;
    connection.copy = { text, id: request.id, status };
  },
  beforeRun(connection, request) {
    const { copy } = connection;
    if (copy === undefined) return;
    connection.copy = undefined;
    extras += 1;
    note(`worker w1 sends its ${copy.status} to ${copy.id} again, where the answer to ${request.id} is due`);
    connection.socket.write(copy.text, 'latin1');
  },
};

const workers = ZONES.map(
  (zone, index) =>
    new PlainWorker({
      id: `w${index + 1}`,
      service: 'supplier-portal',
      zone,
      slots: 2,
      queue: 2,
      workMs: () => WORK_MS * (0.5 + Math.random()),
      note,
      ...(index === 0 ? disturbed : {}),
    }),
);

async function startDeployment() {
  await deployment.prepare();
  for (const worker of workers) {
    await worker.listen(deployment.nextWorkerHost());
    deployment.store.put('servers', worker.options.id, worker.record());
  }
  deployment.store.put('config', 'main', {
    version: 7,
    routes: [
      {
        name: 'advance-status',
        host: HOST,
        pathPrefix: '/advance/',
        routeKind: 'unsafe',
        timeoutMs: 800,
        targetLatencyMs: 150,
        priority: 2,
        service: 'supplier-portal',
        maxAttempts: 1,
      },
    ],
    services: [{ name: 'supplier-portal', healthPath: '/health', connectionLimit: 100 }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  });
  await deployment.start();
}

const sent = [];

async function runClient(index) {
  const daemon = deployment.daemons[index % deployment.daemons.length];
  const agent = keptConnections(1);
  while (Date.now() - trafficFrom < TRAFFIC_MS) {
    const id = newId();
    const answer = await send({
      daemon,
      agent,
      id,
      path: PATH,
      host: HOST,
      body: 'supplier=17',
      deadlineMs: DEADLINE_MS,
    });
    sent.push(answer);
    note(`client ${index} ${id} at ${daemon.name}: ${answer.status || (answer.error ?? 'gave up')}`);
    await pause(100 + Math.random() * 200);
  }
  agent.destroy();
}

async function main() {
  await startDeployment();
  await pause(3000);
  trafficFrom = Date.now();
  await Promise.all(Array.from({ length: CLIENTS }, (_, index) => runClient(index)));
  await pause(1000);
  const runs = new Map();
  for (const worker of workers)
    for (const id of worker.runs) runs.set(id, [...(runs.get(id) ?? []), worker.options.id]);
  const twice = [...runs].filter(([, places]) => places.length > 1);
  const promised = sent.filter(({ id, status }) => [408, 421, 429, 503].includes(status) && runs.has(id));
  for (const [id, places] of twice) note(`TWICE: ${id} was run at ${places.join(' and ')}`);
  for (const { id, status } of promised) note(`REFUSED: ${id} was answered with ${status} and was run`);
  const served = sent.filter(({ status }) => status === 200).length;
  const refused = sent.filter(({ status }) => status === 503).length;
  const summary =
    `${sent.length} requests, ${served} served, ${refused} refused; ${extras} extra answers in ${answers} of the worker; ` +
    `${twice.length} run more than once, ${promised.length} refused although run`;
  note(summary);
  process.stdout.write(`${summary}\n`);
  if (served < sent.length / 4) return 2;
  return twice.length > 0 || promised.length > 0 ? 1 : 0;
}

await runCase({
  deployment,
  main,
  cleanUp: () => {
    for (const worker of workers) worker.close();
  },
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});
