/** Memory and speed of servers and chains, from the figures of the model. */
import type {BackendServer} from '../fleet/backend_server.js';
import type {ModelSpec} from '../routing/routing_table.js';
import type {LayoutOrder} from './plan_layout.js';

const BYTES_PER_MB = 1e6;

/** One-way time between servers of a zone, in milliseconds. */
const HOP_MS = 0.3;

/** Layers that fit beside the KV cache of so many tokens. */
export function layersThatFit(
  model: ModelSpec,
  server: BackendServer,
  tokens: number,
): number {
  const memoryMb = model.accelerators.get(server.accelerator)?.memoryMb ?? 0;
  const cacheMb =
    (tokens * model.kvBytesPerToken) / model.layers / BYTES_PER_MB;
  return Math.floor(memoryMb / (model.layerMb + cacheMb));
}

/**
 * Requests per second of a chain: as many as fit into its memory, each for the
 * time of its answer, but no more than its busiest server carries.
 */
export function estimateRate(
  model: ModelSpec,
  chain: readonly LayoutOrder[],
  tokens: number,
): number {
  const {usualPromptTokens: prompt, usualAnswerTokens: answer} = model;
  const concurrent = Math.min(model.slots, tokens / (prompt + answer / 2));
  const batch = Math.max(1, concurrent / chain.length);
  let roundMs = 0;
  let prefillMs = 0;
  let busiestMs = 0;
  for (const {server, range} of chain) {
    const kind = model.accelerators.get(server.accelerator);
    const share = (range.endLayer - range.firstLayer) / model.layers;
    const decode = (kind?.decodeFactor ?? 1) * share;
    const read = (kind?.prefillFactor ?? 1) * share;
    const passMs = decode * (model.stepMs + batch * model.stepPerSequenceMs);
    const readMs = (prompt / model.prefillTokensPerMs) * read;
    roundMs += passMs + HOP_MS;
    prefillMs += readMs;
    busiestMs = Math.max(busiestMs, readMs + (answer * passMs) / batch);
  }
  const requestMs = prefillMs + answer * roundMs;
  return Math.min((1000 * concurrent) / requestMs, 1000 / busiestMs);
}
