/** Serves completion requests: admission, claim, routing, settlement. */
import type { Catalog, CatalogTenant } from '@woodbarrow/configuration';
import type { ClaimsClient } from '@woodbarrow/coordination';
import { WoodbarrowError, toWoodbarrowError } from '@woodbarrow/errors';
import { hashText, type Clock, type HttpRequest, type HttpResponse } from '@woodbarrow/runtime';
import { hasEndMark, type Admission, type Router } from '@woodbarrow/routing';
import { readCompletionRequest, type CompletionRequest } from './completion-request.js';

/** Options of {@link CompletionService}. */
export interface CompletionServiceOptions {
  readonly catalog: Catalog;
  readonly router: Router;
  readonly admission: Admission;
  readonly claims: ClaimsClient;
  readonly clock: Clock;
  /** Called when a request is answered, for counters. */
  readonly onAnswer?: (kind: string, waitedMs: number) => void;
}

/** A key that this request holds at the ledger. */
interface HeldClaim {
  readonly key: string;
  readonly claimant: string;
}

/** Largest answer kept for repeats of its key, in bytes. */
const MAX_STORED_RESPONSE_BYTES = 65_536;
/** This daemon's clock may be slow by this share; a long wait ends that much earlier by it. */
const MAX_CLOCK_RATE_ERROR = 0.001;
/** Longest time spent on a claim, as a share of the allowed wait. */
const CLAIM_WAIT_FRACTION = 0.8;

/** Runs one completion request after another, many at once. */
export class CompletionService {
  constructor(private readonly options: CompletionServiceOptions) {}

  /** Requests in progress. */
  get active(): number {
    return this.options.admission.active;
  }

  /** @throws WoodbarrowError */
  async complete(
    request: HttpRequest,
    path: string,
    tenant: CatalogTenant,
    requestId: string,
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
      const response = await this.run(request, requestId, path, tenant, completion, startedAt);
      this.options.onAnswer?.('served', this.options.clock.monotonic() - startedAt);
      return releaseAfterResponse(response, release);
    } catch (thrown) {
      release();
      const error = toWoodbarrowError(thrown);
      this.options.onAnswer?.(error.kind, this.options.clock.monotonic() - startedAt);
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
  ): Promise<HttpResponse> {
    const claim = await this.claim(requestId, request, tenant, completion);
    if (claim !== undefined && 'answer' in claim) return claim.answer;
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
        deadline: startedAt + completion.waitMs * (1 - MAX_CLOCK_RATE_ERROR),
        runLimitMs: tenant.parameters.limits.runSeconds * 1000,
        repeatable: completion.repeatable && claim === undefined,
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

  /** Claims the request's key, if it has one: the claim to settle, or the stored answer of an earlier run. */
  private async claim(
    claimant: string,
    request: HttpRequest,
    tenant: CatalogTenant,
    completion: CompletionRequest,
  ): Promise<HeldClaim | { readonly answer: HttpResponse } | undefined> {
    if (completion.idempotencyKey === undefined) return undefined;
    const key = `${tenant.name}/${completion.idempotencyKey}`;
    const result = await this.options.claims.claim(
      {
        key,
        claimant,
        fingerprint: String(hashText(Buffer.from(request.body).toString('latin1'))),
        lifetimeMs: tenant.parameters.keyLifetimeSeconds * 1000,
        ...(completion.idempotencyKeyAgeMs === undefined ? {} : { ageMs: completion.idempotencyKeyAgeMs }),
      },
      completion.waitMs * CLAIM_WAIT_FRACTION,
    );
    switch (result.outcome) {
      case 'granted':
        return { key, claimant };
      case 'running':
        throw new WoodbarrowError('already_running', 'a request with this idempotency key is in progress');
      case 'mismatch':
        throw new WoodbarrowError('key_reused', 'this idempotency key was used for another request');
      case 'unknown':
        throw new WoodbarrowError(
          'outcome_unknown',
          'it cannot be told whether this idempotency key was used before',
        );
      case 'finished':
        if (result.answer === undefined) {
          throw new WoodbarrowError(
            'outcome_unknown',
            'this request has run before, and its answer is not kept',
          );
        }
        return { answer: replayResponse(result.answer, completion.streaming) };
    }
  }

  private settle(claim: HeldClaim, result: 'finished' | 'released', answer?: Uint8Array): void {
    void this.options.claims.settle({ ...claim, result, ...(answer === undefined ? {} : { answer }) });
  }

  /** Keeps the answer for repeats once it has gone out whole. */
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
      const answer = Buffer.concat(chunks);
      const isComplete = size <= MAX_STORED_RESPONSE_BYTES && hasEndMark(answer);
      this.settle(claim, 'finished', isComplete ? storableBody(status, answer) : undefined);
    }
  }
}

function storableBody(status: number, body: Uint8Array): Uint8Array | undefined {
  return status === 200 && body.byteLength <= MAX_STORED_RESPONSE_BYTES ? body : undefined;
}

function replayResponse(answer: Uint8Array, streaming: boolean): HttpResponse {
  const contentType = streaming ? 'text/event-stream' : 'application/json';
  return {
    status: 200,
    headers: { 'content-type': contentType, 'x-woodbarrow-replayed': 'true' },
    body: answer,
  };
}

/** Ends the admission when the answer has gone out, whole or not. */
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
