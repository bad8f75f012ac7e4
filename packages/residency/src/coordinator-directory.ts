/** Which daemon coordinates which zone, from what the coordinators claim again and again. */
import type { ZoneClaim } from '@woodbarrow/protocol';
import type { Clock } from '@woodbarrow/runtime';

/** A daemon that claims a zone. */
export interface Coordinator {
  readonly memberId: string;
  readonly address: string;
  readonly fence: number;
}

/** Milliseconds after which a claim that is not repeated is no longer believed. */
export const CLAIM_LIFETIME_MS = 1300;

interface Claim extends Coordinator {
  readonly at: number;
}

/** Claims by zone. */
export class CoordinatorDirectory {
  private readonly claims = new Map<string, Claim>();

  constructor(private readonly clock: Clock) {}

  /** Takes the claims of one daemon; zones that it claimed before and does not now are free. */
  accept(memberId: string, address: string, claims: readonly ZoneClaim[]): void {
    for (const [zone, known] of this.claims) {
      if (known.memberId === memberId && !claims.some((claim) => claim.zone === zone))
        this.claims.delete(zone);
    }
    for (const { zone, fence } of claims) {
      const known = this.claims.get(zone);
      if (known !== undefined && known.fence > fence && this.isFresh(known)) continue;
      this.claims.set(zone, { memberId, address, fence, at: this.clock.monotonic() });
    }
  }

  /** The coordinator of a zone, when one has claimed it lately. */
  of(zone: string): Coordinator | undefined {
    const claim = this.claims.get(zone);
    return claim !== undefined && this.isFresh(claim) ? claim : undefined;
  }

  private isFresh(claim: Claim): boolean {
    return this.clock.monotonic() - claim.at <= CLAIM_LIFETIME_MS;
  }
}
