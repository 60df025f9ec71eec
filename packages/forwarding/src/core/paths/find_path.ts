/**
 * Finds the cheapest path through servers that together hold all layers, by
 * dynamic programming over the layer at which a path stage begins.
 */
import type {BackendServer, LayerRange} from '../fleet/backend_server.js';
import {holdsOnlyLayersOf, kvCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {IN_ZONE_HOP_MS, stageStepMs} from './stage_step_time.js';
import type {PathStage, ServerPath} from './server_path.js';

/** Engines refuse paths with more stages. */
export const MAX_PATH_STAGES = 32;

/**
 * Cost of a hop between availability zones, in milliseconds of a decode step.
 * All prompts between two zones are sent over one link, one after another: at
 * 42 KB a token and 11 Gbit/s a usual prompt occupies it for 24 ms, so about 40
 * requests a second saturate it. The cost is high enough that a path leaves its
 * zone only if there is no other.
 */
const CROSS_ZONE_HOP_COST_MS = 100;

/**
 * Default step time of a stage at which its balance cost, which grows with the
 * square of the step time, equals the step time. The cost stands for the wait
 * at the slowest stage. It is low, because a stream holds its place for the sum
 * of all stages and hops.
 */
export const BALANCE_REFERENCE_MS = 5;

/**
 * Cost of a stage with a KV-cache capacity of `LOW_CAPACITY_REFERENCE_TOKENS`,
 * inversely proportional to the square of the capacity. The stage with the
 * least capacity bounds the number of requests on the whole chain.
 */
const LOW_CAPACITY_COST_MS = 1.5;
const LOW_CAPACITY_REFERENCE_TOKENS = 30_000;

/** Cost of a stage that has to repeat the prefill of all tokens so far. */
const REPEATED_PREFILL_COST_MS = 4;

export interface PathQuery {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /**
   * Present path of a request. Its stages are cheaper, because they have the
   * KV cache of the request already.
   */
  readonly current?: ServerPath;
  /** Stage that the path has to begin with. */
  readonly firstStage?: PathStage;
  readonly preference?: PathPreference;
}

/** What else counts for a path besides the time of its steps. */
export interface PathPreference {
  /** See `BALANCE_REFERENCE_MS`. */
  readonly balanceReferenceMs: number;
  /**
   * Cost of each layer that a server of the path holds without running it, in
   * milliseconds of a decode step. It keeps a path off servers that were given
   * their layers for another path.
   */
  readonly idleLayerCostMs: number;
  /** Stages with less KV-cache capacity are not used; 0 by default. */
  readonly minCapacityTokens?: number;
}

const DEFAULT_PREFERENCE: PathPreference = {
  balanceReferenceMs: BALANCE_REFERENCE_MS,
  idleLayerCostMs: 0,
};

/** The cheapest path over the first layers that was found so far. */
interface PartialPath {
  readonly costMs: number;
  readonly stageCount: number;
  readonly lastStage: PathStage | undefined;
  readonly predecessor: PartialPath | undefined;
}

/** Returns undefined if the servers together do not hold all layers. */
export function findPath(query: PathQuery): ServerPath | undefined {
  const {model, firstStage} = query;
  const begin = firstStage?.endLayer ?? 0;
  // Each server is considered once, in the order of the held layers, so that
  // no path passes a server twice.
  const servers = query.servers
    .filter(s => s.layers && holdsOnlyLayersOf(model, s))
    .filter(s => s.server !== firstStage?.server.server)
    .sort((a, b) => twiceMiddleLayer(a) - twiceMiddleLayer(b));
  const best: Array<PartialPath | undefined> = new Array(model.layers + 1);
  best[begin] = {
    costMs: 0,
    stageCount: firstStage ? 1 : 0,
    lastStage: firstStage,
    predecessor: undefined,
  };
  for (const server of servers) extendPaths(query, best, server);
  return toServerPath(best[model.layers]);
}

/** Returns twice the middle of the held layers, which is an integer. */
function twiceMiddleLayer({layers}: BackendServer): number {
  return layers ? layers.firstLayer + layers.endLayer : 0;
}

/** Extends the paths so far by a stage on the server where that is cheaper. */
function extendPaths(
  {model, current, preference = DEFAULT_PREFERENCE}: PathQuery,
  best: Array<PartialPath | undefined>,
  server: BackendServer,
): void {
  const held = server.layers;
  if (!held) return;
  const costsMs = stageCostsMs(model, server, held, preference);
  // In descending order, so that no stage of this server follows another one.
  for (let layer = held.endLayer - 1; layer >= held.firstLayer; layer--) {
    const predecessor = best[layer];
    if (!predecessor || predecessor.stageCount >= MAX_PATH_STAGES) continue;
    const baseMs =
      predecessor.costMs + hopCostMs(predecessor.lastStage, server);
    const maxEnd = Math.min(held.endLayer, layer + costsMs.length);
    for (let end = layer + 1; end <= maxEnd; end++) {
      const prefillMs =
        current && !containsStage(current, server, layer, end)
          ? REPEATED_PREFILL_COST_MS
          : 0;
      const costMs = baseMs + costsMs[end - layer - 1] + prefillMs;
      const other = best[end];
      if (other && other.costMs <= costMs) continue;
      best[end] = {
        costMs,
        stageCount: predecessor.stageCount + 1,
        lastStage: {server, firstLayer: layer, endLayer: end},
        predecessor,
      };
    }
  }
}

/**
 * Returns the cost of a stage on the server for one decode step, without the
 * hop to it: by its number of layers minus one, up to the longest stage allowed.
 */
function stageCostsMs(
  model: ModelSpec,
  server: BackendServer,
  {firstLayer, endLayer}: LayerRange,
  preference: PathPreference,
): number[] {
  const {balanceReferenceMs, idleLayerCostMs, minCapacityTokens} = preference;
  const costsMs: number[] = [];
  const heldLayers = endLayer - firstLayer;
  for (let layers = 1; layers <= heldLayers; layers++) {
    const capacityTokens = kvCapacityTokens(model, server, layers);
    if (capacityTokens < (minCapacityTokens ?? 0)) break;
    const stepMs = stageStepMs(model, server, layers);
    const lowCapacityMs =
      LOW_CAPACITY_COST_MS *
      (LOW_CAPACITY_REFERENCE_TOKENS / Math.max(1, capacityTokens)) ** 2;
    const balanceMs = (stepMs * stepMs) / balanceReferenceMs;
    const idleMs = (heldLayers - layers) * idleLayerCostMs;
    costsMs.push(stepMs + balanceMs + lowCapacityMs + idleMs);
  }
  return costsMs;
}

function hopCostMs(
  previous: PathStage | undefined,
  server: BackendServer,
): number {
  if (!previous) return 0;
  const isLocal = previous.server.availabilityZone === server.availabilityZone;
  return isLocal ? IN_ZONE_HOP_MS : CROSS_ZONE_HOP_COST_MS;
}

function containsStage(
  path: ServerPath,
  {server}: BackendServer,
  firstLayer: number,
  endLayer: number,
): boolean {
  return path.some(
    other =>
      other.server.server === server &&
      other.firstLayer === firstLayer &&
      other.endLayer === endLayer,
  );
}

function toServerPath(last: PartialPath | undefined): ServerPath | undefined {
  if (!last) return undefined;
  const path: PathStage[] = [];
  for (
    let partial: PartialPath | undefined = last;
    partial?.lastStage;
    partial = partial.predecessor
  ) {
    path.unshift(partial.lastStage);
  }
  return path;
}
