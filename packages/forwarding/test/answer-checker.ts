/** Checks a client's answer against what the back ends sent: the bytes of one run, or joined runs where that is allowed. */
import { isStream, mayRunAgain, type RequestKind } from '../src/index.js';
import { STAMP_HEADER, type Run } from './arbitrary-workers.js';
import type { SimulatedExchange } from './simulated-exchange.js';

/** One request, its answer, and the runs that produced it. */
export interface ObservedRequest {
  readonly kind: RequestKind;
  /** Number of events in the whole stream. */
  readonly events: number;
  /** Last event that the client already had; 0 if none. */
  readonly resumeAfter: number;
  readonly maximumAttempts: number;
  readonly exchange: SimulatedExchange;
  readonly runs: readonly Run[];
  /** Back ends that may have run it, one for each run. */
  readonly ranOn: readonly string[];
}

/** Complete blocks of a stream, each with its blank line, and the bytes after the last one. */
interface Blocks {
  readonly whole: readonly string[];
  readonly rest: string;
}

const AFTER_BLANK_LINE = /(?<=\n\r?\n)/;
const ID_LINE = /^id: ?(.*?)\r?$/m;
const DATA_LINE = /^data:/m;
/** A line that is neither blank nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

/** Returns what is wrong with the answer; undefined if nothing is. */
export function findAnswerFault(observed: ObservedRequest): string | undefined {
  const { kind, exchange, runs } = observed;
  if (exchange.unexpectedWrites.length > 0)
    return `the client also received ${exchange.unexpectedWrites.join(', ')}`;
  if (exchange.ending === 'open') return 'the answer was left open';
  const tooManyRuns = findRunCountFault(observed);
  if (tooManyRuns !== undefined || exchange.status === 0) return tooManyRuns;
  const stamp = exchange.answerHeaders[exchange.answerHeaders.indexOf(STAMP_HEADER) + 1];
  if (!exchange.answerHeaders.includes(STAMP_HEADER)) return findOwnAnswerFault(exchange);
  const head = runs.find((run) => String(run.number) === stamp);
  if (head === undefined) return 'the answer has the stamp of no run';
  if (head.status !== exchange.status) return `the run answered ${String(head.status)}`;
  const isJoinable = kind === 'resumable_stream' && isSuccess(head) && head.isEventStream;
  return isJoinable ? findJoinedRunsFault(observed, head) : findSingleRunFault(observed, head);
}

function isSuccess({ status }: { status: number }): boolean {
  return status >= 200 && status < 300;
}

function findRunCountFault({ kind, ranOn, maximumAttempts }: ObservedRequest): string | undefined {
  if (!mayRunAgain(kind) && ranOn.length > 1) return `it may have run ${String(ranOn.length)} times`;
  return new Set(ranOn).size > maximumAttempts ? 'it may have run on too many back ends' : undefined;
}

function findOwnAnswerFault({ status, ending }: SimulatedExchange): string | undefined {
  return status >= 400 && ending === 'complete' ? undefined : 'a success that no run sent';
}

/** The bytes must be those of the run whose head the client has; all of them if the answer is complete. */
function findSingleRunFault({ kind, exchange }: ObservedRequest, run: Run): string | undefined {
  const { body, ending } = exchange;
  if (!run.bytes.startsWith(body)) return `bytes that differ from those of run ${String(run.number)}`;
  if (ending !== 'complete') return undefined;
  if (run.ending !== 'plain' || body.length < run.bytes.length) return 'complete although the run broke';
  const isIncomplete = FIELD_LINE.test(blocksOf(body).rest);
  if (isStream(kind) && isSuccess(run) && run.isEventStream && isIncomplete)
    return 'complete inside an event';
  return undefined;
}

/** The answer must consist of complete events of successive runs, each resumed where the previous one broke. */
function findJoinedRunsFault(observed: ObservedRequest, head: Run): string | undefined {
  const { exchange, runs, resumeAfter } = observed;
  const { whole, rest } = blocksOf(exchange.body);
  if (FIELD_LINE.test(rest)) return 'bytes of an incomplete event';
  const isNumbered = resumeAfter > 0 || whole.every((block) => ID_LINE.test(block) || !DATA_LINE.test(block));
  const fault = isNumbered ? findIdFault(whole, resumeAfter) : undefined;
  if (fault !== undefined) return fault;
  const contributingRuns = new Set<Run>();
  let run = head;
  let remaining = blocksOf(head.bytes).whole;
  for (const block of whole) {
    if (block !== remaining[0]) {
      const next = runs.find(
        (other) => other.number > run.number && blocksOf(other.bytes).whole[0] === block,
      );
      if (next === undefined) return `a block that follows in no run: ${JSON.stringify(block)}`;
      if (isWhole(run) && remaining.length === 0) return 'a run joined to a complete one';
      if (!isSuccess(next) || !next.isEventStream)
        return `joined to an answer of status ${String(next.status)}`;
      run = next;
      remaining = blocksOf(next.bytes).whole;
    }
    remaining = remaining.slice(1);
    if (DATA_LINE.test(block)) contributingRuns.add(run);
  }
  // A stream cannot be resumed after an event without an id.
  if (!isNumbered && contributingRuns.size > 1) return 'runs joined although not all events have ids';
  if (exchange.ending !== 'complete') return undefined;
  if (remaining.length === 0 && isWhole(run) && rest === blocksOf(run.bytes).rest) return undefined;
  const isAtEnd = runs.some(
    (other) => other.number > run.number && !DATA_LINE.test(other.bytes) && isWhole(other),
  );
  return isAtEnd ? undefined : `complete although run ${String(run.number)} was not`;
}

/** Every event must have an id, increasing by one from the event that the client already had. */
function findIdFault(blocks: readonly string[], resumeAfter: number): string | undefined {
  let last = resumeAfter;
  for (const block of blocks) {
    const id = ID_LINE.exec(block)?.[1];
    if (id === undefined && !DATA_LINE.test(block)) continue;
    if (id !== String(last + 1)) return `event ${id ?? 'without id'} after event ${String(last)}`;
    last += 1;
  }
  return undefined;
}

/** Whether a run is complete: its process survived, and the stream ended regularly and between events. */
function isWhole(run: Run): boolean {
  const isStreamAnswer = isSuccess(run) && run.isEventStream;
  return isStreamAnswer && run.ending === 'plain' && !FIELD_LINE.test(blocksOf(run.bytes).rest);
}

function blocksOf(text: string): Blocks {
  const whole = text.split(AFTER_BLANK_LINE);
  const rest = /\n\r?\n$/.test(whole.at(-1) ?? '') ? '' : (whole.pop() ?? '');
  return { whole, rest };
}
