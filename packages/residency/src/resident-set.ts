/** A coordinator's view of one worker: resident models, ordered changes, and committed memory. */
import {
  servesTarget,
  targetKey,
  targetOfCopy,
  type AdapterCopy,
  type AdapterTarget,
  type HeldModel,
  type ModelDefinition,
  type ModelTarget,
} from '@woodbarrow/backends';

/** State of a model on a worker. It occupies memory in all of them. */
export type ResidentState = 'resident' | 'loading' | 'unloading';

/** A copy of an adapter on a worker; it occupies a slot in all states. */
export interface ResidentAdapter {
  readonly copy: AdapterCopy;
  readonly state: ResidentState;
}

/** A model on a worker. */
export interface ResidentModel {
  readonly definition: ModelDefinition;
  state: ResidentState;
  /** Monotonic time of the last change of state. */
  since: number;
  /**
   * Monotonic time since which it receives no new requests, as it is evicted by the next planned load on its
   * worker; undefined while it accepts requests.
   */
  retiredAt?: number | undefined;
  /** Copies by the key of the exact target that each serves. */
  readonly adapters: Map<string, ResidentAdapter>;
}

/** The models of one worker. */
export class ResidentSet {
  readonly models = new Map<string, ResidentModel>();

  /** Memory occupied by weights in all states, in MB. */
  get committedMb(): number {
    let sum = 0;
    for (const model of this.models.values()) sum += model.definition.weightsMb;
    return sum;
  }

  /** Number of occupied adapter slots, including loads in progress. */
  get adapterCount(): number {
    let count = 0;
    for (const model of this.models.values()) count += model.adapters.size;
    return count;
  }

  /** Whether a target can serve requests. */
  isResident(target: ModelTarget): boolean {
    const held = this.models.get(target.model);
    if (held?.state !== 'resident') return false;
    return target.adapter === undefined || this.adapterOf(target)?.state === 'resident';
  }

  /** Returns the copy that serves a target with an adapter, preferring a resident one. */
  adapterOf(target: ModelTarget): ResidentAdapter | undefined {
    const copies = [...(this.models.get(target.model)?.adapters.values() ?? [])];
    const serving = copies.filter(({ copy }) => servesTarget(copy, target));
    return serving.find(({ state }) => state === 'resident') ?? serving[0];
  }

  /** Sets the state of the copy that a target names, by version if it names one. */
  setAdapter(target: AdapterTarget, state: ResidentState): void {
    const { model, adapter: name, adapterVersion: version } = target;
    const copy = version === undefined ? { name } : { name, version };
    this.models.get(model)?.adapters.set(targetKey(target), { copy, state });
  }

  /** Removes the copy that a target names. */
  dropAdapter(target: AdapterTarget): void {
    this.models.get(target.model)?.adapters.delete(targetKey(target));
  }

  /** Sets the state of a model. */
  setModel(definition: ModelDefinition, state: ResidentState, now: number): void {
    const held = this.models.get(definition.name);
    if (held === undefined) {
      this.models.set(definition.name, { definition, state, since: now, adapters: new Map() });
      return;
    }
    held.state = state;
    held.since = now;
    held.retiredAt = undefined;
  }

  /** Replaces the content by a worker's report; what it does not list is removed. */
  replace(held: readonly HeldModel[], definitions: ReadonlyMap<string, ModelDefinition>, now: number): void {
    const listed = new Set(held.map((model) => model.name));
    for (const name of [...this.models.keys()]) {
      if (!listed.has(name)) this.models.delete(name);
    }
    for (const { name, adapters } of held) {
      const definition = definitions.get(name);
      if (definition === undefined) continue;
      if (this.models.get(name)?.state !== 'resident') this.setModel(definition, 'resident', now);
      this.replaceAdapters(name, adapters);
    }
  }

  private replaceAdapters(model: string, adapters: readonly AdapterCopy[]): void {
    const held = this.models.get(model);
    if (held === undefined) return;
    held.adapters.clear();
    for (const copy of adapters) {
      held.adapters.set(targetKey(targetOfCopy(model, copy)), { copy, state: 'resident' });
    }
  }
}
