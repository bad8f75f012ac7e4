/** A small deployment on loopback: the daemons as processes of their own, each on its own loopback address. */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

const FRONT_PORT = 8149;
const READY_PORT = 8141;
const CONTROL_PORT = 8144;
const INTERNAL_PORTS = [7380, 7395];
const STORE_PORT = 8142;
const STORE_HOST = 250;
const FIRST_WORKER_HOST = 100;
const START_TIMEOUT_MS = 20_000;
const EXIT_TIMEOUT_MS = 2000;

/** Settings of the site file `haddad-amman`, as `fleetbench wire` shows them. */
const BOUNDS = {
  seedLagS: 3,
  addressReuseS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configDeadlineMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtraRetries: 54,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  requireFencing: false,
  leaseMs: 3000,
  thawSlackMs: 300,
  ceilingWindowS: 5,
  ceilingOvershoot: 1.1,
};

/** Program and arguments of the role, as the deploy file tells them. */
function roleCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('the deploy file names no command');
  return run.split(' ');
}

function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Returns the first three numbers of a loopback network none of whose ports is in use. */
async function freeNetwork(hosts) {
  const ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, STORE_PORT, 9464, ...INTERNAL_PORTS];
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const checks = hosts.flatMap((host) => ports.map((port) => isFree(`${network}.${host}`, port)));
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error('no free loopback network');
}

function readiness(host) {
  return new Promise((done) => {
    const request = get({ host, port: READY_PORT, path: '/readiness', timeout: 500 }, (response) => {
      response.resume();
      done(response.statusCode);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(0));
  });
}

export class Deployment {
  store = new Store();
  daemons = [];
  workerCount = 0;
  lines = [];
  startedAt = Date.now();

  /** @param zones Zone of each daemon. @param site Where another site than `haddad-amman` is meant: its region, and bounds that differ. */
  constructor(zones, { region = 'amman', bounds = {} } = {}) {
    this.zones = zones;
    this.region = region;
    this.bounds = { ...BOUNDS, ...bounds };
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Adds a line to the record of the run. */
  note(text) {
    this.lines.push(`${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}`);
  }

  /** Chooses the addresses and starts the store. */
  async prepare() {
    const hosts = [STORE_HOST, ...this.zones.map((_, index) => index + 1)];
    this.network = await freeNetwork(hosts);
    await this.store.listen(`${this.network}.${STORE_HOST}`, STORE_PORT);
  }

  nextWorkerHost() {
    this.workerCount += 1;
    return `${this.network}.${FIRST_WORKER_HOST + this.workerCount}`;
  }

  /** Starts all daemons and waits until each says that it is ready. */
  async start() {
    this.zones.forEach((zone, index) => this.startDaemon(`front-${zone}-${index + 1}`, zone, index + 1));
    const giveUpAt = Date.now() + START_TIMEOUT_MS;
    for (const { host } of this.daemons) {
      while ((await readiness(host)) !== 200) {
        if (Date.now() > giveUpAt) throw new Error('a daemon did not become ready');
        await pause(100);
      }
    }
  }

  startDaemon(name, zone, hostNumber) {
    const host = `${this.network}.${hostNumber}`;
    const file = join(this.folder, `${name}.conf`);
    writeFileSync(file, this.settingsText(name, zone, host));
    const [program, ...words] = roleCommand();
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C.UTF-8',
        WOODBARROW_NODE_FILE: file,
      },
      stdio: ['ignore', log, log],
    });
    const daemon = { name, host, port: FRONT_PORT, child, hasExited: false };
    child.on('exit', () => {
      daemon.hasExited = true;
    });
    this.daemons.push(daemon);
    return daemon;
  }

  settingsText(name, zone, host) {
    const zones = [...new Set(this.zones)];
    const seeds = this.zones.slice(0, 3).map((_, index) => `${this.network}.${index + 1}:${CONTROL_PORT}`);
    return [
      `nodeName=${name}`,
      'role=serving',
      'machineClass=front',
      'serves=front,control',
      `ip=${host}`,
      `zone=${zone}`,
      `region=${this.region}`,
      ...zones.map((each) => `zones.${each}=${this.region}`),
      `listen.front=${host}:${FRONT_PORT}`,
      `listen.ready=${host}:${READY_PORT}`,
      `listen.control=${host}:${CONTROL_PORT}`,
      `internalPorts=${INTERNAL_PORTS.join(',')}`,
      `seeds=${seeds.join(',')}`,
      'bootstrap=true',
      'countsTowardTolerance=false',
      'limits.cpuShare=0.675',
      'limits.cores=1',
      'limits.memoryMb=350',
      'limits.fileDescriptors=4100',
      'limits.linkMbps=1000.0',
      'limits.diskMb=0',
      'discovery=platform',
      'entry=virtual_ip',
      'heartbeatIntervalMs=1200',
      'contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform',
      'tolerate.machines=1',
      'tolerate.zones=0',
      'tolerate.regions=0',
      ...Object.entries(this.bounds).map(([key, value]) => `bounds.${key}=${value}`),
      `platform.address=${this.store.address}`,
      'platform.form=objects',
      'platform.writes_per_s=400',
      'platform.reads_per_s=2000',
      'platform.historyS=20',
      'platform.value_bytes=1048576',
      'platform.ttl_min_ms=1000',
      '',
    ].join('\n');
  }

  /** Ends all processes and writes the record. */
  async stop(recordFile) {
    for (const { child } of this.daemons) child.kill('SIGKILL');
    const giveUpAt = Date.now() + EXIT_TIMEOUT_MS;
    while (this.daemons.some(({ hasExited }) => !hasExited) && Date.now() < giveUpAt) await pause(20);
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.folder}\n`);
    writeFileSync(recordFile, `${this.lines.join('\n')}\n`);
  }
}

/** Longest time that a case takes, in milliseconds. */
const CASE_LIMIT_MS = 110_000;

/**
 * Runs a case and ends the process with its exit code: that of `main`, or 2 if it failed, took too long or was interrupted. Whatever happens,
 * all that was started is ended and the record is written.
 */
export async function runCase({ deployment, main, cleanUp, recordFile }) {
  const interrupted = new Promise((done) => {
    process.once('SIGTERM', () => done(2));
    process.once('SIGINT', () => done(2));
    setTimeout(() => done(2), CASE_LIMIT_MS).unref();
  });
  let code = 2;
  try {
    code = await Promise.race([main(), interrupted]);
  } catch (error) {
    deployment.note(`the case could not run: ${error.message}`);
    process.stderr.write(`${error.stack}\n`);
  }
  cleanUp();
  await deployment.stop(recordFile);
  process.exit(code);
}
