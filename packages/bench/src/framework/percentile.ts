/** Returns the value below which `percent` of the values lie; 0 if none. */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil((sorted.length * percent) / 100) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
