/** Line-by-line differences between two texts, based on their longest common subsequence. */

/** Returns removed lines with prefix `- ` and added lines with prefix `+ `, in order, without unchanged lines. */
export function diffLines(before: readonly string[], after: readonly string[]): string[] {
  const lengths = commonLengths(before, after);
  const result: string[] = [];
  let left = 0;
  let right = 0;
  while (left < before.length || right < after.length) {
    if (left < before.length && right < after.length && before[left] === after[right]) {
      left += 1;
      right += 1;
      continue;
    }
    const skipLeft = lengths[left + 1]?.[right] ?? -1;
    const skipRight = lengths[left]?.[right + 1] ?? -1;
    if (left < before.length && (right >= after.length || skipLeft >= skipRight)) {
      result.push(`- ${before[left] ?? ''}`);
      left += 1;
    } else {
      result.push(`+ ${after[right] ?? ''}`);
      right += 1;
    }
  }
  return result;
}

/** Returns the length of the longest common subsequence of the two suffixes for each pair of start indexes. */
function commonLengths(before: readonly string[], after: readonly string[]): number[][] {
  const lengths = Array.from({ length: before.length + 1 }, () =>
    new Array<number>(after.length + 1).fill(0),
  );
  for (let left = before.length - 1; left >= 0; left -= 1) {
    const row = lengths[left] as number[];
    const below = lengths[left + 1] as number[];
    for (let right = after.length - 1; right >= 0; right -= 1) {
      const same = before[left] === after[right];
      row[right] = same ? (below[right + 1] ?? 0) + 1 : Math.max(below[right] ?? 0, row[right + 1] ?? 0);
    }
  }
  return lengths;
}
