// Statistics and text tables of the trials.

const COLUMN_CHARS = 11;

/** The `share` quantile of the values, without interpolation; 0 when there are none. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** A row of a text table with right-aligned columns; fractions are rounded to one decimal. */
export function row(...cells: readonly (string | number)[]): string {
  return cells
    .map(cell => (typeof cell === 'number' ? formatNumber(cell) : cell))
    .map(cell => cell.padStart(COLUMN_CHARS))
    .join('');
}

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(1);
}
