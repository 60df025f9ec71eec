/** Ranks of requests, from the highest priority to the lowest. */
export const RANKS = ['urgent', 'ordinary', 'overnight'] as const;

export type Rank = (typeof RANKS)[number];

/** Returns 0 for the most urgent rank. */
export function rankIndex(rank: Rank): number {
  return RANKS.indexOf(rank);
}

export function isRank(value: unknown): value is Rank {
  return RANKS.includes(value as Rank);
}
