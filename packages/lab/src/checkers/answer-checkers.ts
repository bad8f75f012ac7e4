/** Checkers of responses to callers: timely, complete, truthful, and no request run twice. */
import type { Attempt } from '../traffic/caller.js';
import { allowedWaitOf } from '../traffic/request-facts.js';
import type { CheckerContext, CheckerFactory } from './checker.js';

/** Tolerance for network and scheduling delays beyond the allowed wait. */
const ANSWER_TOLERANCE_MS = 250;

/**
 * Returns the time in milliseconds that a refused attempt may have spent running, in addition to its wait. Only an
 * unstreamed attempt that may have run counts; its failure is reported by the template's run limit at the latest.
 */
function maximumRunMs(attempt: Attempt, { deployment }: CheckerContext): number {
  const { request, ran } = attempt;
  if (request.streaming || attempt.outcome !== 'refused' || ran === 'no') return 0;
  const parameters = deployment.plan.tenants.find((tenant) => tenant.name === request.tenant)?.parameters;
  return (parameters?.limits.runSeconds ?? 0) * 1000;
}

/** Every request is served or refused within its allowed wait, and none stays without a response. */
export const answeredInWait: CheckerFactory = (context) => {
  const { deployment, traffic, report } = context;
  /** A paused process cannot respond, so deadlines extend to the end of the pause. */
  const pausedUntil = (origin: string): number => {
    const slot = [...deployment.daemons.values()].find(
      ({ plan }) => deployment.callerOrigin(plan.id) === origin,
    );
    return slot?.pausedUntilMs ?? 0;
  };
  return {
    onAttemptEnd: (attempt) => {
      // The caller can detect a closed connection, so it counts as a response.
      if (attempt.outcome === 'disconnected') return;
      // An unstreamed response arrives only after its run, so its wait is not observable and not checked.
      const startedAt = attempt.request.streaming ? attempt.answeredAtMs : undefined;
      const answeredAt = attempt.outcome === 'refused' ? attempt.answeredAtMs : startedAt;
      if (answeredAt === undefined) return;
      const deadline =
        attempt.sentAtMs + allowedWaitOf(attempt.request, deployment.plan) + maximumRunMs(attempt, context);
      if (answeredAt <= Math.max(deadline, pausedUntil(attempt.origin)) + ANSWER_TOLERANCE_MS) return;
      const late = Math.round(answeredAt - deadline);
      report(
        'answered-in-wait',
        `${attempt.request.marker} ${attempt.code ?? 'served'} ${String(late)} ms late`,
      );
    },
    onEnd: () => {
      for (const story of traffic.histories) {
        const open = story.attempts.find((attempt) => attempt.endedAtMs === undefined);
        if (open !== undefined)
          report('answered-in-wait', `${open.request.marker} was never answered by ${open.origin}`);
      }
    },
  };
};

/** Each caller receives the complete response to its own request. */
export const wholeAnswer: CheckerFactory = ({ report }) => ({
  onAttemptEnd: (attempt) => {
    if (attempt.outcome === 'corrupt')
      report('whole-answer', `${attempt.request.marker} got a wrong or partial answer`);
  },
});

/** A stream delivers each token once and in order, and ends as complete only after the last token. */
export const streamOrder: CheckerFactory = ({ report }) => ({
  onAttemptEnd: ({ request, streamFault }) => {
    if (streamFault !== undefined) report('stream-order', `${request.marker}: ${streamFault}`);
  },
});

/** No engine runs a request that was refused as not run. */
export const notRunMeansNotRun: CheckerFactory = ({ report }) => {
  const runs = new Set<string>();
  const refused = new Map<string, string>();
  const check = (requestId: string): void => {
    const marker = refused.get(requestId);
    if (marker !== undefined && runs.has(requestId))
      report('not-run-means-not-run', `${marker} (${requestId}) did run`);
  };
  return {
    onRun: (_worker, _marker, requestId) => {
      runs.add(requestId);
      check(requestId);
    },
    onAttemptEnd: (attempt) => {
      if (attempt.outcome !== 'refused' || attempt.ran !== 'no' || attempt.requestId === undefined) return;
      refused.set(attempt.requestId, attempt.request.marker);
      check(attempt.requestId);
    },
  };
};

/** A request with an idempotency key, or marked as not repeatable, runs at most once. */
export const atMostOnce: CheckerFactory = ({ traffic, report }) => {
  const runs = new Map<string, number>();
  const reported = new Set<string>();
  return {
    onRun: (_worker, marker) => {
      const count = (runs.get(marker) ?? 0) + 1;
      runs.set(marker, count);
      if (count < 2 || reported.has(marker)) return;
      const story = traffic.histories.find((candidate) => candidate.planned.request.marker === marker);
      const request = story?.planned.request;
      if (request === undefined || (request.idempotencyKey === undefined && !request.notRepeatable)) return;
      reported.add(marker);
      report('at-most-once', `${marker} ran ${String(count)} times`);
    },
  };
};

/** A planned stop of a daemon interrupts no request in progress. */
export const plannedStop: CheckerFactory = ({ deployment, report }) => ({
  onAttemptEnd: (attempt) => {
    if (attempt.outcome !== 'disconnected' && attempt.outcome !== 'interrupted') return;
    for (const slot of deployment.daemons.values()) {
      const since = slot.drainingSinceMs;
      const isSameDaemon = deployment.callerOrigin(slot.plan.id) === attempt.origin;
      if (!isSameDaemon || since === undefined || attempt.sentAtMs >= since || slot.killed) continue;
      if (attempt.outcome === 'disconnected') {
        report(
          'planned-stop',
          `${attempt.request.marker} was cut off by the planned stop of ${slot.plan.id}`,
        );
      }
    }
  },
});
