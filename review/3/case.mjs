/**
 * Some workers spoil a few of their answers: they send bytes that are no answer, the head of a `101 Switching Protocols` that nobody asked for.
 * Checks that requests which last longer than the time-out of their route get a final answer within half a second of it, and records how many
 * requests these workers get after the disturbance.
 */
import { fileURLToPath } from 'node:url';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import { keptConnections, newId, send } from '../stand-ins/client.mjs';
import { Deployment } from '../stand-ins/deployment.mjs';
import { PlainWorker } from '../stand-ins/worker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'supplier.example';
const PATH = '/advance/status';
const ZONES = ['abdali', 'sahab', 'marka'];
const WORKER_ZONES = [...ZONES, 'abdali'];
/** Two of four workers are disturbed; the site file goes to a share of 0.6. */
const DISTURBED_WORKERS = 2;
const CLIENTS = 40;
const DEADLINE_MS = 1500;
const TIMEOUT_MS = 800;
/** Time after the time-out within which there has to be an answer, in milliseconds. */
const ANSWER_SLACK_MS = 500;
/** Fewer requests without an answer don't break the rule. */
const MIN_UNANSWERED = 8;
const MIN_UNANSWERED_SHARE = 0.25;
const WORK_MS = 40;
/** Milliseconds from the start of traffic; each window is shorter than the 6.75 s of the site file. */
const WINDOWS = [
  [2000, 8000],
  [10_000, 16_000],
  [18_000, 24_000],
];
const TRAFFIC_MS = 34_000;
/** Share of the answers of a disturbed worker; the site file goes to 0.05. */
const SPOILT_SHARE = 0.05;
const SPOILT_ANSWER = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n';

const deployment = new Deployment(ZONES);
const note = (text) => deployment.note(text);
let trafficFrom = Infinity;

function trafficMs() {
  return Date.now() - trafficFrom;
}

function isInWindow() {
  return HAS_TROUBLE && WINDOWS.some(([from, to]) => trafficMs() >= from && trafficMs() < to);
}

let spoilt = 0;

function answerOrSpoil(connection, request, respond, worker) {
  if (!isInWindow() || Math.random() >= SPOILT_SHARE) {
    respond(`answer to ${request.id}\n`);
    return;
  }
  spoilt += 1;
  note(`worker ${worker.options.id} sends 101 instead of an answer to ${request.id}`);
  connection.socket.write(SPOILT_ANSWER);
}

const runsAfterwards = new Map();

const workers = WORKER_ZONES.map((zone, index) => {
  const id = `w${index + 1}`;
  runsAfterwards.set(id, 0);
  return new PlainWorker({
    id,
    service: 'supplier-portal',
    zone,
    workMs: () => WORK_MS * (0.5 + Math.random()),
    note,
    beforeRun: () => {
      if (trafficMs() > WINDOWS.at(-1)[1] + 2000) runsAfterwards.set(id, runsAfterwards.get(id) + 1);
    },
    ...(index < DISTURBED_WORKERS ? { answer: answerOrSpoil } : {}),
  });
});

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
        timeoutMs: TIMEOUT_MS,
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
  let agent = keptConnections(1);
  while (trafficMs() < TRAFFIC_MS) {
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
    const outcome = answer.status || (answer.gaveUp ? 'no answer, gave up' : answer.error);
    note(`client ${index} ${id} at ${daemon.name}: ${outcome} after ${Math.round(answer.tookMs)} ms`);
    if (answer.gaveUp) {
      agent.destroy();
      agent = keptConnections(1);
    }
    await pause(40 + Math.random() * 60);
  }
  agent.destroy();
}

async function main() {
  await startDeployment();
  await pause(3000);
  trafficFrom = Date.now();
  await Promise.all(Array.from({ length: CLIENTS }, (_, index) => runClient(index)));
  const lasting = sent.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const unanswered = lasting.filter(({ tookMs }) => tookMs > TIMEOUT_MS + ANSWER_SLACK_MS);
  for (const { id } of unanswered) note(`CONFIG: ${id} was without an answer 0.5 s after the time-out`);
  const served = sent.filter(({ status }) => status === 200).length;
  const afterwards = [...runsAfterwards].map(([id, count]) => `${id} ${count}`).join(', ');
  const summary =
    `${sent.length} requests, ${served} served; ${spoilt} spoilt answers; ${lasting.length} lasted longer than the time-out, ` +
    `${unanswered.length} of these had no answer 0.5 s later; requests from 2 s after the disturbance on: ${afterwards}`;
  note(summary);
  process.stdout.write(`${summary}\n`);
  if (served < sent.length / 4) return 2;
  const isBroken =
    unanswered.length >= MIN_UNANSWERED && unanswered.length > lasting.length * MIN_UNANSWERED_SHARE;
  return isBroken ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  note(`the case could not run: ${error.message}`);
  process.stderr.write(`${error.stack}\n`);
}
for (const worker of workers) worker.close();
await deployment.stop(fileURLToPath(new URL('record.txt', import.meta.url)));
process.exit(code);
