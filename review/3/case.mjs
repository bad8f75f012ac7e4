/**
 * A sound worker falls silent for a second while it writes streams that may be resumed; settings files change meanwhile (SIGHUP). Checks that
 * no daemon closes a client's connection before the end of its stream.
 */
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { keptConnections, newId, send } from '../stand-ins/client.mjs';
import { Deployment, ROOT, runCase } from '../stand-ins/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'patio.example';
const PATH = '/breach/report';
const ZONES = ['patio-alajuela', 'patio-cartago', 'patio-heredia'];
const DAEMON_ZONES = [...ZONES, 'patio-alajuela'];
const WORKERS = 3;
const SLOTS = 64;
const MODEL = 'm0';
/** The site file goes to 159 pieces. */
const EVENTS = 120;
const EVENT_MS = 50;
const CLIENTS = 120;
const TIMEOUT_MS = 12_000;
const TRAFFIC_MS = 30_000;
/** Pauses of the workers: each falls silent once, for a second; times in milliseconds from the start of traffic. */
const SILENT_MS = 1000;
const SILENCES = { first: 8000, last: 24_000, every: 8000 };
/** Settings files change: one daemon of four at a time, as `hup` with its share of 0.3. */
const HUPS = { first: 5000, last: 27_000, every: 2000 };
/** A request counts that is sent so long after the SIGHUP of its machine at most, in milliseconds (`configDeadlineMs`). */
const HUP_COUNTS_MS = 2000;
/** So many connections may be closed without an answer at any time. */
const CLOSES_ALLOWED = 3;

const deployment = new Deployment(DAEMON_ZONES, { region: 'cr-central', bounds: { budgetExtraRetries: 56 } });
const note = (text) => deployment.note(text);
const workers = [];
const runs = new Map();
let trafficFrom = Infinity;

async function addWorker(zone) {
  const id = `i-${workers.length + 1}`;
  const worker = { id, zone, host: deployment.nextWorkerHost() };
  workers.push(worker);
  const options = {
    id,
    host: worker.host,
    port: 8080,
    models: [MODEL],
    slots: SLOTS,
    events: EVENTS,
    eventMs: EVENT_MS,
  };
  const file = join(ROOT, 'review/stand-ins/model-worker.mjs');
  worker.child = spawn('node', [file, JSON.stringify(options)], { stdio: ['ignore', 'pipe', 2, 'ipc'] });
  await new Promise((resolve) => {
    createInterface({ input: worker.child.stdout }).on('line', (line) => {
      const message = JSON.parse(line);
      if (message.kind === 'listening') resolve();
      if (message.kind !== 'run') return;
      runs.set(message.id, [...(runs.get(message.id) ?? []), id]);
      note(`worker ${id} runs ${message.id}`);
    });
  });
  deployment.store.put('servers', id, {
    service: 'redactor',
    address: `${worker.host}:8080`,
    zone,
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    coldRemainingMs: 0,
    stage: 'prefill_decode',
    models: [{ name: MODEL, version: 1, adapters: [] }],
    sequence: 0,
  });
}

async function fallSilent(worker) {
  note(`worker ${worker.id} falls silent for ${SILENT_MS} ms`);
  worker.child.kill('SIGSTOP');
  await pause(SILENT_MS);
  worker.child.kill('SIGCONT');
}

const hups = [];

function changeSettings(daemon) {
  note(`${daemon.name} gets SIGHUP`);
  daemon.child.kill('SIGHUP');
  hups.push({ daemon: daemon.name, at: Date.now() });
}

/** Calls `step` with 0, 1, 2, ... at the times of a plan. */
async function repeat({ first, last, every }, step) {
  for (let count = 0; first + count * every <= last; count += 1) {
    await pause(trafficFrom + first + count * every - Date.now());
    step(count);
  }
}

const sent = [];

async function runClient(index) {
  const daemon = deployment.daemons[index % deployment.daemons.length];
  const agent = keptConnections(1);
  await pause(Math.random() * EVENTS * EVENT_MS);
  while (Date.now() - trafficFrom < TRAFFIC_MS) {
    const id = newId();
    const sentAt = Date.now();
    const answer = await send({
      daemon,
      agent,
      id,
      path: PATH,
      host: HOST,
      body: `report ${id}`,
      headers: {
        Model: MODEL,
        'Token-Counts': `543,${EVENTS * 6}`,
        'Prompt-Prefix': `5c1e07a2:103,${id}:440`,
      },
      deadlineMs: TIMEOUT_MS,
    });
    const pieces = answer.body.split('\n\n').filter((piece) => piece.startsWith('id: ')).length;
    const isClosed = !answer.complete && !answer.gaveUp && runs.has(id);
    const isAfterHup = hups.some(
      (hup) => hup.daemon === daemon.name && sentAt >= hup.at && sentAt <= hup.at + HUP_COUNTS_MS,
    );
    sent.push({ ...answer, pieces, isClosed, isAfterHup });
    const end = answer.complete ? 'complete' : 'not complete';
    note(
      `client ${index} ${id} at ${daemon.name}${answer.reused ? ', kept connection' : ''}: ${answer.status}, ${pieces} pieces, ${end}`,
    );
    await pause(50);
  }
  agent.destroy();
}

async function main() {
  await deployment.prepare();
  for (let index = 0; index < WORKERS; index += 1) await addWorker(ZONES[index % ZONES.length]);
  deployment.store.put('config', 'main', {
    version: 7,
    routes: [
      {
        name: 'breach-report',
        host: HOST,
        pathPrefix: '/breach/',
        routeKind: 'streaming',
        timeoutMs: TIMEOUT_MS,
        targetLatencyMs: 500,
        priority: 2,
        service: 'redactor',
        maxAttempts: 2,
        stickySessions: true,
        resumable: true,
        gapTargetMs: 150,
      },
    ],
    services: [
      {
        name: 'redactor',
        healthPath: '/health',
        connectionLimit: 370,
        engine: {
          slots: SLOTS,
          kvCacheTokens: 132632,
          models: [
            {
              name: MODEL,
              weightsMb: 65100,
              loadS: 6,
              adapters: 0,
              adapterMb: 12,
              warmS: 1.2,
              diskLoadS: 2.4,
            },
          ],
          weightsMb: 220000,
          adapterSlots: 8,
          loadsPerS: 2.3,
        },
      },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  });
  await deployment.start();
  await pause(3000);
  trafficFrom = Date.now();
  const clients = Array.from({ length: CLIENTS }, (_, index) => runClient(index));
  const settingsChanges = repeat(HUPS, (count) =>
    changeSettings(deployment.daemons[count % deployment.daemons.length]),
  );
  if (HAS_TROUBLE) await repeat(SILENCES, (count) => void fallSilent(workers[count % workers.length]));
  await Promise.all([...clients, settingsChanges]);
  const closed = sent.filter(({ isClosed }) => isClosed);
  const kept = closed.filter(({ reused }) => reused);
  const planned = closed.filter(({ isAfterHup }) => isAfterHup);
  for (const { id, pieces, reused, isAfterHup } of closed)
    note(
      `LOST: ${id} closed after ${pieces} of ${EVENTS} pieces, run at ${runs.get(id)}` +
        `${reused ? ', on a kept connection' : ''}${isAfterHup ? ', sent after a SIGHUP' : ''}`,
    );
  const served = sent.filter(({ complete, pieces }) => complete && pieces === EVENTS).length;
  const summary =
    `${sent.length} streams, ${served} whole, ${closed.length} closed before their end: ${kept.length} on kept connections, ` +
    `${planned.length} sent within ${HUP_COUNTS_MS / 1000} s after a SIGHUP`;
  note(summary);
  process.stdout.write(`${summary}\n`);
  if (served < sent.length / 4) return 2;
  return kept.length > CLOSES_ALLOWED || planned.length > 0 ? 1 : 0;
}

await runCase({
  deployment,
  main,
  cleanUp: () => {
    for (const { child } of workers) child.kill('SIGKILL');
  },
  recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
});
