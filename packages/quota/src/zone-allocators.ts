/**
 * Manages one allocator for each zone whose lease this daemon holds. Each new hold of a lease gets a
 * new allocator.
 */
import type { Clock } from '@woodbarrow/runtime';

/** Authority to act for a zone, derived from its lease. */
export interface ZoneAuthority {
  /** Differs between two holds of the lease. */
  readonly fence: number;
  /** Whether this daemon may act for the zone at this moment. */
  mayAct(): boolean;
  /** Returns the milliseconds until this daemon may act. Until then the previous holder may. */
  actsInMs(): number;
  /** Whether nobody can have acted for the zone before this hold. @default false */
  readonly isFirstHold?: boolean;
}

/** Options of {@link ZoneAllocators}. */
export interface ZoneAllocatorsOptions<Allocator> {
  /** The lease of a zone, while it is held here. */
  readonly authorityOf: (zone: string) => ZoneAuthority | undefined;
  /**
   * Creates an allocator.
   *
   * @param startsAt Monotonic time from which its buckets fill. By then the previous allocator has
   * stopped granting.
   * @param isFirst Whether there was no previous allocator for the zone.
   */
  readonly create: (startsAt: number, zone: string, isFirst: boolean) => Allocator;
  readonly onCreated?: (zone: string, fence: number, startsInMs: number) => void;
  readonly clock: Clock;
}

interface HeldAllocator<Allocator> {
  readonly fence: number;
  readonly allocator: Allocator;
}

/** Allocators of one daemon, by zone. */
export class ZoneAllocators<Allocator> {
  private readonly held = new Map<string, HeldAllocator<Allocator>>();
  /** Zones that have had an allocator here. */
  private readonly known = new Set<string>();

  constructor(private readonly options: ZoneAllocatorsOptions<Allocator>) {}

  /** Returns the allocator of a zone whose lease this daemon holds, even if it may not act yet. */
  of(zone: string): Allocator | undefined {
    const { authorityOf, create, onCreated, clock } = this.options;
    const authority = authorityOf(zone);
    if (authority === undefined) {
      this.held.delete(zone);
      return undefined;
    }
    const held = this.held.get(zone);
    if (held?.fence === authority.fence) return held.allocator;
    const startsInMs = authority.actsInMs();
    const isFirst = authority.isFirstHold === true && !this.known.has(zone);
    this.known.add(zone);
    const allocator = create(clock.monotonic() + startsInMs, zone, isFirst);
    this.held.set(zone, { fence: authority.fence, allocator });
    onCreated?.(zone, authority.fence, startsInMs);
    return allocator;
  }

  /** Returns the allocator of a zone while this daemon may act for it. */
  activeOf(zone: string): Allocator | undefined {
    const allocator = this.of(zone);
    return this.options.authorityOf(zone)?.mayAct() === true ? allocator : undefined;
  }

  /** Returns the allocators created for zones that were held at their last lookup. */
  all(): Allocator[] {
    return [...this.held.values()].map(({ allocator }) => allocator);
  }
}
