import { expect } from 'chai';
import { MARK_LIFETIME_MS, TRIAL_LIFETIME_MS, type RequestQuarantine } from '../src/index.js';
import { QuarantineDeployment } from './quarantine-deployment.js';

const CONTENT = 'crashes';
/** Another content that crashes processes. */
const CULPRIT = 'culprit';
const DAEMONS = 4;
/** Time from the start of a run until the process crashes, in milliseconds. */
const CRASH_AFTER_MS = 50;
/** Number of times that a content may be sent once processes have ended under three of its attempts. */
const MAX_LATE_SENDS = 3;
const ENDS_BEFORE_LATE = 3;
const neverAborted = new AbortController().signal;

/** Callers that send attempts of one content through several daemons at the same moment. */
class ConcurrentCallers {
  readonly deployment = new QuarantineDeployment();
  /** Time of each send, and of each attempt that ended with its process. */
  readonly sends: number[] = [];
  readonly ends: number[] = [];
  refused = 0;
  private worker = 1;

  constructor() {
    for (let index = 0; index < DAEMONS; index += 1) this.deployment.addDaemon();
  }

  get now(): number {
    return this.deployment.world.now;
  }

  /** Sends one attempt through each of `count` daemons, as requests that waited for the same load do. */
  async sendTogether(count: number): Promise<void> {
    const worker = `w${String(this.worker)}`;
    this.worker += 1;
    const attempts = this.deployment.daemons
      .slice(0, count)
      .map((daemon, index) => this.attempt(daemon, () => worker, `${worker}-${String(index)}`));
    await this.deployment.advance(5000);
    await Promise.all(attempts);
  }

  /** Sends one attempt and kills its daemon as the process ends, so that nobody sees the answer break off. */
  async sendAndKill(): Promise<void> {
    const [daemon] = this.deployment.daemons;
    if (daemon === undefined) return;
    const worker = `w${String(this.worker)}`;
    this.worker += 1;
    const attempt = this.attempt(daemon, () => worker, worker);
    await this.deployment.advance(CRASH_AFTER_MS - 1);
    this.deployment.replace(daemon);
    await this.deployment.advance(TRIAL_LIFETIME_MS + 1000);
    await attempt;
  }

  /** Sends attempts together to a process that a proven culprit ends with them. */
  async sendBesideCulprit(count: number): Promise<void> {
    const { deployment } = this;
    const worker = `w${String(this.worker)}`;
    const culpritSentAt = this.now;
    await this.sendTogether(count);
    for (const daemon of deployment.daemons)
      deployment.breakOff(daemon, CULPRIT, worker, culpritSentAt, `${worker}-c`);
    await deployment.advance(5000);
  }

  /** Ends processes under the culprit alone, until it is refused. */
  async proveCulprit(): Promise<void> {
    const { deployment } = this;
    for (const [index, daemon] of deployment.daemons.entries())
      await deployment.crashUnder(daemon, CULPRIT, `culprit-${String(index)}`);
    expect(deployment.records.has(CULPRIT)).to.equal(true);
  }

  /** Sends one attempt as a request does; a process that has ended is replaced by the next one. */
  private async attempt(daemon: RequestQuarantine, choose: () => string, requestId: string): Promise<void> {
    for (;;) {
      const slot = await daemon.acquireSlot(CONTENT, neverAborted);
      try {
        if (daemon.verdictOf(CONTENT) !== undefined) break;
        const chosen = choose();
        const worker = this.deployment.ended.has(chosen) ? `${chosen}-next` : chosen;
        const admission = await daemon.admit(CONTENT, worker);
        if (admission.kind === 'occupied') continue;
        if (admission.kind !== 'admitted') break;
        try {
          await this.run(daemon, worker, requestId);
          return;
        } finally {
          admission.end();
        }
      } finally {
        slot.release();
      }
    }
    this.refused += 1;
  }

  private async run(daemon: RequestQuarantine, worker: string, requestId: string): Promise<void> {
    const sentAt = this.now;
    this.sends.push(sentAt);
    await new Promise<void>((resolve) => {
      this.deployment.world.schedule(CRASH_AFTER_MS, resolve);
    });
    this.deployment.ended.add(worker);
    this.ends.push(this.now);
    this.deployment.breakOff(daemon, CONTENT, worker, sentAt, requestId);
  }

  /** Number of sends after the process of the third attempt ended. */
  get lateSends(): number {
    const third = this.ends[ENDS_BEFORE_LATE - 1] ?? Infinity;
    return this.sends.filter((at) => at > third).length;
  }
}

/** Names of the stored records of trials. */
function trialsIn({ entries }: QuarantineDeployment): string[] {
  return [...entries].filter(([, entry]) => 'trial' in entry).map(([name]) => name);
}

// Guards against a content that several daemons send to the same process at once, again and again: each attempt counts as one
// that ended a process, and processes alone reach the number for a verdict too late.
describe('attempts of one content at several daemons at once', () => {
  for (const [name, batches] of [
    ['four of them each time', [4, 4, 4, 4]],
    ['one, and then four each time', [1, 4, 4, 4]],
    ['two each time', [2, 2, 2, 2, 2]],
    ['three, and then two each time', [3, 2, 2, 2, 2]],
  ] as const) {
    it(`are sent at most three times more after three of them ended processes: ${name}`, async () => {
      const callers = new ConcurrentCallers();
      for (const count of batches) await callers.sendTogether(count);
      expect(callers.lateSends).to.be.at.most(MAX_LATE_SENDS);
      expect(callers.deployment.records.has(CONTENT)).to.equal(true);
    });
  }

  // Guards against a second culprit that is sent freely, as all its processes count as ended by the first one.
  it('are sent at most three times more after three of them ended processes that another content ended as well', async () => {
    const callers = new ConcurrentCallers();
    await callers.sendBesideCulprit(3);
    await callers.sendBesideCulprit(1);
    await callers.proveCulprit();
    await callers.sendTogether(4);
    await callers.sendTogether(4);
    expect(callers.lateSends).to.be.at.most(MAX_LATE_SENDS);
  });

  // Guards against a permission that is given out again because the daemon that had it was killed with its process.
  it('are sent at most three times more when the daemon of each further attempt is killed', async () => {
    const callers = new ConcurrentCallers();
    await callers.sendTogether(3);
    for (let attempt = 0; attempt < 6; attempt += 1) await callers.sendAndKill();
    expect(callers.lateSends).to.be.at.most(MAX_LATE_SENDS);
    expect(callers.refused).to.be.above(0);
    // Refused at once until the first of the three records expires.
    const [daemon] = callers.deployment.daemons as [RequestQuarantine];
    expect(daemon.trialDelayMs(CONTENT)).to.be.within(MARK_LIFETIME_MS / 2, MARK_LIFETIME_MS);
  });

  it('may run again once the verdict on them is lifted, whatever trials they had', async () => {
    const callers = new ConcurrentCallers();
    for (let round = 0; round < 4; round += 1) await callers.sendTogether(2);
    const { deployment } = callers;
    expect(deployment.records.has(CONTENT)).to.equal(true);
    expect(trialsIn(deployment)).not.to.deep.equal([]);
    deployment.lift(CONTENT);
    await deployment.advance(1000);
    expect(trialsIn(deployment)).to.deep.equal([]);
  });

  it('leave no record of failed trials once one of them has been served', async () => {
    const callers = new ConcurrentCallers();
    await callers.sendTogether(3);
    await callers.sendAndKill();
    const { deployment } = callers;
    const [daemon] = deployment.daemons as [RequestQuarantine];
    const admission = await daemon.admit(CONTENT, 'w9');
    expect(trialsIn(deployment)).to.have.length(2);
    daemon.noteServed(CONTENT);
    if (admission.kind === 'admitted') admission.end();
    await deployment.advance(1000);
    expect(trialsIn(deployment)).to.deep.equal([]);
  });

  // Guards against attempts that wait for a connection or a permit while processes end under others of their content.
  it('that were admitted before two of them ended processes are not sent afterwards', async () => {
    const callers = new ConcurrentCallers();
    const [daemon] = callers.deployment.daemons as [RequestQuarantine];
    const admission = await daemon.admit(CONTENT, 'w9');
    expect(daemon.allowsSend(CONTENT, admission)).to.equal(true);
    await callers.sendTogether(2);
    expect(daemon.allowsSend(CONTENT, admission)).to.equal(false);
    expect(daemon.allowsSend('other', admission)).to.equal(true);
  });

  it('run one after the other, and all once one of them has been served', async () => {
    const callers = new ConcurrentCallers();
    await callers.sendTogether(2);
    const { deployment } = callers;
    const served: number[] = [];
    const attempts = deployment.daemons.map(async (daemon) => {
      for (;;) {
        const admission = await daemon.admit(CONTENT, 'w9');
        if (admission.kind === 'occupied') continue;
        expect(admission.kind).to.equal('admitted');
        await new Promise<void>((resolve) => deployment.world.schedule(300, resolve));
        daemon.noteServed(CONTENT);
        served.push(callers.now);
        if (admission.kind === 'admitted') admission.end();
        return;
      }
    });
    const startedAt = callers.now;
    await deployment.advance(5000);
    await Promise.all(attempts);
    const [first = 0, ...others] = served;
    expect(served).to.have.length(DAEMONS);
    expect(first - startedAt).to.be.at.most(400);
    for (const at of others) expect(at).to.be.within(first + 300, first + 1200);
  });
});
