/**
 * Starved: the connections to a model worker are reset, and new ones too, for some seconds, while an order to it is due. From then on its
 * coordinator gives it no order, so that models which it does not hold are never served again.
 */
import { dirname, join } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Deployment, pause } from '../stand-ins-2/deployment.mjs';
import { Proxy } from '../stand-ins-2/proxy.mjs';

/** Length of the cut; `node_cut` lasts up to 7 s in the plans of the site. */
const CUT_MS = 3000;
/** Time for which the models are asked for after the cut. */
const ASKED_MS = 40_000;
const HELD = ['m0', 'm1'];
const OTHERS = Array.from({ length: 8 }, (_, index) => `m${index + 2}`);
const MODELS = [...HELD, ...OTHERS];

const isTroubled = process.env['TROUBLE'] !== '0';
const here = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment(join(here, 'record.txt'), ['abdali']);
const proxy = new Proxy();
/** Requests of each model, and those that were served. */
const asked = new Map(MODELS.map((model) => [model, { times: [], served: 0 }]));
let hasEnded = false;

function ask(model) {
  const of = asked.get(model);
  of.times.push(Date.now());
  const headers = { Model: model, 'Token-Counts': '10,10', 'Prompt-Prefix': 'ab:5,cd:5' };
  const daemon = deployment.daemons.get('front-abdali-2');
  void deployment.send(daemon, { path: '/model/x', headers, deadlineMs: 5000 }).then(({ status }) => {
    if (status === 200) of.served += 1;
  });
}

/** Models that were asked for four times or more, over more than 8 s, and never served. */
function starvedModels() {
  return MODELS.filter((model) => {
    const { times, served } = asked.get(model);
    return served === 0 && times.length >= 4 && times.at(-1) - times[0] > 8000;
  });
}

async function play() {
  await deployment.start(MODELS);
  await proxy.listen(deployment.nextIp());
  const options = { service: 'models', models: HELD, advertise: proxy.address };
  const worker = await deployment.addWorker({ id: 'i-model1', ...options });
  proxy.target = worker.address;
  for (const id of ['i-portal1', 'i-portal2']) await deployment.addWorker({ id, service: 'portal' });
  for (const number of [1, 2, 3]) await deployment.startDaemon(`front-abdali-${number}`);
  await pause(4000);
  for (const model of HELD) ask(model);
  await pause(1000);
  if (isTroubled) {
    deployment.log('cut begins');
    proxy.cut();
  }
  ask(OTHERS[0]);
  await pause(CUT_MS);
  if (isTroubled) {
    proxy.heal();
    deployment.log('cut ends');
  }
  const orders = deployment.events.filter(({ kind }) => kind === 'order').length;
  const end = Date.now() + ASKED_MS;
  for (let index = 0; Date.now() < end && !hasEnded; index += 1) {
    ask(MODELS[index % MODELS.length]);
    await pause(250);
  }
  await pause(6000);
  const later = deployment.events.filter(({ kind }) => kind === 'order').length - orders;
  const starved = starvedModels();
  for (const [model, { times, served }] of asked)
    deployment.log('model', { model, asked: times.length, served });
  console.log(`${later} orders after the cut; never served: ${starved.join(' ') || 'none'}`);
  if (asked.get('m0').served === 0) return 2;
  return starved.length > 1 + MODELS.length / 10 ? 1 : 0;
}

const limit = setTimeout(() => void finish(2), 110_000);

async function finish(code) {
  hasEnded = true;
  clearTimeout(limit);
  proxy.close();
  await deployment.stop();
  process.exit(code);
}

try {
  await finish(await play());
} catch (error) {
  console.error(error);
  await finish(2);
}
