/**
 * CONFIG: the connections to a model worker are reset, and new ones too, for some seconds, while an order to it is due. From then on its
 * coordinator gives it no order, so that a route which is added later, for models that the worker does not hold yet, is not served.
 */
import { dirname, join } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Deployment, pause } from '../stand-ins-2/deployment.mjs';
import { Proxy } from '../stand-ins-2/proxy.mjs';

/** Length of the cut; `node_cut` lasts up to 7 s in the plans of the site. */
const CUT_MS = 3000;
/** From the end of the cut to the change of the configuration: times are calm after `contactMs`, 3,000. */
const CALM_MS = 5000;
/** From the change to the first request on its route; `configDeadlineMs` is 2,000. */
const IN_FORCE_MS = 4000;
/** Time for which all routes are asked for after the change. */
const ASKED_MS = 30_000;
/** The least number of requests on routes added later by which the rule judges. */
const LEAST_REQUESTS = 20;
const HELD = ['m0', 'm1'];
const FIRST_ORDERED = 'm2';
const ADDED = Array.from({ length: 8 }, (_, index) => `m${index + 3}`);
/** Room of the worker, in MB, in which all eleven models of 70 MB fit. */
const WEIGHTS_MB = 1000;

const isTroubled = process.env['TROUBLE'] !== '0';
const here = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment(join(here, 'record.txt'), ['abdali']);
const proxy = new Proxy();
/** Requests on the first routes and on the route that was added, and those of them that were served. */
const first = { asked: 0, served: 0 };
const added = { asked: 0, served: 0 };
let hasEnded = false;
/** Of three requests in a row, each goes to the same daemon, the next three to the next one. */
let requests = 0;

async function ask(path, model, of) {
  const daemons = [...deployment.daemons.values()];
  const daemon = daemons[Math.floor(requests / 3) % daemons.length];
  requests += 1;
  const modelHeaders = { Model: model, 'Token-Counts': '10,10', 'Prompt-Prefix': 'ab:5,cd:5' };
  const headers = model === undefined ? {} : modelHeaders;
  const { status } = await deployment.send(daemon, {
    path,
    headers,
    deadlineMs: 5000,
  });
  if (of === undefined) return;
  of.asked += 1;
  if (status === 200) of.served += 1;
}

const shareOf = ({ asked, served }) => (asked === 0 ? 0 : served / asked);

async function play() {
  await deployment.start([...HELD, FIRST_ORDERED, ...ADDED], { weightsMb: WEIGHTS_MB });
  await proxy.listen(deployment.nextIp());
  const options = { service: 'models', models: HELD, weightsMb: WEIGHTS_MB, advertise: proxy.address };
  const worker = await deployment.addWorker({ id: 'i-model1', ...options });
  proxy.target = worker.address;
  for (const id of ['i-portal1', 'i-portal2']) await deployment.addWorker({ id, service: 'portal' });
  for (const number of [1, 2, 3]) await deployment.startDaemon(`front-abdali-${number}`);
  await pause(4000);
  for (const model of HELD) void ask('/model/x', model);
  await pause(1000);
  if (isTroubled) {
    deployment.log('cut begins');
    proxy.cut();
  }
  void ask('/model/x', FIRST_ORDERED);
  await pause(CUT_MS);
  if (isTroubled) {
    proxy.heal();
    deployment.log('cut ends');
  }
  await pause(CALM_MS);
  const ordersBefore = deployment.events.filter(({ kind }) => kind === 'order').length;
  deployment.addRoute({
    name: 'added',
    routeKind: 'unsafe',
    service: 'models',
    maxAttempts: 1,
    timeoutMs: 9000,
  });
  await pause(IN_FORCE_MS);
  const asking = [];
  const end = Date.now() + ASKED_MS;
  for (let index = 0; Date.now() < end && !hasEnded; index += 1) {
    asking.push(ask('/safe/x', undefined, first));
    asking.push(ask('/model/x', HELD[index % HELD.length], first));
    asking.push(ask('/added/x', ADDED[index % ADDED.length], added));
    await pause(500);
  }
  await Promise.all(asking);
  const orders = deployment.events.filter(({ kind }) => kind === 'order').length - ordersBefore;
  deployment.log('first routes', first);
  deployment.log('route added later', added);
  console.log(
    `served: ${first.served} of ${first.asked} on the first routes, ${added.served} of ${added.asked} on the route added later; ` +
      `${orders} orders after the change`,
  );
  if (added.asked < LEAST_REQUESTS || shareOf(first) < 0.9) return 2;
  return shareOf(added) < shareOf(first) / 4 ? 1 : 0;
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
