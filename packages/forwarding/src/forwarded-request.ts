/** The task of one request: choose a back end, send, and pass the answer on; again where the route allows it. */
import type { BackEnd, ServiceDefinition } from '@woodbarrow/backends';
import type { Turn, Verdict } from '@woodbarrow/quarantine';
import type { IncomingExchange } from '@woodbarrow/runtime';
import { ABORTED, orAborted } from './abortable.js';
import type { BackendChoice, RefusalReason } from './backend-choice.js';
import type { ClientAnswer } from './client-answer.js';
import type { ForwardingContext } from './forwarding-context.js';
import { RequestAllowance, type AllowanceRefusal } from './request-allowance.js';
import { RequestEnding } from './request-ending.js';
import { RequestProgress, type AttemptResult, type RequestScope } from './request-scope.js';
import { RequestSend } from './request-send.js';
import { RequestTimes } from './request-times.js';
import { RunForecast } from './run-forecast.js';
import { requestDigest } from './request-identity.js';
import { mayRunAgain, type Route } from './route.js';
import type { SendPermit } from './send-permits.js';
import type { Tenant } from './tenant.js';
import type { RequestFacts } from './wire-dialect.js';

/** Sends at most, whatever came of them. */
const MAXIMUM_SENDS = 6;
/** Time kept for the answer to reach the client, in milliseconds. */
const ANSWER_MARGIN_MS = 20;

/** A request as it was taken in. */
export interface TakenRequest {
  readonly exchange: IncomingExchange;
  readonly answer: ClientAnswer;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** In whose name it runs; absent where it has none. */
  readonly tenant?: Tenant;
  readonly service: ServiceDefinition;
  readonly body: Uint8Array;
  /** Monotonic. */
  readonly arrivedAt: number;
}

/** One request and all that is done for it. */
export class ForwardedRequest {
  private readonly expired = new AbortController();
  private readonly scope: RequestScope;
  private readonly send: RequestSend;
  private readonly allowance: RequestAllowance;

  constructor(
    private readonly context: ForwardingContext,
    taken: TakenRequest,
  ) {
    const { clock, dialect, journal } = context;
    const { exchange, facts, route, arrivedAt } = taken;
    const times = new RequestTimes(arrivedAt, facts, route, clock);
    const progress = new RequestProgress();
    const ending = new RequestEnding({
      answer: taken.answer,
      requestId: facts.id,
      routeName: route.name,
      elapsedMs: () => times.elapsedMs(),
      dialect,
      journal,
      sends: () => progress.sends,
    });
    const digest = requestDigest(exchange, facts.keyDigest ?? '', taken.body);
    const priority = taken.tenant?.priority ?? route.priority;
    const expired = this.expired.signal;
    this.scope = { ...taken, context, digest, priority, times, progress, ending, expired };
    this.send = new RequestSend(this.scope, new RunForecast(context.runTimes, facts));
    this.allowance = new RequestAllowance(context.quota, taken.tenant, facts, expired);
  }

  /** Ends when the exchange has been answered or aborted. */
  async run(): Promise<void> {
    const { clock, budget, stopWaiting, loads } = this.context;
    const { times, answer, exchange, service, facts, progress } = this.scope;
    const cancelTimers = [
      clock.schedule(times.leftMs(), () => {
        if (!answer.hasBegun) this.expired.abort();
      }),
      clock.schedule(times.untilTimeoutMs(), () => {
        this.expired.abort();
      }),
    ];
    exchange.signal.addEventListener('abort', () => {
      this.expired.abort();
    });
    const stop = (): void => {
      if (!progress.isSending) this.expired.abort();
      progress.stopped = true;
    };
    if (stopWaiting.aborted) stop();
    stopWaiting.addEventListener('abort', stop);
    budget.recordRequest(service.name);
    if (facts.target !== undefined) loads.noteDemand(facts.target.model);
    this.noteAdmitted();
    try {
      await this.work();
    } finally {
      this.allowance.giveBack();
      for (const cancel of cancelTimers) cancel();
      stopWaiting.removeEventListener('abort', stop);
    }
  }

  private noteAdmitted(): void {
    const { facts, route, tenant, service, digest, times } = this.scope;
    this.context.journal.decided('request_admitted', facts.id, {
      route: route.name,
      tenant: tenant?.name,
      service: service.name,
      content: digest,
      model: facts.target?.model,
      adapter: facts.target?.adapter,
      adapterVersion: facts.target?.adapterVersion,
      promptTokens: facts.promptTokens,
      outputTokens: facts.outputTokens,
      resumeAfter: facts.resumeAfter,
      leftMs: Math.round(times.leftMs()),
    });
  }

  private async work(): Promise<void> {
    for (;;) {
      const delayMs = this.context.quarantine.trialDelayMs(this.scope.digest);
      if (delayMs !== undefined) {
        this.finishUntried(delayMs);
        return;
      }
      const turn = await this.context.quarantine.takeTurn(this.scope.digest, this.expired.signal);
      try {
        if (await this.tryOnce(turn)) return;
      } finally {
        turn.release();
      }
    }
  }

  /** One choice of a back end and one send. Returns whether the request has ended. */
  private async tryOnce(turn: Turn): Promise<boolean> {
    if (this.finishQuarantined() || (await this.finishUnallowed())) return true;
    const choice = await this.choose();
    if (choice.kind === 'refuse') {
      this.finishWithout(choice.reason, choice.retryAfterMs);
      return true;
    }
    // The choice may have taken seconds: word may have come, and others may have taken the last connections.
    if (this.finishQuarantined()) return true;
    const admission = await this.context.quarantine.admit(this.scope.digest, choice.backEnd.id);
    if (admission.kind === 'occupied') {
      this.scope.progress.excluded.add(choice.backEnd.id);
      return false;
    }
    if (admission.kind === 'refused') {
      this.finishUntried(admission.retryAfterMs);
      return true;
    }
    try {
      return await this.sendTo(choice, turn);
    } finally {
      admission.end();
    }
  }

  /** One send. Returns whether the request has ended. */
  private async sendTo(choice: Extract<BackendChoice, { kind: 'send' }>, turn: Turn): Promise<boolean> {
    if (!this.allowance.isValid && (await this.finishUnallowed())) return true;
    const { backEnd } = choice;
    if (!this.takesRequests(backEnd)) return false;
    const wish = this.context.permits.acquire(backEnd, this.expired.signal);
    const permit = await orAborted(wish, this.expired.signal);
    if (permit === ABORTED) {
      // The client's answer does not wait for it.
      void wish.then((late) => late?.giveBack());
      this.finishExpired();
      return true;
    }
    if (permit === undefined) return false;
    if (!permit.isValid() || !this.mayStillSend(backEnd)) {
      permit.giveBack();
      return false;
    }
    return this.sendWith(permit, choice, turn);
  }

  /** Waiting for a permit takes time, in which others may have taken the last connections, and rights lapse. */
  private mayStillSend(backEnd: BackEnd): boolean {
    return this.allowance.isValid && this.takesRequests(backEnd);
  }

  /** A choice may be seconds old where a load was waited for: the back end may have begun to leave, or be gone, by now. */
  private takesRequests({ id }: BackEnd): boolean {
    const { directory, connections } = this.context;
    if (directory.get(id)?.draining !== false) return false;
    return connections.allows(this.scope.service, id);
  }

  private async sendWith(
    permit: SendPermit,
    choice: Extract<BackendChoice, { kind: 'send' }>,
    turn: Turn,
  ): Promise<boolean> {
    turn.sentTo(choice.backEnd.id);
    const result = await this.send.attempt(choice).finally(() => {
      permit.end();
    });
    if (result.kind === 'not_run' && !result.arrived) permit.giveBack();
    if (result.kind !== 'not_run') this.allowance.spend();
    if (result.kind === 'finished') return true;
    if (this.expired.signal.aborted) {
      this.finishExpired();
      return true;
    }
    if (this.mayContinue(result)) return false;
    this.finishUnserved();
    return true;
  }

  /** Ends the request if its content has proved to end the processes that run it. Returns whether it did. */
  private finishQuarantined(): boolean {
    const verdict = this.context.quarantine.verdictOf(this.scope.digest);
    if (verdict === undefined) return false;
    if (this.scope.answer.hasBegun || this.scope.progress.ranOn.size > 0) this.finishUnserved();
    else this.refuseQuarantined(verdict);
    return true;
  }

  /** Others are tried, or nobody can be asked whether this one may be: it has not run, and its caller may come back soon. */
  private finishUntried(retryAfterMs: number): void {
    const { answer, progress, ending } = this.scope;
    if (answer.hasBegun || progress.ranOn.size > 0) this.finishUnserved();
    else ending.refuse('request_quarantined', 'waits for its trial', retryAfterMs);
  }

  /** Ends the request if its tenant may not run it now. Returns whether it did. */
  private async finishUnallowed(): Promise<boolean> {
    const { times, answer, progress } = this.scope;
    const refusal = await this.allowance.obtain(times.startBy() - this.context.clock.monotonic());
    if (refusal === undefined) return false;
    if (this.expired.signal.aborted) this.finishExpired();
    else if (answer.hasBegun || progress.ranOn.size > 0) this.finishUnserved();
    else this.refuseUnallowed(refusal);
    return true;
  }

  private refuseUnallowed({ kind, retryAfterMs }: AllowanceRefusal): void {
    const { ending } = this.scope;
    if (kind === 'over_limit') ending.refuse('tenant_over_limit', 'over_limit', retryAfterMs);
    else ending.refuse('peer_unreachable', 'no_granter', retryAfterMs);
  }

  private refuseQuarantined({ ends, retryAfterMs }: Verdict): void {
    const cause = `${String(ends)} processes ended under it`;
    this.scope.ending.refuse('request_quarantined', cause, retryAfterMs);
  }

  /** Whether another send is allowed after one that brought no answer. */
  private mayContinue(result: AttemptResult): boolean {
    const { answer, progress, route, times, service, facts } = this.scope;
    if (!answer.mayGoOn) return false;
    if (progress.sends >= MAXIMUM_SENDS || progress.stopped) return false;
    const ran = result.kind === 'maybe_run' || result.kind === 'failure';
    if (ran && !mayRunAgain(route.kind)) return false;
    if (ran && progress.ranOn.size >= route.maximumAttempts) return false;
    if (times.leftMs() <= ANSWER_MARGIN_MS) return false;
    const arrived = ran || (result.kind === 'not_run' && result.arrived);
    const allowed = !arrived || this.context.budget.tryRepeat(service.name);
    this.context.journal.decided('request_repeated', facts.id, {
      allowed,
      after: result.kind,
      sends: progress.sends,
      budgetLeft: Math.floor(this.context.budget.remaining(service.name)),
    });
    return allowed;
  }

  private async choose(): Promise<BackendChoice> {
    const { service, facts, route, priority, times, answer, progress, digest } = this.scope;
    const health = this.context.healthOf(service.name);
    const { engine } = service;
    const { target } = facts;
    const excluded = new Set([...progress.excluded, ...this.context.quarantine.processesToAvoid(digest)]);
    if (engine === undefined || target === undefined) {
      return this.context.plain.select(service, health, excluded);
    }
    return this.context.replicas.select(
      {
        service,
        engine,
        target,
        facts,
        priority,
        targetLatencyMs: route.targetLatencyMs,
        targetBy: times.targetBy(),
        startBy: answer.hasBegun ? times.resumeBy() : times.startBy(),
        excluded,
        signal: this.expired.signal,
      },
      health,
    );
  }

  /** Refused by the choice of a back end. */
  private finishWithout(reason: RefusalReason, retryAfterMs: number): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else if (this.scope.progress.ranOn.size > 0) this.finishUnserved();
    else {
      const kind = reason === 'model_too_late' ? 'wait_expired' : 'no_replica';
      this.scope.ending.refuse(kind, reason, retryAfterMs);
    }
  }

  /** Time is up, the daemon stops, or the client has gone. */
  private finishExpired(): void {
    const { exchange, answer, progress, ending } = this.scope;
    if (exchange.signal.aborted) ending.abandoned();
    else if (answer.hasBegun) ending.breakOff('time is up');
    else if (progress.ranOn.size > 0) ending.fail('request_timeout', 'time is up');
    else if (progress.stopped) ending.refuseStopping();
    else ending.refuse('wait_expired', 'time is up', 0);
  }

  /** No further send is allowed. */
  private finishUnserved(): void {
    const { answer, progress, ending } = this.scope;
    if (answer.hasBegun) ending.breakOff('no back end may go on with the answer');
    else if (progress.heldFailure !== undefined) ending.passFailure(progress.heldFailure);
    else if (progress.ranOn.size === 0) ending.refuse('no_replica', 'all back ends declined', 0);
    else ending.fail('backend_broken', 'no answer after a send that may have run');
  }
}
