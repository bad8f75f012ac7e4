/** JSON Merge Patch (RFC 7396). */

/** Returns `target` with `patch` applied: null removes a member, objects are merged, other values replace. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) return patch;
  const result: Record<string, unknown> = isObject(target) ? { ...target } : {};
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) Reflect.deleteProperty(result, name);
    else result[name] = mergePatch(result[name], value);
  }
  return result;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
