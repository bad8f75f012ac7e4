/** Names of models and adapters, and versions of adapters. */

/** A copy of an adapter on a worker. Two versions of one adapter are two copies. */
export interface AdapterCopy {
  readonly name: string;
  /** Version of the adapter; absent if the worker does not report it. */
  readonly version?: number;
}

/** A model, or an adapter of one, that a request addresses. */
export interface ModelTarget {
  readonly model: string;
  readonly adapter?: string;
  /** Required version of the adapter; absent if any version is acceptable. */
  readonly adapterVersion?: number;
}

/** A target with an adapter. */
export interface AdapterTarget extends ModelTarget {
  readonly adapter: string;
}

/** Returns the unique text form of a target: `model`, `model/adapter` or `model/adapter@version`. */
export function targetKey({ model, adapter, adapterVersion }: ModelTarget): string {
  if (adapter === undefined) return model;
  const version = adapterVersion === undefined ? '' : `@${String(adapterVersion)}`;
  return `${model}/${adapter}${version}`;
}

/** Whether a target names an adapter. */
export function hasAdapter(target: ModelTarget): target is AdapterTarget {
  return target.adapter !== undefined;
}

/** Returns the most specific target that a copy serves. */
export function targetOfCopy(model: string, { name, version }: AdapterCopy): AdapterTarget {
  return version === undefined ? { model, adapter: name } : { model, adapter: name, adapterVersion: version };
}

/** Whether a copy serves a target of its model. */
export function servesTarget(copy: AdapterCopy, { adapter, adapterVersion }: ModelTarget): boolean {
  return copy.name === adapter && (adapterVersion === undefined || adapterVersion === copy.version);
}

/** Returns the keys of all targets that a copy serves: that without a version, and that with its own version. */
export function keysServedBy(model: string, copy: AdapterCopy): readonly string[] {
  const anyVersion = targetKey({ model, adapter: copy.name });
  const ownVersion = targetKey(targetOfCopy(model, copy));
  return ownVersion === anyVersion ? [anyVersion] : [anyVersion, ownVersion];
}
