/** Tracks which daemon coordinates which zone, from the claims that coordinators repeat. */
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
  /** Number of loads from the weight store that were in progress at its last report. */
  readonly storeLoads: number;
  /** Loads that were in progress at its last report, with the remaining time as of now. */
  readonly loading: readonly LoadUnderWay[];
}

/** Milliseconds after which a claim that is not repeated expires. */
export const CLAIM_LIFETIME_MS = 1300;

/** Whose claims a source reports. */
export type ClaimScope = ReportScope | 'own';

interface SourceClaims {
  readonly scope: ClaimScope;
  /** Time of the report, in elapsed time. */
  readonly at: number;
  readonly claims: readonly RelayedClaim[];
}

/** A reported confirmation of a zone's lease, with the position of the lease's record. */
export interface ReportedConfirmation extends StorePosition {
  /** Latest possible start of the confirming write, in monotonic time. */
  readonly at: number;
}

/** Claims by the source that reported them. */
export class CoordinatorDirectory {
  private readonly sources = new Map<string, SourceClaims>();
  /** Newest confirmation of each zone's lease; retained when the claims expire. */
  private readonly confirmations = new Map<string, ReportedConfirmation>();

  constructor(
    private readonly clock: Clock,
    private readonly selfId: string,
  ) {}

  /** Replaces the claims of a source. Zones that it no longer reports become unclaimed. */
  accept(source: string, scope: ClaimScope, claims: readonly RelayedClaim[]): void {
    // Others may still report claims of an earlier run of this daemon.
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
    // Claims are relayed, so the write began at this time or earlier.
    const beganAt = at - confirmedAgoMs;
    const earliest = previous !== undefined && order === 0 ? Math.min(previous.at, beganAt) : beganAt;
    this.confirmations.set(zone, { ...position, at: earliest });
  }

  /** Last reported confirmation of a zone's lease, even if its claim has expired. */
  lastConfirmation(zone: string): ReportedConfirmation | undefined {
    return this.confirmations.get(zone);
  }

  /** Returns the coordinator of a zone; undefined without an unexpired claim. */
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
    const loading = best.loading.map((load) => ({ ...load, readyInMs: load.readyInMs - ageMs }));
    return { memberId: holder, address, fence, storeLoads, loading };
  }

  /** Unexpired claims of the sources of the given scopes. */
  claims(scopes: readonly ClaimScope[]): RelayedClaim[] {
    const fresh: RelayedClaim[] = [];
    for (const { scope, claims } of this.freshSources()) {
      if (scopes.includes(scope)) fresh.push(...claims);
    }
    return fresh;
  }

  /** Removes the claims that other daemons reported; used when reports start to arrive by another path. */
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
