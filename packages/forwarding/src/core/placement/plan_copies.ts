/**
 * Lets servers without layers copy stages of chains, so that a lost server is
 * replaced without loading weights. The other servers are not changed: while the
 * servers of a zone are replaced one after another, redistributing the layers
 * for each would not come to an end. Pure.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import type {ServerChain} from '../paths/find_chains.js';
import type {PathStage} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {relativeLayerTime} from './divide_layers.js';
import type {LayoutOrder} from './plan_layout.js';

/** A stage that needs copies, with the KV-cache capacity of its chain. */
interface CopiedStage {
  readonly stage: PathStage;
  readonly capacityTokens: number;
}

/**
 * Returns an order for each server without layers. Stages whose layers no other
 * server holds to spare come first, of these the slowest ones.
 * @param unused servers of the zone that are on no chain
 * @param chains chains of the zone
 */
export function planCopies(
  model: ModelSpec,
  unused: readonly BackendServer[],
  chains: readonly ServerChain[],
): LayoutOrder[] {
  const empty = unused
    .filter(({layers}) => !layers)
    .sort(
      (a, b) =>
        relativeLayerTime(model, a) - relativeLayerTime(model, b) ||
        (a.server < b.server ? -1 : 1),
    );
  const stages = slowestStages(model, chains);
  if (stages.length === 0) return [];
  const spare = spareLayers(model, unused, chains);
  return empty.flatMap((server, i) => {
    const uncopied = stages.find(({stage}) => lastUncopied(spare, stage) >= 0);
    const {stage, capacityTokens} = uncopied ?? stages[i % stages.length];
    // A copy with less capacity would lower that of a chain that uses it.
    const fittingLayers = layersThatFit(model, server, capacityTokens);
    if (fittingLayers === 0) return [];
    const endLayer = uncopied ? lastUncopied(spare, stage) + 1 : stage.endLayer;
    const firstLayer = Math.max(0, endLayer - fittingLayers);
    spare.fill(true, firstLayer, endLayer);
    return [{server, range: {firstLayer, endLayer}}];
  });
}

/** Returns the stages after the first ones, the slowest first. */
function slowestStages(
  model: ModelSpec,
  chains: readonly ServerChain[],
): CopiedStage[] {
  const relativeTime = ({stage: {server, firstLayer, endLayer}}: CopiedStage) =>
    (endLayer - firstLayer) * relativeLayerTime(model, server);
  // Running requests cannot move to another first stage.
  return chains
    .flatMap(({path, capacityTokens}) =>
      path.slice(1).map(stage => ({stage, capacityTokens})),
    )
    .sort((a, b) => relativeTime(b) - relativeTime(a));
}

/** Returns for each layer whether a server holds it without running it. */
function spareLayers(
  model: ModelSpec,
  unused: readonly BackendServer[],
  chains: readonly ServerChain[],
): boolean[] {
  const spare = new Array<boolean>(model.layers).fill(false);
  for (const {layers} of unused) {
    if (layers) spare.fill(true, layers.firstLayer, layers.endLayer);
  }
  for (const {server, firstLayer, endLayer} of chains.flatMap(c => c.path)) {
    if (!server.layers) continue;
    spare.fill(true, server.layers.firstLayer, firstLayer);
    spare.fill(true, endLayer, server.layers.endLayer);
  }
  return spare;
}

/** Returns the last layer of the stage that no server holds to spare, or -1. */
function lastUncopied(
  spare: readonly boolean[],
  {firstLayer, endLayer}: PathStage,
): number {
  for (let layer = endLayer - 1; layer >= firstLayer; layer--) {
    if (!spare[layer]) return layer;
  }
  return -1;
}
