/** Fields of the log line on the chains in use. */
import {
  concurrentStreams,
  streamDurationMs,
  streamsPerS,
} from '../paths/chain_throughput.js';
import type {ServerChain} from '../paths/find_chains.js';
import {formatPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Returns the paths and capacities, and what they suffice for. */
export function chainFields(
  model: ModelSpec | undefined,
  chains: readonly ServerChain[],
): Record<string, string[] | number[]> {
  const fields = {
    chains: chains.map(
      ({path, capacityTokens}) =>
        `${Math.round(capacityTokens)} tokens: ${formatPath(path)}`,
    ),
  };
  if (!model) return fields;
  return {
    ...fields,
    concurrentStreams: chains.map(chain =>
      Math.floor(concurrentStreams(model, chain)),
    ),
    streamMs: chains.map(chain => Math.round(streamDurationMs(model, chain))),
    streamsPerS: chains.map(chain => Math.round(streamsPerS(model, chain))),
  };
}
