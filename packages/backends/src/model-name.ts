/** A model, or an adapter of one, that a request asks for. */
export interface ModelTarget {
  readonly model: string;
  readonly adapter?: string;
}

/** Text form of a target, `model` or `model/adapter`; unique for each target. */
export function targetKey(target: ModelTarget): string {
  return target.adapter === undefined ? target.model : `${target.model}/${target.adapter}`;
}
