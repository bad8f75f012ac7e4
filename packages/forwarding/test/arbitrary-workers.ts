/** Back ends with generated, mostly faulty behaviour, and a record of what each of them sent. */
import { Readable } from 'node:stream';
import fc from 'fast-check';
import { HttpNotSentError, type BackendResponse, type BackendCall } from '@woodbarrow/runtime';
import type { ForwardingWorld } from './simulated-exchange.js';

/** Event ids of a run: where a resumed run begins, or which fault its ids have. */
export type EventIdSequence =
  | 'next'
  | 'anew'
  | 'skipped'
  | 'gone_back'
  | 'repeated'
  | 'nameless'
  | 'none'
  | 'no_ids'
  | 'back_within'
  | 'twice_within';

/** Text format of the events of a run. */
export interface EventLayout {
  readonly lineEnding: '\n' | '\r\n';
  readonly idLine: 'id: ' | 'id:';
  /** Whether the id comes after the data. */
  readonly idLast: boolean;
  readonly comments: 'none' | 'within' | 'between';
}

/** How the bytes of an answer are delivered. */
export interface Delivery {
  /** Where the body is cut, modulo the number of bytes or events; the whole body is sent if absent. */
  readonly cut: { readonly behind: 'byte' | 'event'; readonly count: number } | undefined;
  readonly ending: 'plain' | 'killed' | 'broken' | 'stalled';
  /** Whether the end of the connection ends the body, so that a killed process looks like a regular end. */
  readonly endsWithConnection: boolean;
  /** Sizes of the chunks in bytes, used in rotation. */
  readonly chunkSizes: readonly number[];
  /** Pause before one of the chunks. */
  readonly pause: { readonly beforeChunk: number; readonly ms: number } | undefined;
  /** Delay of the head, in milliseconds. */
  readonly headMs: number;
}

/** Ways in which a send gets no answer to the request. */
type NoAnswer = 'unreachable' | 'declined' | 'reset' | 'silent';

/** Behaviour of a back end for one send. */
export type RunPlan =
  | { readonly kind: NoAnswer }
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly contentType: string;
      readonly idSequence: EventIdSequence;
      readonly layout: EventLayout;
      /** Size of an answer that is not a stream, in bytes. */
      readonly size: number;
      readonly delivery: Delivery;
    };

type AnswerPlan = Extract<RunPlan, { readonly kind: 'answer' }>;

/** A run that answered, with all bytes that it sends if read to the end. */
export interface Run {
  readonly number: number;
  readonly status: number;
  readonly isEventStream: boolean;
  /** Event after which it was asked to resume; 0 for the beginning. */
  readonly after: number;
  readonly bytes: string;
  readonly ending: Delivery['ending'];
}

/** Header with the number of the run that began the answer. */
export const STAMP_HEADER = 'Stamp';
const EVENT_STREAM = 'text/event-stream';
/** Body sizes in bytes around the limit up to which answers are buffered. */
const LARGE_BODY_BYTES = { min: 60_000, max: 140_000 };

/** Generates the usual value in three of four cases. */
function mostly<Value>(usual: Value, ...others: Value[]): fc.Arbitrary<Value> {
  return fc.oneof(
    { weight: 3, arbitrary: fc.constant(usual) },
    { weight: 1, arbitrary: fc.constantFrom(...others) },
  );
}

const layouts: fc.Arbitrary<EventLayout> = fc.record({
  lineEnding: fc.constantFrom('\n', '\r\n'),
  idLine: fc.constantFrom('id: ', 'id:'),
  idLast: fc.boolean(),
  comments: fc.constantFrom('none', 'within', 'between'),
});

const deliveries: fc.Arbitrary<Delivery> = fc.record({
  cut: fc.option(
    fc.record({ behind: fc.constantFrom('event', 'byte'), count: fc.nat(LARGE_BODY_BYTES.max) }),
    {
      nil: undefined,
      freq: 2,
    },
  ),
  ending: fc.constantFrom('plain', 'plain', 'broken', 'broken', 'killed', 'stalled'),
  endsWithConnection: fc.boolean(),
  chunkSizes: fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 4 }),
  pause: fc.option(fc.record({ beforeChunk: fc.nat(6), ms: fc.constantFrom(1, 30, 200, 400, 900, 2500) }), {
    nil: undefined,
    freq: 2,
  }),
  headMs: fc.constantFrom(0, 0, 5, 500),
});

const answers: fc.Arbitrary<RunPlan> = fc.record({
  kind: fc.constant('answer' as const),
  status: mostly(200, 201, 400, 404, 500),
  contentType: mostly(EVENT_STREAM, 'Text/Event-Stream; charset=utf-8', 'text/plain'),
  idSequence: mostly<EventIdSequence>(
    'next',
    'anew',
    'skipped',
    'gone_back',
    'repeated',
    'nameless',
    'none',
    'no_ids',
    'back_within',
    'twice_within',
  ),
  layout: layouts,
  size: fc.oneof({ withCrossShrink: true }, fc.nat(200), fc.integer(LARGE_BODY_BYTES)),
  delivery: deliveries,
});

/** Behaviour of back ends for the sends of one request, in the order of the sends. */
export const runPlans: fc.Arbitrary<readonly RunPlan[]> = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: answers },
    {
      weight: 1,
      arbitrary: fc.constantFrom('unreachable', 'declined', 'reset', 'silent').map((kind) => ({ kind })),
    },
  ),
  { minLength: 1, maxLength: 6 },
);

/** Answers the sends of one request: each follows the next plan; further sends are declined. */
export class PlannedSends {
  /** Runs that answered, in the order of the sends. */
  readonly runs: Run[] = [];
  /** Back ends that may have run the request. */
  readonly ranOn: string[] = [];
  /** Back ends whose process was killed. */
  readonly killed = new Set<string>();
  private sends = 0;

  /** @param events Number of events in the stream. @param isStream Whether successes are event streams. */
  constructor(
    private readonly plans: readonly RunPlan[],
    private readonly events: number,
    private readonly isStream: boolean,
  ) {}

  /** Answers the next send. */
  async answer(call: BackendCall, world: ForwardingWorld): Promise<BackendResponse> {
    const plan = this.plans[this.sends] ?? { kind: 'declined' };
    this.sends += 1;
    if (plan.kind !== 'unreachable' && plan.kind !== 'declined') this.ranOn.push(call.address);
    if (plan.kind !== 'answer') return failWithoutAnswer(plan.kind);
    const run = this.begin(plan, Number(call.headers[call.headers.indexOf('resume') + 1]));
    if (plan.delivery.headMs > 0) await world.wait(plan.delivery.headMs);
    const headers = ['Content-Type', plan.contentType, STAMP_HEADER, String(run.number)];
    const body = this.deliver(run, call, plan.delivery, world);
    return { ...toAnswer(plan.status, headers, body), endsWithConnection: plan.delivery.endsWithConnection };
  }

  private async *deliver(
    run: Run,
    { signal, address }: BackendCall,
    delivery: Delivery,
    world: ForwardingWorld,
  ): AsyncGenerator<Uint8Array> {
    for await (const piece of piecesOf(run, delivery, world)) {
      if (signal.aborted) throw new Error('given up');
      yield piece;
    }
    const { ending, endsWithConnection } = delivery;
    if (ending === 'stalled') await untilAborted(signal);
    if (ending === 'killed') this.killed.add(address);
    const closesRegularly = ending === 'plain' || (ending === 'killed' && endsWithConnection);
    if (!closesRegularly) throw new Error('broken off');
  }

  private begin(plan: AnswerPlan, after: number): Run {
    const number = this.sends;
    const isEventStream = plan.contentType.toLowerCase().startsWith(EVENT_STREAM);
    const isSuccess = plan.status < 300;
    const whole =
      this.isStream && isSuccess
        ? eventsOf(plan, number, after, this.events)
        : `run ${String(number)} ${String(plan.status)} `.padEnd(plan.size, '.');
    const { cut, ending } = plan.delivery;
    const bytes = whole.slice(0, cutPosition(whole, cut));
    const run = { number, status: plan.status, isEventStream, after, bytes, ending };
    this.runs.push(run);
    return run;
  }
}

function cutPosition(whole: string, cut: Delivery['cut']): number {
  if (cut === undefined) return whole.length;
  if (cut.behind === 'byte') return cut.count % (whole.length + 1);
  const ends = [...whole.matchAll(/\r?\n\r?\n/g)].map(({ index, 0: lineEnds }) => index + lineEnds.length);
  return [0, ...ends][cut.count % (ends.length + 1)] ?? 0;
}

function failWithoutAnswer(kind: NoAnswer): Promise<BackendResponse> {
  switch (kind) {
    case 'unreachable':
      return Promise.reject(new HttpNotSentError('no such back end'));
    case 'declined':
      return Promise.resolve(toAnswer(503, [], Readable.from([])));
    case 'reset':
      return Promise.reject(new Error('reset'));
    case 'silent':
      return new Promise(() => undefined);
  }
}

function eventsOf(plan: AnswerPlan, run: number, after: number, last: number): string {
  const { idSequence } = plan;
  const isNameless = (index: number): boolean =>
    idSequence === 'no_ids' || (idSequence === 'nameless' && after > 0 && index === 0);
  return idsOf(idSequence, after, last)
    .map((id, index) => eventText(plan.layout, run, id, isNameless(index)))
    .join('');
}

function idsOf(course: EventIdSequence, after: number, last: number): number[] {
  const ids: number[] = [];
  for (let id = firstIdOf(course, after, last); id <= last; id += 1) ids.push(id);
  const [first] = ids;
  if (first !== undefined && course === 'back_within') ids.splice(2, 0, first);
  if (first !== undefined && course === 'twice_within') ids.splice(1, 0, first);
  return ids;
}

/** Id of the first event of a run; only resumed runs can begin at a wrong one. */
function firstIdOf(course: EventIdSequence, after: number, last: number): number {
  const next = after + 1;
  if (after === 0) return next;
  switch (course) {
    case 'anew':
      return 1;
    case 'skipped':
      return next + 1;
    case 'gone_back':
      return Math.max(1, after - 1);
    case 'repeated':
      return after;
    case 'none':
      return last + 1;
    default:
      return next;
  }
}

/** Text of an event; it contains the run number, so that blocks of different runs differ. */
function eventText(layout: EventLayout, run: number, id: number, isNameless: boolean): string {
  const { lineEnding, comments } = layout;
  const name = `run ${String(run)} piece ${String(id)}`;
  const idLines = isNameless ? [] : [`${layout.idLine}${String(id)}`];
  const dataLines = [`data: ${name}`, 'data: id: 1'];
  const lines = layout.idLast ? [...dataLines, ...idLines] : [...idLines, ...dataLines];
  const comment = `: before ${name}`;
  if (comments === 'within') lines.unshift(comment);
  if (comments === 'between') lines.unshift(comment, '');
  return [...lines, '', ''].join(lineEnding);
}

async function* piecesOf(
  run: Run,
  { chunkSizes, pause }: Delivery,
  world: ForwardingWorld,
): AsyncGenerator<Uint8Array> {
  const bytes = Buffer.from(run.bytes);
  // Large answers are sent in few chunks.
  const scale = Math.max(1, Math.floor(bytes.byteLength / 2000));
  let position = 0;
  for (let count = 0; position < bytes.byteLength; count += 1) {
    if (pause?.beforeChunk === count) await world.wait(pause.ms);
    const end = position + (chunkSizes[count % chunkSizes.length] ?? 1) * scale;
    yield bytes.subarray(position, end);
    position = end;
  }
}

function untilAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
}

function toAnswer(
  status: number,
  rawHeaders: readonly string[],
  body: AsyncIterable<Uint8Array>,
): BackendResponse {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers[(rawHeaders[index] ?? '').toLowerCase()] = rawHeaders[index + 1] ?? '';
  }
  return { status, headers, rawHeaders, body, endsWithConnection: false, discard: () => undefined };
}
