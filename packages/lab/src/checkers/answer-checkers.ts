/** Checkers of what callers are told: in time, whole, truthful, and nothing run twice. */
import type { Attempt } from '../traffic/caller.js';
import { allowedWaitOf } from '../traffic/request-facts.js';
import type { CheckerContext, CheckerFactory } from './checker.js';

/** Network and scheduling on top of the allowed wait. */
const ANSWER_TOLERANCE_MS = 250;

/**
 * Time that an attempt may have spent running: one whose answer is not streamed, and which was not refused as not run,
 * waited only until it was sent to an engine. Its failure can be told when the template's run limit ends at the latest.
 */
function maximumRunMs(attempt: Attempt, { deployment }: CheckerContext): number {
  const { request, ran } = attempt;
  if (request.streaming || attempt.outcome !== 'refused' || ran === 'no') return 0;
  const parameters = deployment.plan.tenants.find((tenant) => tenant.name === request.tenant)?.parameters;
  return (parameters?.limits.runSeconds ?? 0) * 1000;
}

/** Every request is served or refused within its allowed wait, and none is dropped in silence. */
export const answeredInWait: CheckerFactory = (context) => {
  const { deployment, traffic, report } = context;
  /** Pauses of a daemon count against nobody: a process that is stopped cannot answer. */
  const pausedUntil = (origin: string): number => {
    const slot = [...deployment.daemons.values()].find(
      ({ plan }) => deployment.callerOrigin(plan.id) === origin,
    );
    return slot?.pausedUntilMs ?? 0;
  };
  return {
    onAttemptEnd: (attempt) => {
      // A connection that ends without an answer is visible to the caller: nothing is silent about it.
      if (attempt.outcome === 'disconnected') return;
      // A whole answer is complete only some time after it has begun; its wait ends where it began.
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
      for (const story of traffic.stories) {
        const open = story.attempts.find((attempt) => attempt.endedAtMs === undefined);
        if (open !== undefined)
          report('answered-in-wait', `${open.request.marker} was never answered by ${open.origin}`);
      }
    },
  };
};

/** Each caller receives the whole answer to its own request. */
export const wholeAnswer: CheckerFactory = ({ report }) => ({
  onAttemptEnd: (attempt) => {
    if (attempt.outcome === 'corrupt')
      report('whole-answer', `${attempt.request.marker} got a wrong or partial answer`);
  },
});

/** A stream is in order as far as it comes, each token once, and complete only when all have come. */
export const streamOrder: CheckerFactory = ({ report }) => ({
  onAttemptEnd: ({ request, streamFault }) => {
    if (streamFault !== undefined) report('stream-order', `${request.marker}: ${streamFault}`);
  },
});

/** When a refusal says that a request was not run, no engine ever ran it. */
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

/** A request with a key, or marked as not repeatable, runs at most once. */
export const atMostOnce: CheckerFactory = ({ traffic, report }) => {
  const runs = new Map<string, number>();
  const reported = new Set<string>();
  return {
    onRun: (_worker, marker) => {
      const count = (runs.get(marker) ?? 0) + 1;
      runs.set(marker, count);
      if (count < 2 || reported.has(marker)) return;
      const story = traffic.stories.find((candidate) => candidate.planned.request.marker === marker);
      const request = story?.planned.request;
      if (request === undefined || (request.idempotencyKey === undefined && !request.notRepeatable)) return;
      reported.add(marker);
      report('at-most-once', `${marker} ran ${String(count)} times`);
    },
  };
};

/** A planned stop cuts off no request in progress. */
export const plannedStop: CheckerFactory = ({ deployment, report }) => ({
  onAttemptEnd: (attempt) => {
    if (attempt.outcome !== 'disconnected' && attempt.outcome !== 'interrupted') return;
    for (const slot of deployment.daemons.values()) {
      const since = slot.drainingSinceMs;
      const here = deployment.callerOrigin(slot.plan.id) === attempt.origin;
      if (!here || since === undefined || attempt.sentAtMs >= since || slot.killed) continue;
      if (attempt.outcome === 'disconnected') {
        report(
          'planned-stop',
          `${attempt.request.marker} was cut off by the planned stop of ${slot.plan.id}`,
        );
      }
    }
  },
});
