/** Reads the headers by which a caller lowers its service's limits. */
import type {IncomingMessage} from 'node:http';
import {RANKS, isRank, rankIndex, type Rank} from '@azurecrank/core';

const RANK_HEADER = 'azurecrank-rank';
const DEADLINE_HEADER = 'azurecrank-deadline-ms';

export interface ServiceLimits {
  readonly rank: Rank;
  readonly deadlineMs: number;
}

export type HeadersResult =
  | ({readonly kind: 'valid'} & ServiceLimits)
  | {readonly kind: 'invalid'; readonly detail: string};

/**
 * A caller may ask for a lower rank and a shorter deadline than the service's;
 * a higher rank or a longer deadline has no effect.
 */
export function readRequestHeaders(
  req: IncomingMessage,
  service: ServiceLimits,
): HeadersResult {
  const rank = req.headers[RANK_HEADER];
  if (rank !== undefined && !isRank(rank)) {
    const detail = `${RANK_HEADER}: expected one of ${RANKS.join(', ')}`;
    return {kind: 'invalid', detail};
  }
  const deadline = req.headers[DEADLINE_HEADER];
  if (deadline !== undefined && !/^0*[1-9]\d{0,14}$/.test(String(deadline))) {
    const detail = `${DEADLINE_HEADER}: expected a whole number of milliseconds above 0`;
    return {kind: 'invalid', detail};
  }
  return {
    kind: 'valid',
    rank: rank === undefined ? service.rank : lowerRank(rank, service.rank),
    deadlineMs: Math.min(Number(deadline ?? Infinity), service.deadlineMs),
  };
}

function lowerRank(a: Rank, b: Rank): Rank {
  return RANKS[Math.max(rankIndex(a), rankIndex(b))];
}
