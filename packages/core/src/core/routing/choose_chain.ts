/** Choice of the chain for one request (design, section 7.3). */
import type {ServerId} from '../ids/ids.js';
import type {Chain} from '../wire/messages.js';
import type {LoadView} from './load_view.js';
import {PREFIX_BLOCK_CHARS} from './prefix_hashes.js';
import type {PrefixIndex} from './prefix_index.js';

/** Assumed prefill time saved per cached token over the whole chain. */
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.2;

const CHARS_PER_TOKEN = 4;

export interface ChainQuery {
  /** The subset from `chooseSubset`. */
  readonly chains: readonly Chain[];
  readonly rankIndex: number;
  /** Result of `prefixHashes` for the prompt. */
  readonly hashes: readonly number[];
  /** Chains that contain one of these servers are left out. */
  readonly excluded: ReadonlySet<ServerId>;
  readonly nowMs: number;
  /** Two numbers in [0, 1). */
  readonly random: readonly [number, number];
}

export interface ChainState {
  readonly load: LoadView;
  readonly prefixes: PrefixIndex;
  /** Time of a message to the chain's head and of its own links, one way. */
  readonly linkMs: (chain: Chain) => number;
  readonly prefillMsPerToken?: number;
}

export interface ChainChoice {
  readonly chain: Chain;
  /** Expected time, in milliseconds; lower is better, may be negative. */
  readonly scoreMs: number;
  readonly matchedBlocks: number;
}

/**
 * Returns the best of two random chains and the one with the longest cached
 * prefix, or undefined when every chain is excluded.
 */
export function chooseChain(
  query: ChainQuery,
  state: ChainState,
): ChainChoice | undefined {
  const usable = query.chains.filter(
    chain => !chain.stages.some(stage => query.excluded.has(stage.server)),
  );
  if (usable.length === 0) return undefined;
  const candidates = [
    ...pickTwo(usable, query.random),
    ...findBestPrefix(usable, query, state),
  ];
  return candidates
    .map(chain => scoreChain(chain, query, state))
    .reduce((best, next) => (next.scoreMs < best.scoreMs ? next : best));
}

/** Score of one chain, without regard to exclusions. */
export function scoreChain(
  chain: Chain,
  query: Omit<ChainQuery, 'chains' | 'excluded' | 'random'>,
  state: ChainState,
): ChainChoice {
  const head = chain.stages[0].server;
  const waitMs = state.load.waitMs(head, query.rankIndex, query.nowMs);
  const matchedBlocks = countMatched(chain, query, state);
  const savedTokens = (matchedBlocks * PREFIX_BLOCK_CHARS) / CHARS_PER_TOKEN;
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
 * Several chains may hold the prefix, so equal matches are decided by the
 * score. At most one chain is returned.
 */
function findBestPrefix(
  chains: readonly Chain[],
  query: ChainQuery,
  state: ChainState,
): Chain[] {
  let best: ChainChoice | undefined;
  for (const chain of chains) {
    const matched = countMatched(chain, query, state);
    if (matched === 0 || matched < (best?.matchedBlocks ?? 0)) continue;
    const choice = scoreChain(chain, query, state);
    const isLonger = matched > (best?.matchedBlocks ?? 0);
    if (isLonger || choice.scoreMs < best!.scoreMs) best = choice;
  }
  return best ? [best.chain] : [];
}

function countMatched(
  chain: Chain,
  query: {readonly hashes: readonly number[]; readonly nowMs: number},
  state: ChainState,
): number {
  if (query.hashes.length === 0) return 0;
  const head = chain.stages[0].server;
  return state.prefixes.matchedBlocks(head, query.hashes, query.nowMs);
}
