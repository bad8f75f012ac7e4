import { expect } from 'chai';
import fc from 'fast-check';
import {
  GONE_MS,
  JobDeployment,
  contentOf,
  keepersOf,
  type JobOptions,
  type Reply,
} from './job-deployment.js';

/** Time after the last fault within which a job has its end at each daemon, in milliseconds. */
const END_BOUND_MS = 30_000;
const POLL_INTERVAL_MS = 400;
const PROPERTY_RUNS = Number(process.env['PROPERTY_RUNS'] ?? 60);
const PROPERTY_SEED = Number(process.env['PROPERTY_SEED'] ?? 1);
const { PROPERTY_PATH } = process.env;
const PROPERTY_TIMEOUT_MS = 600_000;
/** Size of a marker with which an answer of four tokens exceeds the 64 KiB that the ledger stores of an answer. */
const LARGE_MARKER_LENGTH = 20_000;

/** A fault at one of the daemons concerned with a job. */
interface JobFault {
  readonly kind: 'kill' | 'pause' | 'cut' | 'drain';
  /** A keeper by its rank, the holder of the ledger, or another daemon. */
  readonly target: number | 'ledger' | 'other';
  /** Time of the fault after the submission, in milliseconds. */
  readonly atMs: number;
  /** Duration of the fault; the downtime of a killed or drained daemon. */
  readonly forMs: number;
}

interface JobCase {
  readonly faults: readonly JobFault[];
  readonly isLarge: boolean;
  readonly isCold: boolean;
  readonly hasOwnKey: boolean;
}

const moment = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 300 }) },
  { weight: 1, arbitrary: fc.integer({ min: 300, max: 12_000 }) },
);
const fault: fc.Arbitrary<JobFault> = fc.record({
  kind: fc.constantFrom('kill' as const, 'kill' as const, 'pause' as const, 'cut' as const, 'drain' as const),
  target: fc.constantFrom<JobFault['target']>(0, 0, 1, 2, 'ledger', 'other'),
  atMs: moment,
  forMs: fc.constantFrom(300, 3000, 12_000, GONE_MS),
});
const jobCase: fc.Arbitrary<JobCase> = fc.record({
  faults: fc.array(fault, { minLength: 1, maxLength: 4 }),
  isLarge: fc.boolean(),
  isCold: fc.boolean(),
  hasOwnKey: fc.boolean(),
});

/** Longest pause or cut of a case; longer ones are limited to it, so that all daemons are connected in the end. */
const MAX_INTERRUPTION_MS = 12_000;

class JobPlay {
  readonly test = new JobDeployment();
  /** Final results as callers saw them, by text. */
  private readonly ends = new Map<string, Reply>();
  private id = '';
  private lastFaultEndMs = 0;
  private readonly job: JobOptions;

  constructor(private readonly described: JobCase) {
    this.job = {
      marker: described.isLarge ? 'm'.repeat(LARGE_MARKER_LENGTH) : 'one',
      model: described.isCold ? 'cold-1' : 'contract-1',
      headers: described.hasOwnKey ? { 'idempotency-key': 'order-7', 'x-woodbarrow-key-age-ms': '0' } : {},
    };
  }

  async play(): Promise<void> {
    const { test } = this;
    await test.start();
    this.id = await test.submit('alpha-d1', this.job);
    for (const planned of this.described.faults) this.schedule(planned);
    const until = (): number => Math.max(this.lastFaultEndMs, test.now) + END_BOUND_MS;
    await test.advance(MAX_MOMENT_MS);
    for (const deadline = until(); test.now < deadline;) {
      this.poll();
      await test.advance(POLL_INTERVAL_MS);
    }
    await this.check();
  }

  private schedule({ kind, target, atMs, forMs }: JobFault): void {
    const { deployment } = this.test;
    deployment.world.schedule(atMs, () => {
      const daemon = this.daemonOf(target);
      if (daemon === undefined) return;
      const slot = deployment.slot(daemon);
      const interruptionMs = Math.min(forMs, MAX_INTERRUPTION_MS);
      this.lastFaultEndMs = Math.max(this.lastFaultEndMs, this.test.now + interruptionMs);
      if (kind === 'kill') deployment.killDaemon(daemon, forMs);
      else if (kind === 'pause') deployment.pauseDaemon(daemon, interruptionMs);
      else if (kind === 'drain') void deployment.drainDaemon(daemon, forMs);
      else {
        const heal = deployment.network.cut((from, to) => from === slot.process || to === slot.process);
        deployment.world.schedule(interruptionMs, heal);
      }
    });
  }

  private daemonOf(target: JobFault['target']): string | undefined {
    const { daemons } = this.test.deployment;
    const keepers = keepersOf(this.id);
    if (typeof target === 'number') return keepers[target];
    const slots = [...daemons.values()].filter(({ process }) => process.alive);
    if (target === 'ledger') return slots.find(({ daemon }) => daemon.isLedgerLeader)?.plan.id;
    return slots.find(({ plan }) => !keepers.includes(plan.id))?.plan.id;
  }

  /** Asks all living daemons without waiting for their answers. */
  private poll(): void {
    for (const { plan } of this.test.living()) {
      const path = `/v1/jobs/${encodeURIComponent(this.id)}/result`;
      this.test.begin(plan.id, { path }).then(
        (reply) => {
          if (isEnd(reply)) this.ends.set(reply.text, reply);
        },
        () => undefined,
      );
    }
  }

  private async check(): Promise<void> {
    const replies = await this.test.results(this.id);
    const described = [...replies].map(
      ([daemon, { status, text }]) => `${daemon}: ${String(status)} ${text.slice(0, 200)}`,
    );
    for (const reply of replies.values()) this.ends.set(reply.text, reply);
    const seen = [...this.ends.values()].map(({ status, text }) => `${String(status)} ${text.slice(0, 200)}`);
    expect(
      this.ends.size,
      `ends that callers saw:\n${seen.join('\n')}\nlast:\n${described.join('\n')}`,
    ).to.equal(1);
    const [end] = this.ends.values();
    if (end === undefined || !isEnd(end)) throw new Error(`no end:\n${described.join('\n')}`);
    this.checkTruth(end);
  }

  private checkTruth(end: Reply): void {
    const runs = this.test.runs(this.job.marker);
    expect(runs, 'runs').to.be.at.most(1);
    if (end.status === 200) {
      const body = JSON.parse(end.text) as { choices: { message: { content: string } }[] };
      expect(body.choices[0]?.message.content).to.equal(contentOf(this.job));
      return;
    }
    const { error } = JSON.parse(end.text) as { error: { code: string; ran: string } };
    expect(error.code).not.to.be.oneOf(['already_running', 'not_found']);
    if (error.ran === 'no') expect(runs, 'runs of a job that ended as not run').to.equal(0);
  }
}

/** Time after the submission by which all faults have begun, in milliseconds. */
const MAX_MOMENT_MS = 12_500;

/** Whether a reply is a final result; a refusal of the daemon that was asked is not. */
function isEnd({ status, text }: Reply): boolean {
  if (status === 202) return false;
  const { error } = JSON.parse(text) as { error?: { code: string } };
  return error?.code !== 'not_ready';
}

describe('jobs under faults', () => {
  // Guards against jobs that run twice, never end, or end differently at different daemons.
  it('run at most once and have one end at each daemon', async () => {
    await fc.assert(
      fc.asyncProperty(jobCase, (described) => new JobPlay(described).play()),
      {
        seed: PROPERTY_SEED,
        numRuns: PROPERTY_RUNS,
        // A counterexample takes seconds to play, so it is reported as found.
        endOnFailure: true,
        ...(PROPERTY_PATH === undefined ? {} : { path: PROPERTY_PATH }),
      },
    );
  }).timeout(PROPERTY_TIMEOUT_MS);

  // Guards against a daemon that has just joined and takes daemons it has not heard of for lost.
  it('are not reported as lost by a daemon that was cut off since its start', async () => {
    const cut = { kind: 'cut', target: 0, forMs: MAX_INTERRUPTION_MS } as const;
    await new JobPlay({
      faults: [
        { kind: 'kill', target: 0, atMs: 29, forMs: 300 },
        { ...cut, atMs: 282 },
        { ...cut, atMs: 6313 },
      ],
      isLarge: true,
      isCold: true,
      hasOwnKey: false,
    }).play();
  });
});
