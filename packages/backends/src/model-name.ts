/** Names of models and adapters, and the versions of adapters. */

/** A copy of an adapter, as a worker holds it. Two versions of one adapter are two copies. */
export interface AdapterCopy {
  readonly name: string;
  /** Absent where the worker does not tell it. */
  readonly version?: number;
}

/** A model, or an adapter of one, that a request asks for. */
export interface ModelTarget {
  readonly model: string;
  readonly adapter?: string;
  /** The only version of the adapter that will do; any when absent. */
  readonly adapterVersion?: number;
}

/** A target with an adapter. */
export interface AdapterTarget extends ModelTarget {
  readonly adapter: string;
}

/** Text form of a target, `model`, `model/adapter` or `model/adapter@version`; unique for each target. */
export function targetKey({ model, adapter, adapterVersion }: ModelTarget): string {
  if (adapter === undefined) return model;
  const version = adapterVersion === undefined ? '' : `@${String(adapterVersion)}`;
  return `${model}/${adapter}${version}`;
}

/** Whether a target names an adapter. */
export function hasAdapter(target: ModelTarget): target is AdapterTarget {
  return target.adapter !== undefined;
}

/** The target that just this copy serves. */
export function targetOfCopy(model: string, { name, version }: AdapterCopy): AdapterTarget {
  return version === undefined ? { model, adapter: name } : { model, adapter: name, adapterVersion: version };
}

/** Whether a copy serves a target of its model. */
export function servesTarget(copy: AdapterCopy, { adapter, adapterVersion }: ModelTarget): boolean {
  return copy.name === adapter && (adapterVersion === undefined || adapterVersion === copy.version);
}

/** Keys of all targets that a copy serves: of its version, and of any. */
export function keysServedBy(model: string, copy: AdapterCopy): readonly string[] {
  const anyVersion = targetKey({ model, adapter: copy.name });
  const ownVersion = targetKey(targetOfCopy(model, copy));
  return ownVersion === anyVersion ? [anyVersion] : [anyVersion, ownVersion];
}
