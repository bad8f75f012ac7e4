import fc from 'fast-check';
import { isStream, type RequestKind } from '../src/index.js';
import { findAnswerFault, type ObservedRequest } from './answer-checker.js';
import { PlannedSends, runPlans, type RunPlan } from './arbitrary-workers.js';
import { ENGINE } from './engines.js';
import { PROPERTY_TIMEOUT_MS, propertyParameters } from './property-parameters.js';
import { ForwardingWorld } from './simulated-exchange.js';

/** One request, its back ends and its client. */
interface Scenario {
  readonly kind: RequestKind;
  readonly events: number;
  /** Last event that the client already has, modulo the number of events; 0 if none. */
  readonly resumeAfter: number;
  readonly backEnds: number;
  readonly maximumAttempts: number;
  readonly timeoutMs: number;
  readonly plans: readonly RunPlan[];
  readonly leavesAfterMs: number | undefined;
  /** Time that the client needs to read each chunk, in milliseconds. */
  readonly drainMs: number;
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  kind: fc.constantFrom('resumable_stream', 'resumable_stream', 'stream', 'repeatable', 'once'),
  events: fc.integer({ min: 1, max: 40 }),
  resumeAfter: fc.oneof(fc.constant(0), fc.nat(40)),
  backEnds: fc.integer({ min: 2, max: 4 }),
  maximumAttempts: fc.constantFrom(2, 3, 4, 1),
  timeoutMs: fc.constantFrom(15_000, 15_000, 15_000, 600),
  plans: runPlans,
  leavesAfterMs: fc.oneof(
    { weight: 5, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: fc.nat(700) },
  ),
  drainMs: fc.constantFrom(0, 0, 0, 20),
});

async function runScenario(situation: Scenario): Promise<ObservedRequest> {
  const { kind, events, maximumAttempts, timeoutMs, drainMs } = situation;
  const resumeAfter = situation.resumeAfter % (events + 1);
  const route = { kind, maximumAttempts, timeoutMs, targetGapMs: 150, clientGapMs: 2000 };
  const world = new ForwardingWorld([route], ENGINE);
  const sends = new PlannedSends(situation.plans, events, isStream(kind));
  world.probe = ({ address }) => (sends.killed.has(address) ? 'refused' : 'running');
  for (let index = 0; index < situation.backEnds; index += 1) {
    world.add(`b${String(index)}`, (call) => sends.answer(call, world), ['m']);
  }
  const headers = { model: 'm', ...(resumeAfter === 0 ? {} : { resume: String(resumeAfter) }) };
  const exchange = await world.ask(headers, '/r0/', {
    leavesAfterMs: situation.leavesAfterMs,
    drain: () => (drainMs === 0 ? Promise.resolve() : world.wait(drainMs)),
  });
  const { runs, ranOn } = sends;
  return { kind, events, resumeAfter, maximumAttempts, exchange, runs, ranOn };
}

describe('Forwarder with arbitrary back ends', () => {
  it('delivers each event once and in order, and completes an answer only if it has all data', async () => {
    const property = fc.asyncProperty(scenarios, async (situation) => {
      const played = await runScenario(situation);
      const fault = findAnswerFault(played);
      if (fault !== undefined)
        throw new Error(`${fault}; the client has ${JSON.stringify(played.exchange.body)}`);
    });
    await fc.assert(property, propertyParameters());
  }).timeout(PROPERTY_TIMEOUT_MS);
});
