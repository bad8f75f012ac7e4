/** Simulates the quarantines of several daemons, the processes that they probe, and the store. */
import { NO_NEARBY_COPIES, type BackEnd } from '@woodbarrow/backends';
import { silentLog } from '@woodbarrow/observability';
import { Random, SimulatedProcess, SimulatedWorld } from '@woodbarrow/runtime';
import {
  RequestQuarantine,
  isVerdict,
  type ProbeResult,
  type QuarantineEntry,
  type QuarantineRecord,
} from '../src/index.js';

/** Simulates a deployment as the quarantine observes it. */
export class QuarantineDeployment {
  readonly world = new SimulatedWorld();
  readonly daemons: RequestQuarantine[] = [];
  /** All stored records. */
  readonly entries = new Map<string, QuarantineEntry>();
  /** Processes that have ended. All others answer probes. */
  readonly ended = new Set<string>();
  /** Daemons that exchange no marks with others. */
  readonly partitioned = new Set<RequestQuarantine>();
  isStoreDown = false;
  /** Delay until published marks reach other daemons, in milliseconds. */
  publishLatencyMs = 300;
  /** Delay until daemons learn of a change of the store, in milliseconds. */
  storeLatencyMs = 0;
  private readonly clock = new SimulatedProcess(this.world, { name: 'scene', zone: 'a', region: 'r' });
  private started = 0;

  /** Stored verdicts. */
  get records(): ReadonlyMap<string, QuarantineRecord> {
    const verdicts = [...this.entries.values()].filter(isVerdict);
    return new Map(verdicts.map((record) => [record.content, record]));
  }

  /** Starts a daemon with the stored records. */
  addDaemon(): RequestQuarantine {
    this.started += 1;
    const process = new SimulatedProcess(this.world, {
      name: `d${String(this.started)}`,
      zone: 'a',
      region: 'r',
    });
    const daemon: RequestQuarantine = new RequestQuarantine({
      daemon: process.name,
      probe: { probe: (backEnd) => Promise.resolve(this.probeResultOf(backEnd)) },
      store: {
        create: (record) => {
          if (this.isStoreDown) return Promise.reject(new Error('store down'));
          if (!this.entries.has(record.content)) this.entries.set(record.content, record);
          this.notifyDaemons((each) => {
            each.handleRecordStored(record);
          });
          return Promise.resolve();
        },
        claim: (record) => {
          if (this.isStoreDown) return Promise.reject(new Error('store down'));
          if (this.entries.has(record.content)) return Promise.resolve(false);
          this.entries.set(record.content, record);
          this.notifyDaemons((each) => {
            each.handleRecordStored(record);
          });
          return Promise.resolve(true);
        },
        remove: (content) => {
          this.entries.delete(content);
          this.notifyDaemons((each) => {
            each.handleRecordRemoved(content);
          });
          return Promise.resolve();
        },
      },
      removesRecord: (): boolean => daemon === this.daemons[0],
      clock: process,
      random: new Random(this.started),
      log: silentLog,
    });
    daemon.onMarksChanged = () => {
      this.clock.schedule(this.publishLatencyMs, () => {
        this.publishFrom(daemon);
      });
    };
    daemon.handleRecordsListed([...this.entries.values()]);
    daemon.start();
    this.daemons.push(daemon);
    return daemon;
  }

  /** Sends the marks of a daemon to all connected daemons. */
  publishFrom(daemon: RequestQuarantine): void {
    if (this.partitioned.has(daemon) || !this.daemons.includes(daemon)) return;
    for (const other of this.daemons) {
      if (other !== daemon && !this.partitioned.has(other)) other.merge(daemon.entries());
    }
  }

  /** Restores the store from a backup; all daemons list its records. */
  restore(copy: ReadonlyMap<string, QuarantineEntry>): void {
    this.entries.clear();
    for (const [name, entry] of copy) this.entries.set(name, entry);
    for (const daemon of this.daemons) daemon.handleStoreRestored([...copy.values()]);
  }

  /** Lifts a verdict as an operator does. */
  lift(content: string): void {
    this.entries.delete(content);
    for (const daemon of this.daemons) daemon.handleRecordRemoved(content);
  }

  /** Kills all daemons. Only the store survives. */
  killAll(): void {
    for (const daemon of this.daemons.splice(0)) daemon.abort();
  }

  /** Kills one daemon and starts another one with the stored records. */
  replace(daemon: RequestQuarantine): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    daemon.abort();
    this.addDaemon();
  }

  /** Tells all daemons of a change of the store. */
  private notifyDaemons(tell: (daemon: RequestQuarantine) => void): void {
    if (this.storeLatencyMs === 0) this.daemons.forEach(tell);
    else
      this.clock.schedule(this.storeLatencyMs, () => {
        this.daemons.forEach(tell);
      });
  }

  /** Runs a content through a daemon and ends its process. */
  async crashUnder(daemon: RequestQuarantine, content: string, processId: string, ranMs = 50): Promise<void> {
    const sentAt = this.world.now;
    await this.advance(ranMs);
    this.ended.add(processId);
    this.breakOff(daemon, content, processId, sentAt);
    await this.advance(1000);
  }

  /** Breaks off a response. */
  breakOff(
    daemon: RequestQuarantine,
    content: string,
    processId: string,
    sentAt: number,
    requestId = 'r',
  ): void {
    const backEnd = backEndOf(processId);
    daemon.noteBroken({ content, requestId, route: 'route', backEnd, wasLeaving: false, sentAt });
  }

  async advance(durationMs: number): Promise<void> {
    await this.world.run(this.world.now + durationMs);
  }

  private probeResultOf({ id }: BackEnd): ProbeResult {
    return this.ended.has(id) ? 'refused' : 'running';
  }
}

export function backEndOf(id: string): BackEnd {
  return {
    id,
    name: id,
    service: 'service',
    address: id,
    zone: 'a',
    slots: 64,
    draining: false,
    models: [],
    nearby: NO_NEARBY_COPIES,
  };
}
