/**
 * Returns the smallest value that at least `percent` (0 to 100) of the values do
 * not exceed; 0 for no values.
 */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil((sorted.length * percent) / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
