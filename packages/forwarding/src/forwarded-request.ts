/** Handles one request: chooses a back end, sends, forwards the answer, and retries where the route allows it. */
import type { ServiceDefinition } from '@woodbarrow/backends';
import type { ErrorKind } from '@woodbarrow/errors';
import { partContents, type Verdict } from '@woodbarrow/quarantine';
import type { IncomingExchange } from '@woodbarrow/runtime';
import { ObservedAnswer } from './observed-answer.js';
import type { RefusalReason } from './backend-choice.js';
import type { ClientAnswer } from './client-answer.js';
import type { ForwardingContext } from './forwarding-context.js';
import type { PreparedRun, StopReason } from './prepared-run.js';
import { RequestAllowance, type AllowanceRefusal } from './request-allowance.js';
import { RequestCompletion } from './request-completion.js';
import { RequestProgress, type AttemptResult, type RequestScope } from './request-scope.js';
import { RequestSender } from './request-sender.js';
import { RequestRetries } from './request-retries.js';
import { RequestTimes } from './request-times.js';
import { RunPreparation } from './run-preparation.js';
import { SilentRunReplacement, type ReplacingRun, type RunReplacement } from './run-replacement.js';
import { RunTimeEstimate } from './run-time-estimate.js';
import { spreadRetryMs } from './retry-spread.js';
import { requestDigest } from './request-digest.js';
import { mayRunAgain, type Route } from './route.js';
import type { Tenant } from './tenant.js';
import { sharedPartIds, type RequestFacts } from './wire-dialect.js';

/** Maximum number of sends for one request, whatever their results. */
const MAX_SENDS_PER_REQUEST = 6;
/** Time reserved for delivering the answer to the client, in milliseconds. */
const ANSWER_DELIVERY_MARGIN_MS = 20;

/** Turns of the event loop until the end of a connection shows: after the request that preceded it is read, the end is, and then the close. */
const INPUT_PASSES = 3;
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
  private readonly preparation: RunPreparation;
  private readonly replacement: SilentRunReplacement;
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
    const replacement: RunReplacement = { seek: (...silent) => this.replacement.seek(...silent) };
    const state = { digest, parts, priority, times, progress, completion, replacement, expired };
    this.scope = { ...accepted, context, ...state };
    this.sender = new RequestSender(this.scope, new RunTimeEstimate(context.runTimes, facts));
    this.allowance = new RequestAllowance(context.quota, accepted.tenant, facts, expired);
    this.retries = new RequestRetries(context.budget, accepted.service.name, clock, expired);
    this.preparation = new RunPreparation(this.scope, this.allowance, this.retries);
    this.replacement = new SilentRunReplacement(this.scope, this.preparation, {
      allowsAnother: () => this.canRetryAfter({ kind: 'maybe_run' }),
      noteSilent: () => {
        this.retries.noteArrived();
        this.allowance.consume();
      },
      begin: (prepared) => this.begin(prepared),
      concludeFailed: async (replacing) => {
        await this.conclude(replacing);
      },
      refund: () => {
        this.refund();
      },
    });
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
      if (progress.runsInProgress === 0) this.expired.abort();
      progress.isStopping = true;
    };
    if (stopWaiting.aborted) stop();
    stopWaiting.addEventListener('abort', stop);
    budget.recordRequest(service.name, times.elapsedMs());
    if (facts.target !== undefined) loads.recordDemand(facts.target.model);
    this.recordAdmission();
    const releaseAnswer = this.watchAnswer();
    try {
      await this.sendUntilFinished();
    } finally {
      releaseAnswer();
      this.refund();
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
      const next = this.replacement.take() ?? (await this.beginNext());
      if (next === undefined || (await this.finishRun(next))) return;
    }
  }

  /** Prepares and sends the next run; undefined if the request has ended instead. */
  private async beginNext(): Promise<ReplacingRun | undefined> {
    for (;;) {
      const preparation = await this.preparation.prepare(this.expired.signal);
      if (preparation.kind === 'stop') {
        this.finishStopped(preparation.reason);
        return undefined;
      }
      if (preparation.kind === 'prepared') await this.readInput();
      const next = preparation.kind === 'prepared' ? this.begin(preparation.run) : undefined;
      if (next !== undefined) return next;
    }
  }

  /** While input waits, reads what has arrived before a send: the client may have left. */
  private async readInput(): Promise<void> {
    if (this.context.admission?.isBehind !== true) return;
    for (let pass = 0; pass < INPUT_PASSES; pass += 1)
      await new Promise<void>((resolve) => {
        this.context.clock.afterInput(resolve);
      });
  }

  /** Sends a prepared run; returns it unused and undefined if it is no longer valid. */
  private begin(prepared: PreparedRun): ReplacingRun | undefined {
    if (this.expired.signal.aborted || !prepared.isValid()) {
      prepared.permit.refund();
      prepared.release();
      return undefined;
    }
    const run = this.sender.begin(prepared.choice);
    this.retries.noteSent(run.head);
    return { prepared, run };
  }

  /** Waits for the end of a run. Returns whether the request has ended. */
  private async finishRun(next: ReplacingRun): Promise<boolean> {
    const result = await this.conclude(next);
    if (result.kind === 'finished') return true;
    if (result.kind === 'replaced') return false;
    if (this.expired.signal.aborted) {
      this.finishExpired();
      return true;
    }
    await this.replacement.whenIdle();
    if (this.canRetryAfter(result) && (await this.preparation.acquireRetry(result.kind))) return false;
    this.finishUnrepeated();
    return true;
  }

  /** Waits for the end of a run, and returns or consumes what it held. */
  private async conclude({ prepared, run }: ReplacingRun): Promise<AttemptResult> {
    const result = await run.finish().finally(prepared.release);
    // What a replaced run held was consumed when it fell silent.
    if (result.kind === 'replaced') return result;
    if (result.kind === 'not_run' && !result.arrived) prepared.permit.refund();
    else this.retries.noteArrived();
    if (result.kind !== 'not_run') this.allowance.consume();
    return result;
  }

  /** Returns what no run has used. */
  private refund(): void {
    this.allowance.refund();
    this.retries.refund();
  }

  /** Ends a request that is not sent. */
  private finishStopped(reason: StopReason): void {
    const { answer, progress } = this.scope;
    const mayHaveRun = answer.hasBegun || progress.mayHaveRunOn.size > 0;
    switch (reason.kind) {
      case 'quarantined':
        if (mayHaveRun) this.finishUnserved();
        else this.refuseQuarantined(reason.verdict);
        break;
      case 'awaiting_trial':
        if (mayHaveRun) this.finishUnserved();
        else this.scope.completion.refuse('request_quarantined', 'waits for its trial', reason.retryAfterMs);
        break;
      case 'over_quota':
        if (this.expired.signal.aborted) this.finishExpired();
        else if (mayHaveRun) this.finishUnserved();
        else this.refuseForQuota(reason.refusal);
        break;
      case 'no_back_end':
        this.finishWithoutBackEnd(reason.reason, reason.retryAfterMs);
        break;
      case 'not_repeated':
        this.finishUnrepeated();
        break;
      case 'expired':
        this.finishExpired();
        break;
    }
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

  /** Whether another send can follow a failed or silent one, by the route and the time left. */
  private canRetryAfter(result: AttemptResult): boolean {
    const { answer, progress, route, times } = this.scope;
    if (!answer.canContinue) return false;
    if (progress.sends >= MAX_SENDS_PER_REQUEST || progress.isStopping) return false;
    const mayHaveRun = result.kind === 'maybe_run' || result.kind === 'failure';
    if (mayHaveRun && !mayRunAgain(route.kind)) return false;
    if (mayHaveRun && progress.mayHaveRunOn.size >= route.maximumAttempts) return false;
    return times.remainingMs() > ANSWER_DELIVERY_MARGIN_MS;
  }

  /** Ends a request that is not sent again. */
  private finishUnrepeated(): void {
    if (this.expired.signal.aborted) this.finishExpired();
    else this.finishUnserved();
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
