/** Chooses the chain that serves a request (design, section 7.3). */
import type {ServerId} from '../ids/ids.js';
import type {Chain} from '../wire/messages.js';
import type {LoadView} from './load_view.js';
import {PREFIX_BLOCK_CHARS} from './prefix_hashes.js';
import type {PrefixIndex} from './prefix_index.js';

/** Estimated prefill time that one cached token saves in the whole chain. */
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.2;

const ESTIMATED_CHARS_PER_TOKEN = 4;

export interface ChainQuery {
  /** Candidates, from `chooseChainSubset`. */
  readonly chains: readonly Chain[];
  readonly rankIndex: number;
  /** Hashes of the prompt's prefixes, from `prefixHashes`. */
  readonly hashes: readonly number[];
  /** Chains with one of these servers are not candidates. */
  readonly excluded: ReadonlySet<ServerId>;
  readonly nowMs: number;
  /** Two uniform random numbers in [0, 1). */
  readonly random: readonly [number, number];
}

export interface ChainScoringState {
  readonly load: LoadView;
  readonly prefixes: PrefixIndex;
  /** One-way time of the link to the chain's head plus its links, in ms. */
  readonly linkMs: (chain: Chain) => number;
  readonly prefillMsPerToken?: number;
}

export interface ChainChoice {
  readonly chain: Chain;
  /**
   * Expected wait and link time minus the prefill time saved, in milliseconds.
   * Lower is better; it may be negative.
   */
  readonly scoreMs: number;
  readonly matchedBlocks: number;
}

/**
 * Returns the chain with the lowest score among two random ones and the one
 * with the longest cached prefix, or undefined if all chains are excluded.
 */
export function chooseChain(
  query: ChainQuery,
  state: ChainScoringState,
): ChainChoice | undefined {
  const usable = query.chains.filter(
    chain => !chain.stages.some(stage => query.excluded.has(stage.server)),
  );
  if (usable.length === 0) return undefined;
  const candidates = [
    ...pickTwo(usable, query.random),
    ...findLongestPrefix(usable, query, state),
  ];
  return candidates
    .map(chain => scoreChain(chain, query, state))
    .reduce((best, next) => (next.scoreMs < best.scoreMs ? next : best));
}

/** Computes the score of one chain, whether it is excluded or not. */
export function scoreChain(
  chain: Chain,
  query: Omit<ChainQuery, 'chains' | 'excluded' | 'random'>,
  state: ChainScoringState,
): ChainChoice {
  const head = chain.stages[0].server;
  const waitMs = state.load.waitMs(head, query.rankIndex, query.nowMs);
  const matchedBlocks = countMatchedBlocks(chain, query, state);
  const savedTokens =
    (matchedBlocks * PREFIX_BLOCK_CHARS) / ESTIMATED_CHARS_PER_TOKEN;
  const savedMs =
    savedTokens * (state.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN);
  const scoreMs = waitMs + state.linkMs(chain) - savedMs;
  return {chain, scoreMs, matchedBlocks};
}

function pickTwo(
  chains: readonly Chain[],
  random: readonly [number, number],
): Chain[] {
  const first = Math.floor(random[0] * chains.length);
  if (chains.length === 1) return [chains[first]];
  const offset = 1 + Math.floor(random[1] * (chains.length - 1));
  return [chains[first], chains[(first + offset) % chains.length]];
}

/**
 * Returns the chain with the longest cached prefix, the one with the lower
 * score among equals, or none if no chain holds a block of the prompt.
 */
function findLongestPrefix(
  chains: readonly Chain[],
  query: ChainQuery,
  state: ChainScoringState,
): Chain[] {
  let best: ChainChoice | undefined;
  for (const chain of chains) {
    const matched = countMatchedBlocks(chain, query, state);
    if (matched === 0 || matched < (best?.matchedBlocks ?? 0)) continue;
    const choice = scoreChain(chain, query, state);
    const isLonger = matched > (best?.matchedBlocks ?? 0);
    if (isLonger || choice.scoreMs < best!.scoreMs) best = choice;
  }
  return best ? [best.chain] : [];
}

function countMatchedBlocks(
  chain: Chain,
  query: {readonly hashes: readonly number[]; readonly nowMs: number},
  state: ChainScoringState,
): number {
  if (query.hashes.length === 0) return 0;
  const head = chain.stages[0].server;
  return state.prefixes.matchedBlocks(head, query.hashes, query.nowMs);
}
