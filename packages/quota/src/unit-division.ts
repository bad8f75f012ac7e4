/** Divides units among parties by weight, so that what one does not want goes to the others. */

/** A party to a division. */
export interface Party {
  /** Above 0. */
  readonly weight: number;
  /** Units that the party can use at most. */
  readonly wanted: number;
}

/**
 * Returns the units of each party, in the order given. No units are left over while a party wants
 * more, and no party gets less than the smaller of its wish and its share by weight.
 */
export function divideByWeight(units: number, parties: readonly Party[]): number[] {
  const given = parties.map(() => 0);
  let left = units;
  let open = [...parties.keys()].filter((index) => (parties[index]?.wanted ?? 0) > 0);
  while (left > 0 && open.length > 0) {
    const weightOf = (index: number): number => parties[index]?.weight ?? 0;
    const wantedBy = (index: number): number => parties[index]?.wanted ?? 0;
    const totalWeight = open.reduce((sum, index) => sum + weightOf(index), 0);
    const perWeight = left / totalWeight;
    const satisfied = open.filter((index) => wantedBy(index) <= perWeight * weightOf(index));
    // Without a party that wants less than its share, all get exactly their shares.
    const served = satisfied.length > 0 ? satisfied : open;
    for (const index of served) {
      const share = satisfied.length > 0 ? wantedBy(index) : perWeight * weightOf(index);
      given[index] = share;
      left -= share;
    }
    if (satisfied.length === 0) break;
    open = open.filter((index) => !satisfied.includes(index));
  }
  return given;
}
