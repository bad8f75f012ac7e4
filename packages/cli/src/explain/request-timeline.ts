/** Collects the log lines of one request over all daemons and derives the cause of its outcome. */
import type { LogLine } from './log-line.js';

/** Log lines of a request with related decisions and the cause of its outcome. */
export interface RequestTimeline {
  readonly request: string;
  /** Log lines that name the request, sorted by the daemons' clocks. */
  readonly steps: readonly LogLine[];
  /** Observations and decisions of daemons about the request's model and back ends at that time. */
  readonly surroundings: readonly LogLine[];
  readonly cause: string;
}

/** Time before and after the request from which context is shown; allows for clock skew between daemons. */
const CONTEXT_WINDOW_MS = 5000;
/** Events that change the observed state of a model or a back end. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'back_end_seen',
  'back_end_changed',
  'back_end_gone',
  'demand_answered',
  'load_decided',
  'demand_refused',
  'load_failed',
  'order_answered',
  'worker_learnt',
  'lease_gained',
  'lease_lost',
  'lease_unconfirmed',
  'store_lost',
  'store_regained',
  'daemon_stopping',
]);
/** Number of latest context lines that are always retained while reading; up to twice as many may be held. */
const RETAINED_CONTEXT_LINES = 200_000;

/** Collects the log lines of one request and its context while logs are read. */
export class RequestTimelineCollector {
  private readonly steps: LogLine[] = [];
  private readonly contextLines: LogLine[] = [];

  constructor(private readonly request: string) {}

  /** Adds a line if it names the request or may be context. */
  add(line: LogLine): void {
    if (line.details['request'] === this.request) this.steps.push(line);
    else if (CONTEXT_EVENTS.has(line.event)) this.retainContextLine(line);
  }

  /** Returns the timeline, or undefined when no line names the request. */
  timeline(): RequestTimeline | undefined {
    const steps = [...this.steps].sort((left, right) => left.time - right.time);
    const [first] = steps;
    const last = steps[steps.length - 1];
    if (first === undefined || last === undefined) return undefined;
    const names = relatedNamesOf(steps);
    const surroundings = this.contextLines
      .filter(
        (line) => line.time >= first.time - CONTEXT_WINDOW_MS && line.time <= last.time + CONTEXT_WINDOW_MS,
      )
      .filter((line) => isRelated(line, names))
      .sort((left, right) => left.time - right.time);
    return { request: this.request, steps, surroundings, cause: causeOf(steps, surroundings) };
  }

  private retainContextLine(line: LogLine): void {
    this.contextLines.push(line);
    if (this.contextLines.length > RETAINED_CONTEXT_LINES * 2)
      this.contextLines.splice(0, RETAINED_CONTEXT_LINES);
  }
}

interface RelatedNames {
  readonly models: ReadonlySet<string>;
  readonly backEnds: ReadonlySet<string>;
  readonly daemons: ReadonlySet<string>;
}

function relatedNamesOf(steps: readonly LogLine[]): RelatedNames {
  const texts = (field: string): Set<string> =>
    new Set(steps.map((step) => step.details[field]).filter((value) => typeof value === 'string'));
  return {
    models: texts('model'),
    backEnds: texts('backEnd'),
    daemons: new Set(steps.map((step) => step.daemon)),
  };
}

function isRelated(line: LogLine, names: RelatedNames): boolean {
  const { model, backEnd, target } = line.details;
  if (typeof model === 'string' && names.models.has(model)) return true;
  if (typeof target === 'string' && names.models.has(target.split('/')[0] ?? '')) return true;
  if (typeof backEnd === 'string' && names.backEnds.has(backEnd)) return names.daemons.has(line.daemon);
  return model === undefined && backEnd === undefined && names.daemons.has(line.daemon);
}

function causeOf(steps: readonly LogLine[], surroundings: readonly LogLine[]): string {
  const last = steps[steps.length - 1] as LogLine;
  const lastStepOf = (event: string): LogLine | undefined =>
    [...steps].reverse().find((step) => step.event === event);
  const refused = lastStepOf('request_refused');
  const failed = lastStepOf('request_failed');
  const abandoned = lastStepOf('request_abandoned');
  const declined = lastStepOf('request_declined');
  if (refused !== undefined) return refusalCause(refused, surroundings);
  if (failed !== undefined) return failureCause(failed, declined);
  if (abandoned !== undefined) return abandonedCause(steps, surroundings);
  const answered = lastStepOf('request_answered');
  if (answered !== undefined) {
    return `Answered ${detailText(answered, 'status')} by ${detailText(answered, 'backEnd')} after ${detailText(answered, 'tookMs')} ms.`;
  }
  return `No end is logged; the last word is ${last.event} on ${last.daemon}. Lines may have been dropped, or the daemon ended.`;
}

function refusalCause(refused: LogLine, surroundings: readonly LogLine[]): string {
  const cause = detailText(refused, 'cause');
  const after = `refused as not run after ${detailText(refused, 'waitedMs')} ms`;
  if (cause === 'model_unavailable' || cause === 'model_too_late')
    return `The model was not resident; ${unavailableCause(surroundings)}: ${after}.`;
  if (cause === 'all_excluded')
    return `Every back end that could serve it had declined or could not be reached: ${after}.`;
  if (cause === 'no_backend') return `No back end of the service was known: ${after}.`;
  if (cause === 'this daemon stops') return `The daemon was stopping and had not sent it anywhere: ${after}.`;
  return `${cause}: ${after}.`;
}

/** Returns why a model was not made resident, from the coordinators' decisions or their responses. */
function unavailableCause(surroundings: readonly LogLine[]): string {
  const lastEventOf = (event: string): LogLine | undefined =>
    surroundings.filter((line) => line.event === event).pop();
  const refused = lastEventOf('demand_refused');
  if (refused?.details['readyMs'] !== undefined)
    return `in zone ${detailText(refused, 'zone')} it would have been resident in ${detailText(refused, 'readyMs')} ms, with ${detailText(refused, 'leftMs')} ms left`;
  if (refused !== undefined) return `in zone ${detailText(refused, 'zone')} no worker could make room for it`;
  const load = lastEventOf('load_decided');
  if (load !== undefined)
    return `in zone ${detailText(load, 'zone')} a load from ${detailText(load, 'source')} was to take ${detailText(load, 'readyMs')} ms`;
  const answered = lastEventOf('demand_answered');
  if (answered !== undefined)
    return `the coordinator of zone ${detailText(answered, 'zone')} (${detailText(answered, 'coordinator')}) said ${detailText(answered, 'reason')}`;
  return 'it was resident nowhere and no coordinator decided on a load';
}

function failureCause(failed: LogLine, declined: LogLine | undefined): string {
  const answer = detailText(failed, 'answer');
  const where =
    declined === undefined
      ? ''
      : ` Back end ${detailText(declined, 'backEnd')}: ${detailText(declined, 'verdict')}, ${detailText(declined, 'detail')}.`;
  if (answer === 'broken_off')
    return `The stream broke off (${detailText(failed, 'cause')}); the client saw it cut, not complete.${where}`;
  if (answer === 'backend_broken')
    return `It may have run: no whole answer came, and it must not run again.${where}`;
  if (answer === 'request_timeout')
    return `Time was up while a back end worked on it; it may have run.${where}`;
  return `${answer}: ${detailText(failed, 'cause')}.${where}`;
}

function abandonedCause(steps: readonly LogLine[], surroundings: readonly LogLine[]): string {
  const sent = steps.filter((step) => step.event === 'request_sent');
  const lastSent = sent[sent.length - 1];
  if (lastSent !== undefined) return `The client left while ${detailText(lastSent, 'backEnd')} worked on it.`;
  const load = surroundings.filter((line) => line.event === 'load_decided').pop();
  if (load === undefined) return 'The client left before any back end could take it.';
  return `The client left while its model was waited for: zone ${detailText(load, 'zone')}, load of ${detailText(load, 'readyMs')} ms.`;
}

function detailText(line: LogLine, field: string): string {
  const value = line.details[field];
  if (typeof value === 'string') return value;
  return value === undefined ? 'unknown' : JSON.stringify(value);
}
