/** Choice of the chain for a request that may start now. Pure. */
import type {ServerChain} from '../paths/find_chains.js';
import type {ChainLoads} from './chain_loads.js';

/** Added to the use of a chain whose first server is in another zone. */
const OTHER_ZONE_PART = 0.03;

/**
 * Returns the chain with room that is least used in proportion to its speed,
 * or undefined if none has room.
 */
export function chooseAdmission(
  chains: readonly ServerChain[],
  loads: ChainLoads,
  tokens: number,
  ownZone: string,
  nowMs: number,
): ServerChain | undefined {
  let best: ServerChain | undefined;
  let bestScore = Infinity;
  for (const chain of chains) {
    if (!loads.hasRoom(chain, tokens, nowMs)) continue;
    const zone = chain.path[0].server.availabilityZone;
    const usedPart =
      loads.usedPart(chain, nowMs) + (zone === ownZone ? 0 : OTHER_ZONE_PART);
    const score = (usedPart + 0.1) * chain.stepMs;
    if (score >= bestScore) continue;
    best = chain;
    bestScore = score;
  }
  return best;
}
