/** Chooses the chain for a request that may start now. Pure. */
import {stableHash, type RequestId} from '@azurecrank/core';
import type {ServerChain} from '../paths/find_chains.js';
import type {ChainLoads} from './chain_loads.js';

/** Added to the used fraction of a chain that begins in another zone. */
const OTHER_ZONE_FRACTION = 0.03;

/** Added to each used fraction, so that speed counts among idle chains too. */
const BASE_USED_FRACTION = 0.1;

/**
 * Returns the chain with the lowest product of used fraction and step time
 * among those with enough free tokens, or undefined if there is none.
 */
export function chooseChain(
  chains: readonly ServerChain[],
  loads: ChainLoads,
  tokens: number,
  ownZone: string,
  nowMs: number,
): ServerChain | undefined {
  let best: ServerChain | undefined;
  let bestScore = Infinity;
  for (const chain of chains) {
    if (!loads.hasFreeTokens(chain, tokens, nowMs)) continue;
    const zone = chain.path[0].server.availabilityZone;
    const usedFraction =
      loads.usedFraction(chain, nowMs) +
      (zone === ownZone ? 0 : OTHER_ZONE_FRACTION);
    const score = (usedFraction + BASE_USED_FRACTION) * chain.stepMs;
    if (score >= bestScore) continue;
    best = chain;
    bestScore = score;
  }
  return best;
}

/**
 * Returns a chain with enough free tokens for a request while other entries
 * have waiting requests too. All entries would find the same chain the best, so
 * they are spread over the chains in proportion to the free tokens.
 */
export function chooseContendedChain(
  chains: readonly ServerChain[],
  loads: ChainLoads,
  tokens: number,
  request: RequestId,
  nowMs: number,
): ServerChain | undefined {
  const candidates = chains
    .map(chain => ({chain, freeTokens: loads.freeTokens(chain, nowMs)}))
    .filter(({freeTokens}) => freeTokens >= tokens);
  const total = candidates.reduce((sum, c) => sum + c.freeTokens, 0);
  let remaining = (stableHash(request) / 2 ** 32) * total;
  for (const {chain, freeTokens} of candidates) {
    remaining -= freeTokens;
    if (remaining < 0) return chain;
  }
  return candidates.at(-1)?.chain;
}
