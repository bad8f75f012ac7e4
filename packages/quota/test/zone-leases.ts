/** Simulates zone leases: which daemon may allocate for which zone, and the claims that daemons receive. */
import type { SimulatedNode } from '@woodbarrow/peering';
import type { SimulatedWorld } from '@woodbarrow/runtime';
import type { RelayedClaim } from '@woodbarrow/protocol';
import type { ZoneAuthority } from '../src/index.js';

/** Time until another daemon may act for a zone whose holder has ended, in milliseconds. */
const TAKEOVER_DELAY_MS = 5000;

/** A daemon that may hold zone leases. */
export interface ZoneDaemon {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  readonly node: SimulatedNode;
}

interface ZoneLease {
  /** Index of the daemon that holds the lease; undefined if there is none. */
  holder: number | undefined;
  fence: number;
  /** Virtual time from which the holder may act. */
  actsAt: number;
}

/** Simulates the leases of some zones. Initially, the daemon with a zone's index holds its lease. */
export class ZoneLeases {
  private readonly leases = new Map<string, ZoneLease>();

  constructor(
    private readonly world: SimulatedWorld,
    zones: readonly string[],
    private readonly daemons: readonly ZoneDaemon[],
  ) {
    zones.forEach((zone, index) => {
      this.leases.set(zone, { holder: index, fence: 1, actsAt: 0 });
    });
  }

  /** Transfers the zones of an ended daemon to other daemons once it has certainly stopped. */
  takeOverFrom(index: number): void {
    for (const [zone, granting] of this.leases) {
      if (granting.holder === index) this.takeOver(zone, granting, index);
    }
  }

  /** Returns the authority of a daemon over a zone. */
  authorityOf(zone: string, index: number): ZoneAuthority | undefined {
    const granting = this.leases.get(zone);
    if (granting?.holder !== index) return undefined;
    const { fence, actsAt } = granting;
    return {
      fence,
      isFirstHold: fence === 1,
      mayAct: () => granting.holder === index && this.world.now >= actsAt,
      actsInMs: () => Math.max(0, actsAt - this.world.now),
    };
  }

  /** Returns the lease claims as daemons receive them. */
  claims(): RelayedClaim[] {
    const claims: RelayedClaim[] = [];
    for (const [zone, { holder, fence }] of this.leases) {
      const daemon = holder === undefined ? undefined : this.daemons[holder];
      if (daemon === undefined) continue;
      const common = { storeLoads: 0, loading: [], leaseRevision: 1, confirmedAgoMs: 0 };
      const { address } = daemon.node.peers;
      claims.push({ zone, holder: daemon.name, address, fence, ...common });
    }
    return claims;
  }

  private takeOver(zone: string, granting: ZoneLease, from: number): void {
    granting.holder = undefined;
    this.world.schedule(TAKEOVER_DELAY_MS, () => {
      const next = this.daemons.find((daemon) => daemon.zone === zone && daemon.index !== from);
      granting.holder = next?.index;
      granting.fence += 1;
      granting.actsAt = this.world.now;
    });
  }
}
