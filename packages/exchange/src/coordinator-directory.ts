/** Which daemon coordinates which zone, from what the coordinators claim again and again. */
import type { ReportScope } from '@woodbarrow/backends';
import {
  compareStorePositions,
  type LoadUnderWay,
  type RelayedClaim,
  type StorePosition,
} from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** A daemon that claims a zone. */
export interface Coordinator {
  readonly memberId: string;
  readonly address: string;
  readonly fence: number;
  /** Loads from the weight store that it had under way when it last told. */
  readonly storeLoads: number;
  /** Loads that it had under way when it last told, with the time left now. */
  readonly loading: readonly LoadUnderWay[];
}

/** Milliseconds after which a claim that is not repeated is no longer believed. */
export const CLAIM_LIFETIME_MS = 1300;

/** For whom a source of claims speaks. */
export type ClaimScope = ReportScope | 'own';

interface SourceClaims {
  readonly scope: ClaimScope;
  /** When it told, in elapsed time. */
  readonly at: number;
  readonly claims: readonly RelayedClaim[];
}

/** A confirmation of a zone's lease that its holder told, with the position of the lease's record. */
export interface ReportedConfirmation extends StorePosition {
  /** Monotonic time at which the confirming write had begun at the latest. */
  readonly at: number;
}

/** Claims by the source that told them. */
export class CoordinatorDirectory {
  private readonly sources = new Map<string, SourceClaims>();
  /** Newest confirmation of each zone's lease, kept when its claims lapse. */
  private readonly confirmations = new Map<string, ReportedConfirmation>();

  constructor(
    private readonly clock: Clock,
    private readonly selfId: string,
  ) {}

  /** Takes the claims that a source tells of; zones that it told before and does not now are free. */
  accept(source: string, scope: ClaimScope, claims: readonly RelayedClaim[]): void {
    // Others may still tell of claims of this daemon's former run.
    const accepted = scope === 'own' ? claims : claims.filter((claim) => claim.holder !== this.selfId);
    const at = this.clock.monotonic();
    this.sources.set(source, { scope, at: this.clock.elapsed(), claims: accepted });
    for (const claim of accepted) this.recordConfirmation(claim, at);
  }

  private recordConfirmation(
    { zone, leaseEra, leaseRevision, confirmedAgoMs }: RelayedClaim,
    at: number,
  ): void {
    const position = { era: leaseEra ?? 0, revision: leaseRevision };
    const previous = this.confirmations.get(zone);
    const order = previous === undefined ? 1 : compareStorePositions(position, previous);
    if (order < 0) return;
    // Claims are passed on, so the write began no later than this, and perhaps earlier.
    const beganAt = at - confirmedAgoMs;
    const earliest = previous !== undefined && order === 0 ? Math.min(previous.at, beganAt) : beganAt;
    this.confirmations.set(zone, { ...position, at: earliest });
  }

  /** The last confirmation of a zone's lease that its holder told, also when its claim has lapsed. */
  lastConfirmation(zone: string): ReportedConfirmation | undefined {
    return this.confirmations.get(zone);
  }

  /** The coordinator of a zone, when one has claimed it lately. */
  of(zone: string): Coordinator | undefined {
    let best: RelayedClaim | undefined;
    let receivedAt = 0;
    for (const { claims, at } of this.freshSources()) {
      const claim = claims.find((candidate) => candidate.zone === zone);
      if (claim === undefined || claim.fence < (best?.fence ?? -Infinity)) continue;
      best = claim;
      receivedAt = at;
    }
    if (best === undefined) return undefined;
    const { holder, address, fence, storeLoads } = best;
    const ageMs = this.clock.elapsed() - receivedAt;
    const loading = best.loading.map(({ model, readyInMs }) => ({ model, readyInMs: readyInMs - ageMs }));
    return { memberId: holder, address, fence, storeLoads, loading };
  }

  /** Fresh claims told by sources of the given scopes. */
  claims(scopes: readonly ClaimScope[]): RelayedClaim[] {
    const fresh: RelayedClaim[] = [];
    for (const { scope, claims } of this.freshSources()) {
      if (scopes.includes(scope)) fresh.push(...claims);
    }
    return fresh;
  }

  /** Drops what others told, when it is to come another way. */
  dropReports(): void {
    for (const [source, { scope }] of this.sources) {
      if (scope !== 'own') this.sources.delete(source);
    }
  }

  private *freshSources(): Generator<SourceClaims> {
    const oldest = this.clock.elapsed() - CLAIM_LIFETIME_MS;
    for (const [source, entry] of this.sources) {
      if (entry.at >= oldest) yield entry;
      else this.sources.delete(source);
    }
  }
}
