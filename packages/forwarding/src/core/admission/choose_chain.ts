/** Chooses the chain for a request that may start now. Pure. */
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
