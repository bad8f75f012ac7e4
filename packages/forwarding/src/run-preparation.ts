/** Prepares the next run of a request: chooses a back end and obtains what the send needs. */
import type { BackEnd } from '@woodbarrow/backends';
import type { SuspectSlot, TrialAdmission } from '@woodbarrow/quarantine';
import { refusal, type BackendChoice } from './backend-choice.js';
import { Releases, type Preparation, type StopReason } from './prepared-run.js';
import { ABORTED, raceAbort } from './race-abort.js';
import type { RequestAllowance } from './request-allowance.js';
import type { RequestRetries } from './request-retries.js';
import type { AttemptResult, RequestScope } from './request-scope.js';

/** Preparation of the runs of one request. */
export class RunPreparation {
  constructor(
    private readonly scope: RequestScope,
    private readonly allowance: RequestAllowance,
    private readonly retries: RequestRetries,
  ) {}

  /** Obtains all that the next run needs. Waits until `signal` aborts at most. */
  async prepare(signal: AbortSignal): Promise<Preparation> {
    const { digest, parts, context } = this.scope;
    const delayMs = context.quarantine.trialDelayMs(digest, parts);
    if (delayMs !== undefined) return stop({ kind: 'awaiting_trial', retryAfterMs: delayMs });
    const releases = new Releases();
    const slot = await context.quarantine.acquireSlot(digest, signal, parts);
    releases.add(() => {
      slot.release();
    });
    let preparation: Preparation | undefined;
    try {
      preparation = await this.prepareWith(slot, releases, signal);
      return preparation;
    } finally {
      if (preparation?.kind !== 'prepared') releases.releaseAll();
    }
  }

  /**
   * Acquires a retry for the next send if it counts as one. Returns whether the request may be sent again.
   *
   * @param after Result of the last send; `silent` if its answer has gone silent, `permit_expired` if the request waited too long
   * for a back end.
   */
  async acquireRetry(after: AttemptResult['kind'] | 'silent' | 'permit_expired'): Promise<boolean> {
    const { progress, service, facts, context, expired } = this.scope;
    const withheld = await this.retries.acquire();
    if (expired.aborted) return false;
    context.journal.decided('request_repeated', facts.id, {
      allowed: withheld === undefined,
      after,
      sends: progress.sends,
      service: service.name,
      counted: this.retries.isCounted,
      source: this.retries.source,
      withheld,
      earnedLeft: context.budget.earnedLeft(service.name),
    });
    return withheld === undefined;
  }

  private async prepareWith(
    slot: SuspectSlot,
    releases: Releases,
    signal: AbortSignal,
  ): Promise<Preparation> {
    const refused = this.verdict() ?? (await this.acquireQuota(signal));
    if (refused !== undefined) return stop(refused);
    const choice = await this.choose(signal);
    if (choice.kind === 'refuse') {
      const { reason, retryAfterMs, backEndIds } = choice;
      if (await this.awaitConnection(backEndIds, signal)) return { kind: 'again' };
      return stop({ kind: 'no_back_end', reason, retryAfterMs });
    }
    releases.add(() => {
      choice.place?.release('unused');
    });
    // The choice may have taken seconds, in which a quarantine verdict may have arrived.
    const verdict = this.verdict();
    if (verdict !== undefined) return stop(verdict);
    const { backEnd } = choice;
    const admission = await this.scope.context.quarantine.admit(
      this.scope.digest,
      backEnd.id,
      this.scope.parts,
    );
    if (admission.kind !== 'admitted') return this.withoutAdmission(backEnd, admission);
    releases.add(() => {
      admission.end();
    });
    const unpaid = await this.renewPermits(signal);
    if (unpaid !== undefined) return stop(unpaid);
    if (!this.acceptsRequests(backEnd)) return { kind: 'again' };
    const pendingPermit = this.scope.context.permits.acquire(backEnd, signal);
    const permit = await raceAbort(pendingPermit, signal);
    if (permit === ABORTED) {
      // Return a permit that is granted after the wait has ended.
      void pendingPermit.then((latePermit) => latePermit?.refund());
      return stop({ kind: 'expired' });
    }
    if (permit === undefined) return { kind: 'again' };
    releases.add(() => {
      permit.end();
    });
    slot.assignProcess(backEnd.id);
    const release = (): void => {
      releases.releaseAll();
    };
    const isValid = (): boolean => permit.isValid() && this.canStillSend(backEnd, admission);
    return { kind: 'prepared', run: { choice, permit, isValid, release } };
  }

  private verdict(): StopReason | undefined {
    const { context, digest, parts } = this.scope;
    const verdict = context.quarantine.verdictOf(digest) ?? context.quarantine.verdictOnParts(parts);
    return verdict === undefined ? undefined : { kind: 'quarantined', verdict };
  }

  /** What to do if the quarantine does not admit a request to a back end now. */
  private withoutAdmission(
    { id }: BackEnd,
    admission: Exclude<TrialAdmission, { readonly kind: 'admitted' }>,
  ): Preparation {
    if (admission.kind === 'refused')
      return stop({ kind: 'awaiting_trial', retryAfterMs: admission.retryAfterMs });
    if (admission.isPostponed !== true) this.scope.progress.excluded.add(id);
    return { kind: 'again' };
  }

  /** Acquires quota and retry again if they have expired. Returns the reason if they are not granted. */
  private async renewPermits(signal: AbortSignal): Promise<StopReason | undefined> {
    const overQuota = this.allowance.isValid ? undefined : await this.acquireQuota(signal);
    if (overQuota !== undefined) return overQuota;
    if (this.retries.isValid || (await this.acquireRetry('permit_expired'))) return undefined;
    return { kind: 'not_repeated' };
  }

  /** Acquires the quota of the tenant. Returns the reason if it does not allow the request now. */
  private async acquireQuota(signal: AbortSignal): Promise<StopReason | undefined> {
    const { times, answer, route, context } = this.scope;
    const now = context.clock.monotonic();
    const usefulUntil = answer.hasBegun ? times.resumeBy() : times.targetBy();
    // All requests of a tenant share its priority, so that only their routes tell which of them come first.
    const urgency = { priority: route.priority, usefulWaitMs: Math.max(0, usefulUntil - now) };
    const refused = await this.allowance.acquire(times.startBy() - now, urgency);
    if (refused === undefined) return undefined;
    return signal.aborted ? { kind: 'expired' } : { kind: 'over_quota', refusal: refused };
  }

  /**
   * Whether a send is still allowed after waiting for a permit: connections may be used up, quota tickets and retries expired, and processes
   * ended under other attempts by then.
   */
  private canStillSend(backEnd: BackEnd, admission: TrialAdmission): boolean {
    const { context, digest, parts, facts } = this.scope;
    if (!context.quarantine.allowsSend(digest, admission, parts)) {
      context.journal.decided('send_withheld', facts.id, { backEnd: backEnd.id, content: digest });
      return false;
    }
    return this.allowance.isValid && this.retries.isValid && this.acceptsRequests(backEnd);
  }

  /** Whether the back end still accepts requests; it may have started draining, or be gone, while a load was awaited. */
  private acceptsRequests({ id }: BackEnd): boolean {
    const { directory, connections } = this.scope.context;
    if (directory.get(id)?.draining !== false) return false;
    return connections.allows(this.scope.service, id);
  }

  /** Waits while only connections of this daemon are lacking. Returns whether one of the back ends has one again. */
  private async awaitConnection(backEndIds: readonly string[] = [], signal: AbortSignal): Promise<boolean> {
    if (backEndIds.length === 0) return false;
    const { context, service, priority, arrivedAt, answer, times } = this.scope;
    // Behind brittle back ends a longer queue would only make all answers late.
    const startBy = context.connections.hasBrittle(backEndIds) ? times.targetBy() : times.startBy();
    const until = answer.hasBegun ? times.resumeBy() : startBy;
    const request = { service, backEndIds, priority, arrivedAt, until, signal };
    return context.connections.wait(request, context.clock);
  }

  private async choose(signal: AbortSignal): Promise<BackendChoice> {
    const { context, service, facts, route, priority, times, answer, progress, digest } = this.scope;
    const unreachableRetryMs = context.unreachableRetryMs?.();
    if (unreachableRetryMs !== undefined) return refusal('back_ends_unreachable', unreachableRetryMs);
    const health = context.healthOf(service.name);
    const { engine } = service;
    const { target } = facts;
    const excluded = new Set([
      ...progress.excluded,
      ...progress.silent,
      ...context.quarantine.processesToAvoid(digest),
    ]);
    if (engine === undefined || target === undefined) {
      return context.plain.select(service, health, excluded, progress.softwareVersion);
    }
    return context.replicas.select(
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
        signal,
      },
      health,
    );
  }
}

function stop(reason: StopReason): Preparation {
  return { kind: 'stop', reason };
}
