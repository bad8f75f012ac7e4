/** Load quarantines for tests, which probe simulated workers. */
import type { BackEnd, BackendDirectory } from '@woodbarrow/backends';
import { silentLog } from '@woodbarrow/observability';
import {
  LoadQuarantine,
  RequestQuarantine,
  type ProbeResult,
  type QuarantineStore,
} from '@woodbarrow/quarantine';
import { Random, type Clock } from '@woodbarrow/runtime';
import type { SimulatedWorker } from './simulated-workers.js';

/** The quarantine state of one daemon. */
export interface DaemonQuarantine {
  readonly contents: RequestQuarantine;
  readonly loads: LoadQuarantine;
}

/** A store that accepts every record and stores none. */
const DISCARDING_STORE: QuarantineStore = {
  create: () => Promise.resolve(),
  claim: () => Promise.resolve(true),
  remove: () => Promise.resolve(),
};

/** Creates a daemon's quarantine. @param workers Workers that can be probed; any other does not answer. */
export function daemonQuarantine(
  clock: Clock,
  directory: BackendDirectory,
  workers: ReadonlyMap<string, SimulatedWorker> = new Map(),
  store: QuarantineStore = DISCARDING_STORE,
): DaemonQuarantine {
  const contents = new RequestQuarantine({
    daemon: 'daemon',
    probe: { probe: (backEnd) => Promise.resolve(processAnswer(workers, backEnd)) },
    store,
    removesRecord: () => true,
    clock,
    random: new Random(7),
    log: silentLog,
  });
  return { contents, loads: new LoadQuarantine({ contents, directory, clock, log: silentLog }) };
}

function processAnswer(workers: ReadonlyMap<string, SimulatedWorker>, { id }: BackEnd): ProbeResult {
  const worker = workers.get(id);
  if (worker === undefined) return 'unknown';
  if (!worker.hasExited) return 'running';
  return worker.isReplaced ? 'replaced' : 'refused';
}
