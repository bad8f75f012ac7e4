/** One granter for each zone whose lease this daemon holds; another hold of a lease begins with a new one. */
import type { Clock } from '@woodbarrow/runtime';

/** Right to act for a zone, as its lease gives it. */
export interface ZoneAuthority {
  /** Differs between two holds of the lease. */
  readonly fence: number;
  /** Whether this daemon may act for the zone at this moment. */
  mayAct(): boolean;
  /** Milliseconds until it may; the holder before may act until then. */
  actsInMs(): number;
}

/** Options of {@link ZoneAllocators}. */
export interface ZoneAllocatorsOptions<Granter> {
  /** The lease of a zone, while it is held here. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  /** @param startsAt Monotonic time from which it may hand out what comes in: the one before it has stopped then. */
  readonly create: (startsAt: number) => Granter;
  readonly onCreated: (zone: string, fence: number, startsInMs: number) => void;
  readonly clock: Clock;
}

interface HeldAllocator<Granter> {
  readonly fence: number;
  readonly allocator: Granter;
}

/** Granters of one daemon. */
export class ZoneAllocators<Granter> {
  private readonly held = new Map<string, HeldAllocator<Granter>>();

  constructor(private readonly options: ZoneAllocatorsOptions<Granter>) {}

  /** The granter of a zone, as soon as this daemon holds its lease, if perhaps not allowed to act yet. */
  of(zone: string): Granter | undefined {
    const { authorityOf, create, onCreated, clock } = this.options;
    const authority = authorityOf(zone);
    if (authority === undefined) {
      this.held.delete(zone);
      return undefined;
    }
    const known = this.held.get(zone);
    if (known?.fence === authority.fence) return known.allocator;
    const startsInMs = authority.actsInMs();
    const allocator = create(clock.monotonic() + startsInMs);
    this.held.set(zone, { fence: authority.fence, allocator });
    onCreated(zone, authority.fence, startsInMs);
    return allocator;
  }

  /** The granter of a zone, while this daemon may act for it. */
  activeOf(zone: string): Granter | undefined {
    const granter = this.of(zone);
    return this.options.authorityOf(zone)?.mayAct() === true ? granter : undefined;
  }

  /** Granters of the zones held when last asked for. */
  all(): Granter[] {
    return [...this.held.values()].map(({ allocator }) => allocator);
  }
}
