/** Figures from the records of a simulation. */
import type {Rank} from '@azurecrank/core';
import type {RequestRecord, SimulationResult} from './simulate.js';

/** The value that `part` of the values do not exceed; infinite if none. */
export function percentile(values: readonly number[], part: number): number {
  if (values.length === 0) return Infinity;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(part * sorted.length) - 1];
}

/** Jain's index: 1 if all values are equal, 1/n if one has everything. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return (sum * sum) / (values.length * squares);
}

/** A part of the requests of a simulation. */
export interface Selection {
  readonly test: (record: RequestRecord) => boolean;
  readonly fromMs: number;
  /** Requests that arrive later may still wait at the end. */
  readonly toMs: number;
}

/** 95 in 100 of the times; one that was refused counts as infinite. */
export function p95Ms(
  result: SimulationResult,
  field: 'firstTokenMs' | 'completionMs',
  {test, fromMs, toMs}: Selection,
): number {
  const times = result.records
    .filter(test)
    .filter(({arrival}) => arrival.atMs >= fromMs && arrival.atMs < toMs)
    .map(record => record[field]);
  return percentile(times, 0.95);
}

export function tokensOf(result: SimulationResult, rank: Rank): number {
  return result.tokensByRank.get(rank) ?? 0;
}

export function totalTokens(result: SimulationResult): number {
  return [...result.tokensByRank.values()].reduce((sum, n) => sum + n, 0);
}
