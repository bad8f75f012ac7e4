/** Returns the key of a model in one scope, such as a service or a zone. */
export function storeKey(scope: string, model: string): string {
  return `${scope} ${model}`;
}
