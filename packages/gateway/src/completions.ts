/** Serves completion requests: admission, claim of the idempotency key, routing, and settlement of the claim. */
import type { Catalog, CatalogTenant } from '@woodbarrow/configuration';
import type { ClaimsClient } from '@woodbarrow/coordination';
import { WoodbarrowError, isKind, toWoodbarrowError } from '@woodbarrow/errors';
import type { ClaimResponse, Incarnation, JobEnd, SettleClaimRequest } from '@woodbarrow/protocol';
import { hashText, type Clock, type HttpRequest, type HttpResponse } from '@woodbarrow/runtime';
import { hasDoneEvent, type Admission, type Router } from '@woodbarrow/routing';
import { readCompletionRequest, type CompletionRequest } from './completion-request.js';

/** Options of {@link CompletionService}. */
export interface CompletionServiceOptions {
  readonly catalog: Catalog;
  readonly router: Router;
  readonly admission: Admission;
  readonly claims: ClaimsClient;
  readonly clock: Clock;
  /** This run of the daemon, so that its claims can be taken over once it has ended. @default never taken over */
  readonly local?: Incarnation;
  /** Returns the result of a job of a tenant; undefined while it has none. @throws WoodbarrowError when it is lost. */
  readonly jobResult?: (jobId: string, tenant: string) => Promise<JobEnd | undefined>;
  /** Called when a claim could not be settled. */
  readonly onTaskFailure?: (name: string, error: unknown) => void;
  /**
   * Called when the response of a request starts or the request fails, for metrics. `kind` is `served` or an error kind.
   */
  readonly onResponse?: (kind: string, waitedMs: number) => void;
}

/** An idempotency key that this request has claimed in the claim ledger. */
interface HeldClaim extends Required<Pick<SettleClaimRequest, 'key' | 'claimant' | 'claim'>> {
  /** Job that stores the response; undefined when the ledger stores it. */
  readonly jobId: string | undefined;
}

/** Makes the request of a job run at most once, under the claim of the job. */
export interface RunGuard {
  readonly jobId: string;
  /** Awaited before the request is first sent to an engine. If it rejects, the request is not sent. */
  readonly beforeDispatch: () => Promise<void>;
}

/** Maximum size of a response that is stored for repeated requests with its idempotency key, in bytes. */
const MAX_STORED_RESPONSE_BYTES = 65_536;
/** Maximum relative rate error of the local clock; deadlines are shortened by it, as the clock may run slow. */
const MAX_CLOCK_RATE_ERROR = 0.001;
/** Maximum time for claiming a key, as a fraction of the allowed wait. */
const CLAIM_WAIT_FRACTION = 0.8;

/** Runs completion requests concurrently. */
export class CompletionService {
  constructor(private readonly options: CompletionServiceOptions) {}

  /** Number of requests in progress. */
  get active(): number {
    return this.options.admission.active;
  }

  /**
   * Runs a completion request and returns its response, which may be a stream.
   *
   * @throws WoodbarrowError when the request is refused or fails before its response starts.
   */
  async complete(
    request: HttpRequest,
    path: string,
    tenant: CatalogTenant,
    requestId: string,
    guard?: RunGuard,
  ): Promise<HttpResponse> {
    const startedAt = this.options.clock.monotonic();
    const completion = readCompletionRequest(request, tenant);
    const release = this.options.admission.admit(
      tenant.name,
      tenant.partner,
      tenant.parameters.limits.concurrentRequests,
      this.options.catalog.partnerCount(),
    );
    try {
      const response = await this.run(request, requestId, path, tenant, completion, startedAt, guard);
      this.options.onResponse?.('served', this.options.clock.monotonic() - startedAt);
      return releaseAfterResponse(response, release);
    } catch (thrown) {
      release();
      const error = toWoodbarrowError(thrown);
      this.options.onResponse?.(error.kind, this.options.clock.monotonic() - startedAt);
      throw error;
    }
  }

  private async run(
    request: HttpRequest,
    requestId: string,
    path: string,
    tenant: CatalogTenant,
    completion: CompletionRequest,
    startedAt: number,
    guard: RunGuard | undefined,
  ): Promise<HttpResponse> {
    const claim = await this.claim(requestId, request, tenant, completion, guard?.jobId);
    if (claim !== undefined && 'answer' in claim) return claim.answer;
    const deadline = startedAt + completion.waitMs * (1 - MAX_CLOCK_RATE_ERROR);
    try {
      const response = await this.options.router.route({
        requestId,
        model: completion.target.model,
        adapter: completion.target.adapter?.name ?? '',
        path,
        body: request.body,
        streaming: completion.streaming,
        priority: completion.priorityClass.priority,
        deferrable: completion.priorityClass.deferrable,
        receivedAt: startedAt,
        deadline,
        runLimitMs: tenant.parameters.limits.runSeconds * 1000,
        repeatable: completion.repeatable && claim === undefined && guard === undefined,
        ...(claim === undefined && guard === undefined
          ? {}
          : { beforeDispatch: () => this.startClaims(claim, guard, deadline) }),
        affinity: completion.affinity,
        queueLimit: tenant.parameters.limits.queuedRequests,
        signal: request.signal,
      });
      return claim === undefined ? response : this.settleAfterResponse(response, claim);
    } catch (thrown) {
      const error = toWoodbarrowError(thrown);
      if (claim !== undefined) this.settle(claim, error.ran === 'no' ? 'released' : 'finished');
      throw error;
    }
  }

  /** States in the ledger that the request is about to run, so that a claim is only given to another while it has not. */
  private async startClaims(
    claim: HeldClaim | undefined,
    guard: RunGuard | undefined,
    deadline: number,
  ): Promise<void> {
    await guard?.beforeDispatch();
    if (claim === undefined) return;
    const { key, claimant } = claim;
    await this.options.claims.start({ key, claimant }, deadline - this.options.clock.monotonic());
  }

  /**
   * Claims the request's idempotency key, if it has one. Returns the claim to settle, or the stored response of an
   * earlier run.
   */
  private async claim(
    claimant: string,
    request: HttpRequest,
    tenant: CatalogTenant,
    completion: CompletionRequest,
    jobId: string | undefined,
  ): Promise<HeldClaim | { readonly answer: HttpResponse } | undefined> {
    if (completion.idempotencyKey === undefined) return undefined;
    const key = `${tenant.name}/${completion.idempotencyKey}`;
    const claim = {
      fingerprint: String(hashText(Buffer.from(request.body).toString('latin1'))),
      lifetimeMs: tenant.parameters.keyLifetimeSeconds * 1000,
    };
    const result = await this.options.claims.claim(
      {
        key,
        claimant,
        ...(this.options.local === undefined ? {} : { daemon: this.options.local }),
        ...claim,
        ...(jobId === undefined ? {} : { jobId }),
        ...(completion.idempotencyKeyAgeMs === undefined ? {} : { ageMs: completion.idempotencyKeyAgeMs }),
      },
      completion.waitMs * CLAIM_WAIT_FRACTION,
    );
    switch (result.outcome) {
      case 'granted':
        return { key, claimant, claim, jobId };
      case 'running':
        throw new WoodbarrowError('already_running', 'a request with this idempotency key is in progress');
      case 'mismatch':
        throw new WoodbarrowError('key_reused', 'this idempotency key was used for a different request');
      case 'unknown':
        throw new WoodbarrowError(
          'outcome_unknown',
          'cannot determine whether this idempotency key was used before',
        );
      case 'lost':
      case 'abandoned':
        throw new WoodbarrowError(
          'outcome_unknown',
          'the daemon that ran the request with this idempotency key was lost; the request may have run',
        );
      case 'finished':
        return { answer: await this.replay(result, tenant, completion.streaming) };
    }
  }

  /** Returns the response of the earlier run, as the ledger or the job that ran it has stored it. */
  private async replay(
    { answer, jobId }: ClaimResponse,
    tenant: CatalogTenant,
    streaming: boolean,
  ): Promise<HttpResponse> {
    if (answer !== undefined) return replayResponse(answer, streaming);
    const end = jobId === undefined ? undefined : await this.jobResult(jobId, tenant.name);
    if (end !== undefined) return { ...replayResponse(end.body, streaming), status: end.status };
    throw new WoodbarrowError(
      'outcome_unknown',
      'this request has already run, and its response is not stored',
    );
  }

  /** Returns the result of a job; undefined when the job is no longer stored. Throws `already_running` while it has none. */
  private async jobResult(jobId: string, tenant: string): Promise<JobEnd | undefined> {
    try {
      const end = await this.options.jobResult?.(jobId, tenant);
      if (end !== undefined) return end;
    } catch (error) {
      if (isKind(error, 'not_found')) return undefined;
      throw error;
    }
    throw new WoodbarrowError('already_running', 'the job with this idempotency key is in progress');
  }

  private settle({ jobId, ...claim }: HeldClaim, result: 'finished' | 'released', answer?: Uint8Array): void {
    const settling = this.options.claims.settle({
      ...claim,
      result,
      ...(answer === undefined || jobId !== undefined ? {} : { answer }),
    });
    settling.catch((error: unknown) => this.options.onTaskFailure?.('gateway.settle', error));
  }

  /** Settles the claim when the response is complete, and stores the response for repeated requests. */
  private settleAfterResponse(response: HttpResponse, claim: HeldClaim): HttpResponse {
    const { body } = response;
    if (body instanceof Uint8Array) {
      this.settle(claim, 'finished', storableBody(response.status, body));
      return response;
    }
    return { ...response, body: this.recordStream(body, response.status, claim) };
  }

  private async *recordStream(
    body: AsyncIterable<Uint8Array>,
    status: number,
    claim: HeldClaim,
  ): AsyncGenerator<Uint8Array> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    try {
      for await (const chunk of body) {
        size += chunk.byteLength;
        if (size <= MAX_STORED_RESPONSE_BYTES) chunks.push(chunk);
        yield chunk;
      }
    } finally {
      const recordedBody = Buffer.concat(chunks);
      const isComplete = size <= MAX_STORED_RESPONSE_BYTES && hasDoneEvent(recordedBody);
      this.settle(claim, 'finished', isComplete ? storableBody(status, recordedBody) : undefined);
    }
  }
}

function storableBody(status: number, body: Uint8Array): Uint8Array | undefined {
  return status === 200 && body.byteLength <= MAX_STORED_RESPONSE_BYTES ? body : undefined;
}

function replayResponse(storedBody: Uint8Array, streaming: boolean): HttpResponse {
  const contentType = streaming ? 'text/event-stream' : 'application/json';
  return {
    status: 200,
    headers: { 'content-type': contentType, 'x-woodbarrow-replayed': 'true' },
    body: storedBody,
  };
}

/** Releases the admission when the response has been sent or its stream has been aborted. */
function releaseAfterResponse(response: HttpResponse, release: () => void): HttpResponse {
  const { body } = response;
  if (body instanceof Uint8Array) {
    release();
    return response;
  }
  return { ...response, body: releaseAfterStream(body, release) };
}

async function* releaseAfterStream(
  body: AsyncIterable<Uint8Array>,
  release: () => void,
): AsyncGenerator<Uint8Array> {
  try {
    yield* body;
  } finally {
    release();
  }
}
