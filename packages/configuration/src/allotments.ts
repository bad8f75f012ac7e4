/** Splits the replica limit of a model over zones, so that each zone can decide independently. */
import { rankByRendezvous } from '@woodbarrow/coordination';
import type { ModelParameters } from './template-schema.js';

/** Maximum number of replicas of a model that one zone may load. */
export interface ZoneAllotment {
  readonly zone: string;
  readonly replicas: number;
}

/**
 * Splits a model's replica maximum over zones, round-robin in rendezvous hash order, within the limit per zone.
 * Changing the maximum only adds or removes replicas at the end of that order, so no replica moves between zones.
 */
export function splitOverZones(
  modelId: string,
  model: ModelParameters,
  zones: readonly string[],
): ZoneAllotment[] {
  const ranked = rankByRendezvous(
    modelId,
    zones.map((zone) => ({ id: zone })),
  );
  const replicasByZone = new Map<string, number>(ranked.map((zone) => [zone.id, 0]));
  let remaining = model.replicas.maximum;
  for (let round = 0; round < model.replicas.maximumPerZone && remaining > 0; round += 1) {
    for (const zone of ranked) {
      if (remaining === 0) break;
      replicasByZone.set(zone.id, (replicasByZone.get(zone.id) ?? 0) + 1);
      remaining -= 1;
    }
  }
  return ranked
    .map((zone) => ({ zone: zone.id, replicas: replicasByZone.get(zone.id) ?? 0 }))
    .filter((allotment) => allotment.replicas > 0);
}
