/** Formats plain-text tables. */

/** Returns rows as aligned columns under headings; without rows, only the headings. */
export function formatTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [headings, ...rows];
  const widths = headings.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)));
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
