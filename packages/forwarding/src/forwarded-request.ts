/** Handles one request: chooses a back end, sends, forwards the answer, and retries where the route allows it. */
import type { BackEnd, ServiceDefinition } from '@woodbarrow/backends';
import type { ErrorKind } from '@woodbarrow/errors';
import { partContents, type SuspectSlot, type Verdict } from '@woodbarrow/quarantine';
import type { IncomingExchange } from '@woodbarrow/runtime';
import { ObservedAnswer } from './observed-answer.js';
import { ABORTED, raceAbort } from './race-abort.js';
import { refusal, type BackendChoice, type RefusalReason, type SendChoice } from './backend-choice.js';
import type { ClientAnswer } from './client-answer.js';
import type { ForwardingContext } from './forwarding-context.js';
import { RequestAllowance, type AllowanceRefusal } from './request-allowance.js';
import { RequestCompletion } from './request-completion.js';
import { RequestProgress, type AttemptResult, type RequestScope } from './request-scope.js';
import { RequestSender } from './request-sender.js';
import { RequestRetries } from './request-retries.js';
import { RequestTimes } from './request-times.js';
import { RunTimeEstimate } from './run-time-estimate.js';
import { spreadRetryMs } from './retry-spread.js';
import { requestDigest } from './request-digest.js';
import { mayRunAgain, type Route } from './route.js';
import type { SendPermit } from './send-permits.js';
import type { Tenant } from './tenant.js';
import { sharedPartIds, type RequestFacts } from './wire-dialect.js';

/** Maximum number of sends for one request, whatever their results. */
const MAX_SENDS_PER_REQUEST = 6;
/** Time reserved for delivering the answer to the client, in milliseconds. */
const ANSWER_DELIVERY_MARGIN_MS = 20;

/** Mean time after which a client may return when all back ends were full, in milliseconds. */
const MEAN_FULL_RETRY_MS = 300;
/** Maximum length of the prompt parts in a log line. */
const MAX_LOGGED_PARTS_LENGTH = 160;
/** Refusals that concern many requests at the same time. */
const SPREAD_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'all_excluded',
  'connections_exhausted',
  'software_version_gone',
]);

/** Error kinds of refusals for which `no_replica` does not say enough. */
const REFUSAL_KINDS: Partial<Record<RefusalReason, ErrorKind>> = {
  model_too_late: 'wait_expired',
  software_version_gone: 'stream_not_resumable',
  workers_full: 'shed',
};

/** A request with its route, tenant, service and body. */
export interface AcceptedRequest {
  readonly exchange: IncomingExchange;
  readonly answer: ClientAnswer;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Tenant that the request runs as; absent if it has none. */
  readonly tenant?: Tenant;
  readonly service: ServiceDefinition;
  readonly body: Uint8Array;
  /** Software version that must go on with the stream that the client takes up; any if undefined. */
  readonly softwareVersion?: string;
  /** Monotonic time in milliseconds. */
  readonly arrivedAt: number;
}

/** One request from its admission to its end. */
export class ForwardedRequest {
  private readonly expired = new AbortController();
  private readonly scope: RequestScope;
  private readonly sender: RequestSender;
  private readonly allowance: RequestAllowance;
  private readonly retries: RequestRetries;
  /** The client does not read its answer, and the memory for unread answers is used up. */
  private isEndedUnread = false;

  constructor(
    private readonly context: ForwardingContext,
    accepted: AcceptedRequest,
  ) {
    const { clock, dialect, journal } = context;
    const { exchange, facts, route, arrivedAt } = accepted;
    const times = new RequestTimes(arrivedAt, facts, route, clock);
    const progress = new RequestProgress();
    progress.softwareVersion = accepted.softwareVersion;
    const completion = new RequestCompletion({
      answer: accepted.answer,
      requestId: facts.id,
      routeName: route.name,
      elapsedMs: () => times.elapsedMs(),
      dialect,
      journal,
      sends: () => progress.sends,
    });
    const digest = requestDigest(exchange, facts.keyDigest ?? '', accepted.body);
    const parts = partContents(sharedPartIds(facts));
    const priority = accepted.tenant?.priority ?? route.priority;
    const expired = this.expired.signal;
    this.scope = { ...accepted, context, digest, parts, priority, times, progress, completion, expired };
    this.sender = new RequestSender(this.scope, new RunTimeEstimate(context.runTimes, facts));
    this.allowance = new RequestAllowance(context.quota, accepted.tenant, facts, expired);
    this.retries = new RequestRetries(context.budget, accepted.service.name, expired);
  }

  /** Resolves when the exchange has been answered or aborted. */
  async run(): Promise<void> {
    const { clock, budget, stopWaiting, loads } = this.context;
    const { times, answer, exchange, service, facts, progress } = this.scope;
    const cancelTimers = [
      clock.schedule(times.remainingMs(), () => {
        if (!answer.hasBegun) this.expired.abort();
      }),
      clock.schedule(times.routeTimeoutRemainingMs(), () => {
        this.expired.abort();
      }),
    ];
    exchange.signal.addEventListener('abort', () => {
      this.expired.abort();
    });
    const stop = (): void => {
      if (!progress.isSending) this.expired.abort();
      progress.isStopping = true;
    };
    if (stopWaiting.aborted) stop();
    stopWaiting.addEventListener('abort', stop);
    budget.recordRequest(service.name);
    if (facts.target !== undefined) loads.recordDemand(facts.target.model);
    this.recordAdmission();
    const releaseAnswer = this.watchAnswer();
    try {
      await this.sendUntilFinished();
    } finally {
      releaseAnswer();
      this.allowance.refund();
      this.retries.refund();
      for (const cancel of cancelTimers) cancel();
      stopWaiting.removeEventListener('abort', stop);
    }
  }

  /** Charges unread bytes of the answer to the budget of the daemon, if any. The result is called when the request has ended. */
  private watchAnswer(): () => void {
    const { exchange, tenant, facts, answer } = this.scope;
    if (this.context.unread === undefined || exchange.unreadBytes === undefined) return () => undefined;
    const observed = new ObservedAnswer(exchange, facts.id, tenant, () => {
      this.isEndedUnread = true;
      this.expired.abort();
    });
    const meter = this.context.unread.watch(observed);
    answer.meterWith(meter);
    return () => {
      observed.release();
      meter.release();
    };
  }

  private recordAdmission(): void {
    const { facts, route, tenant, service, digest, times } = this.scope;
    this.context.journal.decided('request_admitted', facts.id, {
      route: route.name,
      tenant: tenant?.name,
      service: service.name,
      content: digest,
      model: facts.target?.model,
      adapter: facts.target?.adapter,
      adapterVersion: facts.target?.adapterVersion,
      sharedParts: sharedPartIds(facts).join(',').slice(0, MAX_LOGGED_PARTS_LENGTH),
      promptTokens: facts.promptTokens,
      outputTokens: facts.outputTokens,
      resumeAfter: facts.resumeAfter,
      resumes: facts.resumes,
      leftMs: Math.round(times.remainingMs()),
    });
  }

  private async sendUntilFinished(): Promise<void> {
    for (;;) {
      const delayMs = this.context.quarantine.trialDelayMs(this.scope.digest, this.scope.parts);
      if (delayMs !== undefined) {
        this.finishAwaitingTrial(delayMs);
        return;
      }
      const slot = await this.context.quarantine.acquireSlot(this.scope.digest, this.expired.signal);
      try {
        if (await this.trySend(slot)) return;
      } finally {
        slot.release();
      }
    }
  }

  /** Chooses a back end and sends once. Returns whether the request has ended. */
  private async trySend(slot: SuspectSlot): Promise<boolean> {
    if (this.finishIfQuarantined() || (await this.finishIfOverQuota())) return true;
    const choice = await this.choose();
    if (choice.kind === 'refuse') {
      if (await this.awaitConnection(choice.backEndIds)) return false;
      this.finishWithoutBackEnd(choice.reason, choice.retryAfterMs);
      return true;
    }
    try {
      return await this.sendChosen(choice, slot);
    } finally {
      choice.place?.release('unused');
    }
  }

  /** Sends to the chosen back end once. Returns whether the request has ended. */
  private async sendChosen(choice: SendChoice, slot: SuspectSlot): Promise<boolean> {
    // The choice may have taken seconds, in which a quarantine verdict may have arrived.
    if (this.finishIfQuarantined()) return true;
    const admission = await this.context.quarantine.admit(
      this.scope.digest,
      choice.backEnd.id,
      this.scope.parts,
    );
    if (admission.kind === 'occupied') {
      if (admission.isPostponed !== true) this.scope.progress.excluded.add(choice.backEnd.id);
      return false;
    }
    if (admission.kind === 'refused') {
      this.finishAwaitingTrial(admission.retryAfterMs);
      return true;
    }
    try {
      return await this.sendTo(choice, slot);
    } finally {
      admission.end();
    }
  }

  /** Waits while only connections of this daemon are lacking. Returns whether one of the back ends has one again. */
  private async awaitConnection(backEndIds: readonly string[] = []): Promise<boolean> {
    if (backEndIds.length === 0) return false;
    const { context, service, priority, arrivedAt, answer, times, expired } = this.scope;
    // Behind brittle back ends a longer queue would only make all answers late.
    const startBy = context.connections.hasBrittle(backEndIds) ? times.targetBy() : times.startBy();
    const until = answer.hasBegun ? times.resumeBy() : startBy;
    const request = { service, backEndIds, priority, arrivedAt, until, signal: expired };
    return context.connections.wait(request, context.clock);
  }

  /** Obtains a permit and sends. Returns whether the request has ended. */
  private async sendTo(
    choice: Extract<BackendChoice, { kind: 'send' }>,
    slot: SuspectSlot,
  ): Promise<boolean> {
    if (!this.allowance.isValid && (await this.finishIfOverQuota())) return true;
    if (!this.retries.isValid && (await this.finishIfRetryWithheld())) return true;
    const { backEnd } = choice;
    if (!this.acceptsRequests(backEnd)) return false;
    const pendingPermit = this.context.permits.acquire(backEnd, this.expired.signal);
    const permit = await raceAbort(pendingPermit, this.expired.signal);
    if (permit === ABORTED) {
      // Return a permit that is granted after the request has ended.
      void pendingPermit.then((latePermit) => latePermit?.refund());
      this.finishExpired();
      return true;
    }
    if (permit === undefined) return false;
    if (!permit.isValid() || !this.canStillSend(backEnd)) {
      permit.refund();
      return false;
    }
    return this.sendWith(permit, choice, slot);
  }

  /** Whether a send is still allowed after waiting for a permit: connections may be used up, and quota tickets and retries expired by then. */
  private canStillSend(backEnd: BackEnd): boolean {
    return this.allowance.isValid && this.retries.isValid && this.acceptsRequests(backEnd);
  }

  /** Whether the back end still accepts requests; it may have started draining, or be gone, while a load was awaited. */
  private acceptsRequests({ id }: BackEnd): boolean {
    const { directory, connections } = this.context;
    if (directory.get(id)?.draining !== false) return false;
    return connections.allows(this.scope.service, id);
  }

  private async sendWith(
    permit: SendPermit,
    choice: Extract<BackendChoice, { kind: 'send' }>,
    slot: SuspectSlot,
  ): Promise<boolean> {
    slot.assignProcess(choice.backEnd.id);
    const result = await this.sender.attempt(choice).finally(() => {
      permit.end();
    });
    if (result.kind === 'not_run' && !result.arrived) permit.refund();
    else this.retries.noteArrived();
    if (result.kind !== 'not_run') this.allowance.consume();
    if (result.kind === 'finished') return true;
    if (this.expired.signal.aborted) {
      this.finishExpired();
      return true;
    }
    if (this.canRetryAfter(result) && (await this.acquireRetry(result.kind))) return false;
    this.finishUnrepeated();
    return true;
  }

  /** Ends the request if its content is quarantined for crashing workers. Returns whether it did. */
  private finishIfQuarantined(): boolean {
    const { quarantine } = this.context;
    const verdict = quarantine.verdictOf(this.scope.digest) ?? quarantine.verdictOnParts(this.scope.parts);
    if (verdict === undefined) return false;
    if (this.scope.answer.hasBegun || this.scope.progress.mayHaveRunOn.size > 0) this.finishUnserved();
    else this.refuseQuarantined(verdict);
    return true;
  }

  /** Ends a request that has to wait for a quarantine trial. If it has not run, its caller may retry soon. */
  private finishAwaitingTrial(retryAfterMs: number): void {
    const { answer, progress, completion } = this.scope;
    if (answer.hasBegun || progress.mayHaveRunOn.size > 0) this.finishUnserved();
    else completion.refuse('request_quarantined', 'waits for its trial', retryAfterMs);
  }

  /** Ends the request if the quota of its tenant does not allow it now. Returns whether it did. */
  private async finishIfOverQuota(): Promise<boolean> {
    const { times, answer, progress, route } = this.scope;
    const now = this.context.clock.monotonic();
    const usefulUntil = answer.hasBegun ? times.resumeBy() : times.targetBy();
    // All requests of a tenant share its priority, so that only their routes tell which of them come first.
    const urgency = { priority: route.priority, usefulWaitMs: Math.max(0, usefulUntil - now) };
    const refusal = await this.allowance.acquire(times.startBy() - now, urgency);
    if (refusal === undefined) return false;
    if (this.expired.signal.aborted) this.finishExpired();
    else if (answer.hasBegun || progress.mayHaveRunOn.size > 0) this.finishUnserved();
    else this.refuseForQuota(refusal);
    return true;
  }

  private refuseForQuota({ kind, retryAfterMs, shortage }: AllowanceRefusal): void {
    const { completion, tenant, route } = this.scope;
    const facts = { tenant: tenant?.name, priority: route.priority, ...shortage };
    if (kind === 'over_limit') completion.refuse('tenant_over_limit', 'over_limit', retryAfterMs, facts);
    else completion.refuse('peer_unreachable', 'no_granter', retryAfterMs, facts);
  }

  private refuseQuarantined({ ends, retryAfterMs }: Verdict): void {
    const cause = `${String(ends)} processes ended under it`;
    this.scope.completion.refuse('request_quarantined', cause, retryAfterMs);
  }

  /** Whether another send can follow a failed one, by the route and the time left. */
  private canRetryAfter(result: AttemptResult): boolean {
    const { answer, progress, route, times } = this.scope;
    if (!answer.canContinue) return false;
    if (progress.sends >= MAX_SENDS_PER_REQUEST || progress.isStopping) return false;
    const mayHaveRun = result.kind === 'maybe_run' || result.kind === 'failure';
    if (mayHaveRun && !mayRunAgain(route.kind)) return false;
    if (mayHaveRun && progress.mayHaveRunOn.size >= route.maximumAttempts) return false;
    return times.remainingMs() > ANSWER_DELIVERY_MARGIN_MS;
  }

  /**
   * Acquires a retry for the next send if it counts as one. Returns whether the request may be sent again.
   *
   * @param after Result of the last send, or `permit_expired` if the request waited too long for a back end.
   */
  private async acquireRetry(after: AttemptResult['kind'] | 'permit_expired'): Promise<boolean> {
    const { progress, service, facts } = this.scope;
    const withheld = await this.retries.acquire();
    if (this.expired.signal.aborted) return false;
    this.context.journal.decided('request_repeated', facts.id, {
      allowed: withheld === undefined,
      after,
      sends: progress.sends,
      service: service.name,
      counted: this.retries.isCounted,
      source: this.retries.source,
      withheld,
      earnedLeft: this.context.budget.earnedLeft(service.name),
    });
    return withheld === undefined;
  }

  /** Renews the retry permit of a request that is about to be sent, or ends the request. Returns whether it has ended. */
  private async finishIfRetryWithheld(): Promise<boolean> {
    if (await this.acquireRetry('permit_expired')) return false;
    this.finishUnrepeated();
    return true;
  }

  /** Ends a request that is not sent again. */
  private finishUnrepeated(): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else this.finishUnserved();
  }

  private async choose(): Promise<BackendChoice> {
    const unreachableRetryMs = this.context.unreachableRetryMs?.();
    if (unreachableRetryMs !== undefined) return refusal('back_ends_unreachable', unreachableRetryMs);
    const { service, facts, route, priority, times, answer, progress, digest } = this.scope;
    const health = this.context.healthOf(service.name);
    const { engine } = service;
    const { target } = facts;
    const excluded = new Set([...progress.excluded, ...this.context.quarantine.processesToAvoid(digest)]);
    if (engine === undefined || target === undefined) {
      return this.context.plain.select(service, health, excluded, progress.softwareVersion);
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
        isResumption: answer.hasBegun,
        ...(progress.softwareVersion === undefined ? {} : { softwareVersion: progress.softwareVersion }),
        excluded,
        signal: this.expired.signal,
      },
      health,
    );
  }

  /** Ends a request for which no back end was found. */
  private finishWithoutBackEnd(reason: RefusalReason, retryAfterMs: number): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else if (this.scope.progress.mayHaveRunOn.size > 0) this.finishUnserved();
    else {
      const spreadMs = SPREAD_REFUSALS.has(reason)
        ? spreadRetryMs(this.scope.facts.id, Math.max(retryAfterMs, MEAN_FULL_RETRY_MS))
        : retryAfterMs;
      this.scope.completion.refuse(REFUSAL_KINDS[reason] ?? 'no_replica', reason, spreadMs);
    }
  }

  /** Ends a request because time is up, the daemon stops, or the client has disconnected. */
  private finishExpired(): void {
    const { exchange, answer, progress, completion } = this.scope;
    if (this.isEndedUnread) completion.abortAnswer('the client did not read its answer');
    else if (exchange.signal.aborted) completion.recordAbandoned();
    else if (answer.hasBegun) completion.abortAnswer('time is up');
    else if (progress.mayHaveRunOn.size > 0) completion.fail('request_timeout', 'time is up');
    else if (progress.isStopping) completion.refuseStopping();
    else completion.refuse('wait_expired', 'time is up', this.spreadFullRetryMs());
  }

  private spreadFullRetryMs(): number {
    return spreadRetryMs(this.scope.facts.id, MEAN_FULL_RETRY_MS);
  }

  /** Ends a request for which no further send is allowed. */
  private finishUnserved(): void {
    const { answer, progress, completion } = this.scope;
    if (answer.hasBegun) completion.abortAnswer('no back end may go on with the answer');
    else if (progress.bufferedFailure !== undefined) completion.forwardFailure(progress.bufferedFailure);
    else if (progress.mayHaveRunOn.size === 0)
      completion.refuse('no_replica', 'all back ends declined', this.spreadFullRetryMs());
    else completion.fail('backend_broken', 'no answer after a send that may have run');
  }
}
