/** Assembles the parts of a daemon that handle requests. */
import {
  RunTimes,
  type BackendDirectory,
  type LoadTracker,
  type ServiceDefinition,
  type WorkerPaces,
} from '@woodbarrow/backends';
import type { CoordinatorDirectory, Member } from '@woodbarrow/exchange';
import {
  ConnectionShare,
  DispatchQueue,
  Forwarder,
  PlainSelector,
  ReplicaSelector,
  RetryBudget,
  SlotShare,
  type AdmissionControl,
  type BackendHealth,
  type ConfigurationHolder,
  type PromptAffinity,
  type RequestJournal,
  type StreamOrigins,
} from '@woodbarrow/forwarding';
import type { CallFailures, EventLog } from '@woodbarrow/observability';
import type { PeerNetwork } from '@woodbarrow/peering';
import type { LoadQuarantine, RequestQuarantine } from '@woodbarrow/quarantine';
import type { QuotaGate } from '@woodbarrow/quota';
import { ShareLoanService } from '@woodbarrow/quota';
import { DemandRouter } from '@woodbarrow/residency';
import type { BackendNoticeService } from './backend-notice-service.js';
import type { BackendAccess } from './backend-access.js';
import type { ServingPorts } from './ports.js';
import { createRetryAllowanceGate } from './quota-assembly.js';
import type { ServingSettings } from './serving-settings.js';
import { createUnreadAnswers } from './unread-bound.js';

/** Parts of the daemon that handling a request needs. */
export interface ForwarderParts {
  readonly settings: ServingSettings;
  readonly ports: ServingPorts;
  readonly access: BackendAccess;
  readonly configuration: ConfigurationHolder;
  readonly directory: BackendDirectory;
  readonly loads: LoadTracker;
  readonly paces: WorkerPaces;
  readonly affinity: PromptAffinity;
  readonly coordinators: CoordinatorDirectory;
  readonly peers: PeerNetwork;
  /** Returns the daemons that take requests, this one included. */
  readonly members: () => readonly Member[];
  /** Whether this process is the first that ever joined the deployment. */
  readonly isFirstMember: () => boolean;
  readonly serviceOf: (name: string) => ServiceDefinition | undefined;
  /** Returns the health of the back ends of a service. */
  readonly healthOf: (service: string) => BackendHealth;
  readonly notices: BackendNoticeService;
  readonly origins: StreamOrigins;
  readonly quota: QuotaGate;
  readonly quarantine: RequestQuarantine;
  readonly loadQuarantine: LoadQuarantine;
  readonly journal: RequestJournal;
  readonly admission: AdmissionControl;
  /** Aborts when the daemon stops. */
  readonly stopWaiting: AbortSignal;
  readonly failures: CallFailures;
  readonly log: EventLog;
}

/** The entry point for client requests, and the limits over all daemons that it keeps to. */
export interface AssembledForwarder {
  readonly forwarder: Forwarder;
  readonly retries: RetryBudget;
  readonly loans: ShareLoanService;
}

/** Creates the entry point for client requests. */
export function assembleForwarder(parts: ForwarderParts): AssembledForwarder {
  const { settings, ports, access, directory, loads, paces, affinity, journal } = parts;
  const { clock, dialect, random } = ports;
  const { notices, permits } = parts.notices;
  const demands = createDemandRouter(parts);
  const slots = new SlotShare({
    daemon: settings.name,
    members: parts.members,
    directory,
    loads,
    declinesPerSecond: (backEndId) => notices.declinesPerSecond(backEndId),
    clock,
  });
  directory.events.on('removed', ({ id }) => {
    slots.forget(id);
    connections.forget(id);
  });
  const daemonCount = (): number => parts.members().length;
  const runTimes = new RunTimes();
  const forwarderRandom = random.fork();
  const dispatch = new DispatchQueue(directory, loads, journal, daemonCount, random.fork(), clock);
  const loans: ShareLoanService = new ShareLoanService({
    daemon: settings.name,
    members: parts.members,
    spareOf: (backEndId) => {
      const service = parts.serviceOf(directory.get(backEndId)?.service ?? '');
      return service === undefined ? 0 : connections.spareOf(service, backEndId);
    },
    onBorrowed: () => {
      connections.queue.wakeAvailable();
    },
    peers: parts.peers,
    failures: parts.failures,
    clock,
    random: random.fork(),
    log: parts.log,
  });
  loans.start();
  const connections: ConnectionShare = new ConnectionShare(loads, daemonCount, slots, loans, clock);
  const allowance = createRetryAllowanceGate(parts);
  const retries = new RetryBudget({ ...settings.repeats, allowance }, clock);
  const unread = createUnreadAnswers(settings, clock, parts.log);
  const context = {
    clock,
    client: access.client,
    unreachableRetryMs: (): number | undefined => access.unreachableRetryMs(),
    dialect,
    directory,
    loads,
    runTimes,
    paces,
    connections,
    dispatch,
    notices,
    permits,
    plain: new PlainSelector(directory, loads, connections, permits, settings.zone, paces),
    replicas: new ReplicaSelector(
      directory,
      loads,
      affinity,
      demands,
      connections,
      permits,
      settings.hasContendedCapacity ? dispatch : undefined,
      settings.zone,
      clock,
      paces,
      runTimes,
    ),
    budget: retries,
    quota: parts.quota,
    quarantine: parts.quarantine,
    journal,
    origins: parts.origins,
    admission: parts.admission,
    stopWaiting: parts.stopWaiting,
    ...(unread === undefined ? {} : { unread }),
    healthOf: parts.healthOf,
  };
  return { forwarder: new Forwarder(context, parts.configuration, forwarderRandom), loans, retries };
}

function createDemandRouter(parts: ForwarderParts): DemandRouter {
  const { directory, coordinators, peers, failures, log, serviceOf, ports } = parts;
  const { clock } = ports;
  const quarantine = parts.loadQuarantine;
  return new DemandRouter({ directory, coordinators, peers, quarantine, serviceOf, clock, failures, log });
}
