/**
 * ONE: two machines in turn are stopped as planned. The store carries out the write by which the second takes the lease of the first, and
 * the answer is lost. A third machine then gives orders to the worker while the pause after the first one's orders still runs.
 */
import { dirname, join } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Deployment, pause, until } from '../stand-ins-2/deployment.mjs';

const LEASE_MS = 3000;
/** Time between the stops of two machines in turn: `gap_s` is 1 to 2 s in the plans of the sites. */
const GAP_MS = 1000;
const ZONE = 'zona-10';
const LEASES = 'woodbarrow-leases';
/** Machines of the zone from the start, and those that are added later. */
const MACHINES = [1, 2, 3, 4];
const ADDED = [5, 6, 7];

const isTroubled = process.env['TROUBLE'] !== '0';
const here = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment(join(here, 'record.txt'), [ZONE]);
const nameOf = (number) => `front-${ZONE}-${number}`;

/** Clients of one machine ask for one adapter after another, so that the coordinator has orders to give. */
async function askForAdapters(daemon) {
  for (let asked = 0; !hasEnded; asked += 1) {
    const headers = {
      Model: `m0/a${1 + (asked % 190)}`,
      'Token-Counts': '10,10',
      'Prompt-Prefix': 'ab:5,cd:5',
    };
    void deployment.send(daemon, { path: '/model/x', headers });
    await pause(100);
  }
}

/** Orders at one worker that follow an order of another holder within the lease's pause. */
function turnsTaken() {
  const orders = deployment.events.filter(({ kind }) => kind === 'order');
  const turns = [];
  for (let index = 1; index < orders.length; index += 1) {
    const [before, after] = [orders[index - 1], orders[index]];
    if (before.holder !== after.holder) turns.push({ before, after, gapMs: after.at - before.at });
  }
  return turns;
}

let hasEnded = false;

async function play() {
  await deployment.start(['m0', 'm1']);
  await deployment.addWorker({ id: 'i-portal1', service: 'portal', zone: ZONE });
  await deployment.addWorker({ id: 'i-model1', service: 'models', zone: ZONE, models: ['m0', 'm1'] });
  await Promise.all(MACHINES.map((number) => deployment.startDaemon(nameOf(number))));
  await until(() => deployment.leaseOf(ZONE)?.witnesses.length === 3, 'a lease with three witnesses');
  await pause(3000);
  // Planned growth: machines join.
  await Promise.all(ADDED.map((number) => deployment.startDaemon(nameOf(number))));
  await pause(8000);
  void askForAdapters(deployment.daemons.get(nameOf(1)));
  await pause(3000);
  // The holder gives orders now.
  const latest = () => deployment.events.findLast(({ kind }) => kind === 'order');
  const acts = () => latest()?.holder === deployment.leaseOf(ZONE).holder && Date.now() - latest().at < 300;
  await until(acts, 'orders of the holder');
  const { holder } = deployment.leaseOf(ZONE);
  let lost = 0;
  /** The machine that takes the lease next. */
  let next;
  deployment.store.onWrite = ({ kind, name, body }) => {
    if (kind !== LEASES) return;
    const { holder: by, witnesses } = body.specification;
    if (by !== '' && by !== holder) next ??= by;
    const ids = witnesses.map(({ id }) => id).join(',');
    deployment.log('lease written', { name, holder: by || 'nobody', witnesses: ids });
  };
  deployment.store.losesAnswer = ({ kind, specification }) => {
    if (!isTroubled || kind !== LEASES || lost > 0 || ['', holder].includes(specification.holder))
      return false;
    lost += 1;
    deployment.log('the store loses the answer to that write');
    return true;
  };
  deployment.signal(deployment.daemons.get(holder), 'SIGTERM');
  await pause(GAP_MS);
  await until(() => next !== undefined, 'a write of the next holder', GAP_MS);
  deployment.signal(deployment.daemons.get(next), 'SIGTERM');
  await pause(10_000);
  hasEnded = true;
  const orders = deployment.events.filter(({ kind }) => kind === 'order');
  const turns = turnsTaken();
  for (const { before, after, gapMs } of turns) {
    const facts = {
      from: before.holder,
      fence: before.fence,
      to: after.holder,
      nextFence: after.fence,
      gapMs,
    };
    deployment.log('turn', facts);
    console.log(`${before.holder} (${before.fence}) -> ${after.holder} (${after.fence}): ${gapMs} ms`);
  }
  if (turns.length === 0 || (isTroubled && lost === 0)) {
    console.error(`${orders.length} orders, ${turns.length} turns, ${lost} lost answers`);
    return 2;
  }
  return turns.some(({ gapMs }) => gapMs < LEASE_MS) ? 1 : 0;
}

const limit = setTimeout(() => void finish(2), 110_000);

async function finish(code) {
  hasEnded = true;
  clearTimeout(limit);
  await deployment.stop();
  process.exit(code);
}

try {
  await finish(await play());
} catch (error) {
  console.error(error);
  await finish(2);
}
