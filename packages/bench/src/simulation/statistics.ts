/** Statistics of simulation results. */
import type {Rank} from '@azurecrank/core';
import type {RequestRecord, SimulationResult} from './simulate.js';

/**
 * Returns the smallest value that at least `fraction` (0 to 1) of the values do
 * not exceed; infinite for no values.
 */
export function percentile(
  values: readonly number[],
  fraction: number,
): number {
  if (values.length === 0) return Infinity;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(fraction * sorted.length) - 1];
}

/** Jain's fairness index: 1 if all values are equal, 1/n if only one is not 0. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const sumOfSquares = values.reduce(
    (total, value) => total + value * value,
    0,
  );
  return (sum * sum) / (values.length * sumOfSquares);
}

/** Selects request records by a predicate and their arrival times. */
export interface RecordSelection {
  readonly matches: (record: RequestRecord) => boolean;
  readonly fromMs: number;
  /** Exclusive; later requests may still be waiting when the simulation ends. */
  readonly toMs: number;
}

/** Returns the 95th percentile; refused and unfinished requests count as infinite. */
export function p95Ms(
  result: SimulationResult,
  field: 'firstTokenMs' | 'completionMs',
  {matches: test, fromMs, toMs}: RecordSelection,
): number {
  const times = result.records
    .filter(test)
    .filter(({arrival}) => arrival.atMs >= fromMs && arrival.atMs < toMs)
    .map(record => record[field]);
  return percentile(times, 0.95);
}

export function tokensOfRank(result: SimulationResult, rank: Rank): number {
  return result.tokensByRank.get(rank) ?? 0;
}

export function totalTokens(result: SimulationResult): number {
  return [...result.tokensByRank.values()].reduce((sum, n) => sum + n, 0);
}
