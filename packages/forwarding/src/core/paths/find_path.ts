/**
 * The cheapest path over all layers through servers that hold them, by dynamic
 * programming over the layer at which a part begins.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {kvCapacityTokens} from '../fleet/server_capacity.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {partStepMs} from './part_step.js';
import type {PathPart, ServerPath} from './server_path.js';

/** Engines refuse longer paths. */
export const MAX_PATH_PARTS = 32;

/**
 * Cost of a hop between availability zones, in milliseconds per token. All
 * prompts between two zones pass one pipe, one after another: at 42 KB a token
 * and 11 Gbit/s a usual prompt takes 24 ms of it, so that some 40 requests a
 * second fill it. A path leaves its zone only where there is no other way.
 */
const ZONE_HOP_MS = 100;

/** Typical one-way time inside an availability zone. */
const LOCAL_HOP_MS = 0.3;

/**
 * Part time at which its square counts as much as itself. The busiest part
 * bounds the requests of a path, so that many small parts are better than few
 * large ones as long as they gain more than the hops between them cost.
 */
const BALANCE_MS = 0.5;

/**
 * Cost of a part with room for `CROWDED_TOKENS`, falling with the square of
 * the room: the smallest part bounds the requests of a whole chain.
 */
const CROWDED_MS = 1.5;
const CROWDED_TOKENS = 30_000;

/** Cost of a part that has to read all tokens so far again. */
const REREAD_MS = 4;

export interface PathQuery {
  readonly model: ModelSpec;
  readonly servers: readonly BackendServer[];
  /** Parts that keep their memory and are cheaper for that. */
  readonly current?: ServerPath;
  /** A part that the path has to begin with. */
  readonly firstPart?: PathPart;
}

/** The cheapest way found so far to a layer. */
interface Best {
  readonly costMs: number;
  readonly parts: number;
  readonly part: PathPart | undefined;
  readonly before: Best | undefined;
}

/** Returns undefined if the servers together do not hold all layers. */
export function findPath(query: PathQuery): ServerPath | undefined {
  const {model, firstPart} = query;
  const begin = firstPart?.endLayer ?? 0;
  // Each server is looked at once, in the order of its layers, so that no path
  // passes one twice.
  const servers = query.servers
    .filter(s => s.layers && s.server !== firstPart?.server.server)
    .sort((a, b) => middle(a) - middle(b));
  const best: Array<Best | undefined> = new Array(model.layers + 1);
  best[begin] = {
    costMs: 0,
    parts: firstPart ? 1 : 0,
    part: firstPart,
    before: undefined,
  };
  for (const server of servers) extend(query, best, server);
  return trace(best[model.layers]);
}

/** Twice the middle of the held layers. */
function middle({layers}: BackendServer): number {
  return layers ? layers.firstLayer + layers.endLayer : 0;
}

/** Continues all paths so far with this server where that is cheaper. */
function extend(
  {model, current}: PathQuery,
  best: Array<Best | undefined>,
  server: BackendServer,
): void {
  const held = server.layers;
  if (!held) return;
  // Downwards, so that a part of this server is not continued by itself.
  for (let layer = held.endLayer - 1; layer >= held.firstLayer; layer--) {
    const before = best[layer];
    if (!before || before.parts >= MAX_PATH_PARTS) continue;
    for (let end = layer + 1; end <= held.endLayer; end++) {
      const part = {server, firstLayer: layer, endLayer: end};
      const costMs =
        before.costMs +
        partCostMs(model, part, before.part) +
        (current && !isIn(current, part) ? REREAD_MS : 0);
      const known = best[end];
      if (known && known.costMs <= costMs) continue;
      best[end] = {costMs, parts: before.parts + 1, part, before};
    }
  }
}

/** Time of one token through the part, with the hop that leads to it. */
function partCostMs(
  model: ModelSpec,
  {server, firstLayer, endLayer}: PathPart,
  before: PathPart | undefined,
): number {
  const layers = endLayer - firstLayer;
  const computeMs = partStepMs(model, server, layers);
  const room = Math.max(1, kvCapacityTokens(model, server, layers));
  const crowdedMs = CROWDED_MS * (CROWDED_TOKENS / room) ** 2;
  const balanceMs = (computeMs * computeMs) / BALANCE_MS;
  return computeMs + balanceMs + crowdedMs + hopMs(before, server);
}

function hopMs(before: PathPart | undefined, server: BackendServer): number {
  if (!before) return 0;
  const isLocal = before.server.availabilityZone === server.availabilityZone;
  return isLocal ? LOCAL_HOP_MS : ZONE_HOP_MS;
}

function isIn(path: ServerPath, part: PathPart): boolean {
  return path.some(
    other =>
      other.server.server === part.server.server &&
      other.firstLayer === part.firstLayer &&
      other.endLayer === part.endLayer,
  );
}

function trace(last: Best | undefined): ServerPath | undefined {
  if (!last) return undefined;
  const path: PathPart[] = [];
  for (let step: Best | undefined = last; step?.part; step = step.before) {
    path.unshift(step.part);
  }
  return path;
}
