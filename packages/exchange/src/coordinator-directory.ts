/** Which daemon coordinates which zone, from what the coordinators claim again and again. */
import type { ReportScope } from '@woodbarrow/backends';
import type { RelayedClaim } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** A daemon that claims a zone. */
export interface Coordinator {
  readonly memberId: string;
  readonly address: string;
  readonly fence: number;
}

/** Milliseconds after which a claim that is not repeated is no longer believed. */
export const CLAIM_LIFETIME_MS = 1300;

/** For whom a source of claims speaks. */
export type ClaimScope = ReportScope | 'own';

interface SourceClaims {
  readonly scope: ClaimScope;
  readonly at: number;
  readonly claims: readonly RelayedClaim[];
}

/** Claims by the source that told them. */
export class CoordinatorDirectory {
  private readonly sources = new Map<string, SourceClaims>();

  constructor(
    private readonly clock: Clock,
    private readonly selfId: string,
  ) {}

  /** Takes the claims that a source tells of; zones that it told before and does not now are free. */
  accept(source: string, scope: ClaimScope, claims: readonly RelayedClaim[]): void {
    // Others may still tell of claims of this daemon's former run.
    const believed = scope === 'own' ? claims : claims.filter((claim) => claim.holder !== this.selfId);
    this.sources.set(source, { scope, at: this.clock.monotonic(), claims: believed });
  }

  /** The coordinator of a zone, when one has claimed it lately. */
  of(zone: string): Coordinator | undefined {
    let best: RelayedClaim | undefined;
    for (const { claims } of this.freshSources()) {
      const claim = claims.find((candidate) => candidate.zone === zone);
      if (claim !== undefined && claim.fence >= (best?.fence ?? -Infinity)) best = claim;
    }
    return best === undefined
      ? undefined
      : { memberId: best.holder, address: best.address, fence: best.fence };
  }

  /** Fresh claims told by sources of the given scopes. */
  claims(scopes: readonly ClaimScope[]): RelayedClaim[] {
    const told: RelayedClaim[] = [];
    for (const { scope, claims } of this.freshSources()) {
      if (scopes.includes(scope)) told.push(...claims);
    }
    return told;
  }

  /** Drops what others told, when it is to come another way. */
  dropReports(): void {
    for (const [source, { scope }] of this.sources) {
      if (scope !== 'own') this.sources.delete(source);
    }
  }

  private *freshSources(): Generator<SourceClaims> {
    const oldest = this.clock.monotonic() - CLAIM_LIFETIME_MS;
    for (const [source, told] of this.sources) {
      if (told.at >= oldest) yield told;
      else this.sources.delete(source);
    }
  }
}
