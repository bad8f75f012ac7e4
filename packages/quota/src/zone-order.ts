/** Order in which a daemon calls the allocators of the zones. */
import { rankByRendezvous } from '@woodbarrow/coordination';

/** Place of a daemon among the zones. */
export interface ZonePlace {
  /** Name of the daemon. */
  readonly daemon: string;
  /** Zone of the daemon. */
  readonly zone: string;
  /** Zones of the deployment. */
  readonly zones: readonly string[];
}

/**
 * Returns the daemon's own zone, then the others in an order that depends on the daemon and the subject, which spreads
 * the load over the allocators.
 */
export function zonesInOrder({ daemon, zone: own, zones }: ZonePlace, subject: string): string[] {
  const others = zones.filter((zone) => zone !== own).map((id) => ({ id }));
  const ranked = rankByRendezvous(`${subject} ${daemon}`, others).map(({ id }) => id);
  return zones.includes(own) ? [own, ...ranked] : ranked;
}

/** Returns the zone that is first for a subject, the same for all daemons; undefined without zones. */
export function poolZoneOf(subject: string, zones: readonly string[]): string | undefined {
  return rankByRendezvous(
    subject,
    zones.map((id) => ({ id })),
  )[0]?.id;
}
