/** Parser of seed ranges on the command line. */

/** Returns the seeds of `A..B` (inclusive) or of a single `A`. @throws Error on any other text. */
export function parseSeeds(text: string): number[] {
  const match = /^(\d+)(?:\.\.(\d+))?$/.exec(text);
  if (match === null) throw new Error(`not a range of seeds: ${text}`);
  const first = Number(match[1]);
  const last = Number(match[2] ?? match[1]);
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
}
