/** A small deployment on loopback: the stand-in store, workers in processes of their own, and daemons with the command of the deploy file. */
import { Buffer } from 'node:buffer';
import { fork, spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as call } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { StoreStandIn } from './store.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = dirname(dirname(HERE));
export const HOST = 'service.example';

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds. @throws Error if it does not in time. */
export async function until(condition, what, limitMs = 20_000) {
  const end = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`not in time: ${what}`);
    await pause(10);
  }
}

/** Port that was free on an address when asked. */
async function freePort(ip) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function configuration(models, engineOptions) {
  const route = (name, routeKind, service, rest = {}) => ({
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    routeKind,
    service,
    timeoutMs: 6000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 2,
    ...rest,
  });
  const engine = {
    slots: 8,
    kvCacheTokens: 100_000,
    weightsMb: 200,
    adapterSlots: 8,
    loadsPerS: 50,
    models: models.map((name) => ({
      name,
      weightsMb: 70,
      loadS: 0.3,
      diskLoadS: 0.3,
      warmS: 0.3,
      adapters: 200,
      adapterMb: 0,
    })),
    ...engineOptions,
  };
  return {
    version: 7,
    routes: [
      route('safe', 'safe', 'portal'),
      route('unsafe', 'unsafe', 'portal', { maxAttempts: 1, timeoutMs: 1500 }),
      route('model', 'unsafe', 'models', { maxAttempts: 1, timeoutMs: 9000 }),
      route('stream', 'streaming', 'models', { maxAttempts: 1, timeoutMs: 15_000, gapTargetMs: 400 }),
    ],
    services: [
      { name: 'portal', healthPath: '/health', connectionLimit: 100 },
      { name: 'models', healthPath: '/health', connectionLimit: 300, engine },
    ],
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 1_000_000, headerTimeoutMs: 2000, idleTimeoutMs: 8000 },
  };
}

export class Deployment {
  store = new StoreStandIn();
  workers = new Map();
  daemons = new Map();
  /** What the workers told. */
  events = [];
  folder = mkdtempSync(join(tmpdir(), 'woodbarrow-review-'));
  startedAt = Date.now();
  requests = 0;

  /** @param recordFile File that gets what was sent, answered and run. @param zones Names of all zones. */
  constructor(recordFile, zones) {
    this.recordFile = recordFile;
    this.zones = zones;
    writeFileSync(recordFile, '');
    // One block of loopback addresses for each run, so that runs do not meet.
    const block = () => 1 + Math.floor(Math.random() * 250);
    this.network = `127.${block()}.${block()}`;
    this.nextHost = 1;
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.on(signal, () => this.stop().then(() => process.exit(2)));
  }

  log(what, facts = {}) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    const text = Object.entries(facts)
      .map(([name, value]) => ` ${name}=${String(value)}`)
      .join('');
    appendFileSync(this.recordFile, `${at} ${what}${text}\n`);
  }

  nextIp() {
    this.nextHost += 1;
    return `${this.network}.${this.nextHost}`;
  }

  /** @param models Names of all models. @param engineOptions Settings of the model service that differ. */
  async start(models = [], engineOptions = {}) {
    await this.store.listen(this.nextIp());
    this.configuration = configuration(models, engineOptions);
    this.store.put('config', 'main', this.configuration);
  }

  /** Adds a route by a change of the configuration. */
  addRoute(options) {
    const { version, routes } = this.configuration;
    const route = { ...routes[0], pathPrefix: `/${options.name}/`, ...options };
    this.configuration = { ...this.configuration, version: version + 3, routes: [...routes, route] };
    this.store.put('config', 'main', this.configuration);
    this.log(`configuration ${this.configuration.version}: route ${route.pathPrefix} is added`);
  }

  async addWorker(options) {
    const full = { zone: this.zones[0], ...options, ip: this.nextIp(), store: this.store.address };
    const child = fork(join(HERE, 'worker.mjs'), [JSON.stringify(full)], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const worker = { ...full, child, pid: child.pid };
    this.workers.set(options.id, worker);
    child.on('message', (event) => {
      this.events.push(event);
      const { kind, at, worker: by, ...facts } = event;
      this.log(`worker ${by}: ${kind}`, { readAt: ((at - this.startedAt) / 1000).toFixed(3), ...facts });
      if (kind === 'started') worker.address = facts.address;
    });
    await until(() => worker.address !== undefined, `start of worker ${options.id}`);
    return worker;
  }

  settings(name, zone, ip, front, ready, control) {
    const zones = this.zones.map((each) => `zones.${each}=region-a`);
    return [
      `nodeName=${name}`,
      'role=serving',
      'machineClass=front',
      'serves=front',
      `ip=${ip}`,
      `zone=${zone}`,
      'region=region-a',
      ...zones,
      `listen.front=${ip}:${front}`,
      `listen.ready=${ip}:${ready}`,
      `internalPorts=${control},${control + 15}`,
      'seeds=',
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
      'bounds.seedLagS=3',
      'bounds.addressReuseS=2',
      'bounds.contactMs=3000',
      'bounds.ackTimeoutMs=4000',
      'bounds.catchUpS=4',
      'bounds.drainMs=2000',
      'bounds.graceS=8',
      'bounds.lossSlackMs=200',
      'bounds.configDeadlineMs=2000',
      'bounds.rollbackSlackMs=250',
      'bounds.maxStretchMs=5000',
      'bounds.retryBudgetRatio=0.2',
      'bounds.budgetWindowS=10',
      'bounds.budgetExtraRetries=54',
      'bounds.recoveryS=12',
      'bounds.passMs=120',
      'bounds.retryAfterS=0',
      'bounds.requireFencing=false',
      'bounds.leaseMs=3000',
      'bounds.thawSlackMs=300',
      'bounds.ceilingWindowS=5',
      'bounds.ceilingOvershoot=1.1',
      `platform.address=${this.store.address}`,
      'platform.form=objects',
      'platform.writes_per_s=400',
      'platform.reads_per_s=2000',
      'platform.historyS=20',
      'platform.value_bytes=1048576',
      'platform.ttl_min_ms=1000',
    ].join('\n');
  }

  /** Starts a daemon, or starts it again with the settings that it had. */
  async startDaemon(name, zone = this.zones[0]) {
    let daemon = this.daemons.get(name);
    if (daemon === undefined) {
      const ip = this.nextIp();
      const [front, ready] = [await freePort(ip), await freePort(ip)];
      const file = join(this.folder, `${name}.conf`);
      writeFileSync(file, this.settings(name, zone, ip, front, ready, 7380));
      daemon = { name, ip, front, ready, file, logFile: join(this.folder, `${name}.log`) };
      this.daemons.set(name, daemon);
    }
    const [program, ...rest] = deployCommand();
    const output = openSync(daemon.logFile, 'a');
    const { PATH = '', HOME = '', LANG = '' } = process.env;
    daemon.child = spawn(program, rest, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, WOODBARROW_NODE_FILE: daemon.file },
      stdio: ['ignore', output, output],
    });
    daemon.ended = new Promise((resolve) => daemon.child.on('exit', resolve));
    daemon.isRunning = true;
    daemon.child.on('exit', (code, signal) => {
      daemon.isRunning = false;
      this.log(`daemon ${name} ended`, { code, signal });
    });
    await until(() => this.isReady(daemon), `readiness of daemon ${name}`);
    this.log(`daemon ${name} is ready`);
    return daemon;
  }

  isReady(daemon) {
    return new Promise((resolve) => {
      const sent = call(
        { host: daemon.ip, port: daemon.ready, path: '/readiness', agent: false, timeout: 500 },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      sent.on('error', () => resolve(false));
      sent.on('timeout', () => sent.destroy());
      sent.end();
    });
  }

  signal(target, signal) {
    this.log(`${signal} to ${target.name ?? target.id}`);
    target.child.kill(signal);
  }

  /** Record of a zone's lease, as the store holds it. */
  leaseOf(zone) {
    return this.store.objects('woodbarrow-leases').get(`zone-${zone}`)?.specification;
  }

  logOf(name) {
    const { logFile } = this.daemons.get(name);
    return readFileSync(logFile, 'utf8')
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => {
        try {
          return JSON.parse(line);
        } catch {
          return { text: line };
        }
      });
  }

  /** Sends one request of a client, on a connection of its own. Resolves with its answer. */
  send(daemon, { path, method = 'POST', headers = {}, body = 'x', deadlineMs = 5000 }) {
    this.requests += 1;
    const id = `${process.pid.toString(16)}${this.requests.toString(16).padStart(8, '0')}`;
    const what = { id, daemon: daemon.name, path, model: headers['Model'] ?? '' };
    this.log('sent', what);
    return new Promise((resolve) => {
      const agent = new Agent({ keepAlive: false });
      const finish = (answer) => {
        clearTimeoutOf(sent);
        this.log('answered', {
          id,
          status: answer.status,
          outcome: answer.outcome,
          bytes: answer.text?.length ?? 0,
        });
        resolve({ id, ...answer });
      };
      const sent = call(
        {
          host: daemon.ip,
          port: daemon.front,
          path,
          method,
          agent,
          headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(deadlineMs), ...headers },
        },
        (answer) => {
          const chunks = [];
          answer.on('data', (chunk) => chunks.push(chunk));
          answer.on('close', () => {
            finish({
              status: answer.statusCode,
              headers: answer.headers,
              text: Buffer.concat(chunks).toString(),
              outcome: answer.complete ? 'complete' : 'cut',
            });
          });
        },
      );
      sent.deadline = setTimeout(() => sent.destroy(new Error('deadline')), deadlineMs + 500);
      sent.on('error', (error) => finish({ status: 0, outcome: error.message }));
      sent.end(method === 'GET' ? undefined : body);
    });
  }

  async stop() {
    for (const { child } of this.workers.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    for (const { child } of this.daemons.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    this.store.close();
    if (process.env['KEEP'] === undefined) rmSync(this.folder, { recursive: true, force: true });
    else console.error(this.folder);
  }
}

function clearTimeoutOf(sent) {
  if (sent.deadline !== undefined) sent.deadline.unref();
}

/** The command of the deploy file. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}
