/** Forms chains of servers and splits the layers of a model over each. */
import type {ChainStage} from '../wire/messages.js';
import {splitLayers, type LayerSplit, type SplitStage} from './layer_split.js';
import {
  compareIds,
  maxLayers,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
} from './placement_types.js';

export interface FormedChain {
  readonly stages: readonly ChainStage[];
  readonly servers: readonly EngineServer[];
  /** Decode batches per second at saturation. */
  readonly batchesPerS: number;
}

interface SplitSegment {
  readonly servers: readonly EngineServer[];
  readonly split: LayerSplit;
}

/**
 * Forms chains within each availability zone, then from the remaining servers
 * within each region. No chain spans regions, because every decode step would
 * cross the long link between them.
 */
export function formChains(
  servers: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
  maxStages: number,
): FormedChain[] {
  const formed: FormedChain[] = [];
  let remaining = servers;
  const areas = [
    (s: EngineServer) => `${s.region}\0${s.availabilityZone}`,
    (s: EngineServer) => s.region,
  ];
  for (const areaOf of areas) {
    for (const members of groupByArea(remaining, areaOf)) {
      formed.push(...formChainsInArea(members, model, linkTimeMs, maxStages));
    }
    const used = new Set(formed.flatMap(g => g.servers.map(s => s.server)));
    remaining = servers.filter(server => !used.has(server.server));
  }
  return formed;
}

function groupByArea(
  servers: readonly EngineServer[],
  areaOf: (server: EngineServer) => string,
): EngineServer[][] {
  const areas = new Map<string, EngineServer[]>();
  for (const server of servers) {
    const area = areaOf(server);
    areas.set(area, [...(areas.get(area) ?? []), server]);
  }
  return [...areas]
    .sort(([a], [b]) => compareIds(a, b))
    .map(([, members]) => members);
}

/**
 * Divides the servers, sorted by speed, into contiguous segments with the
 * highest total rate, by dynamic programming. Sorting lets servers of similar
 * speed share a chain.
 */
function formChainsInArea(
  members: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
  maxStages: number,
): FormedChain[] {
  const sorted = [...members].sort(compareBySpeed);
  const bestRate = [0];
  const bestSegment: (SplitSegment | undefined)[] = [undefined];
  for (let end = 1; end <= sorted.length; end++) {
    bestRate[end] = bestRate[end - 1];
    for (let size = 1; size <= Math.min(maxStages, end); size++) {
      const segment = sorted.slice(end - size, end);
      const candidate = splitSegment(segment, model, linkTimeMs);
      if (!candidate) continue;
      const rate = bestRate[end - size] + 1 / candidate.split.slowestMs;
      if (rate <= bestRate[end]) continue;
      bestRate[end] = rate;
      bestSegment[end] = candidate;
    }
  }
  return collectSegments(bestSegment);
}

function collectSegments(
  best: readonly (SplitSegment | undefined)[],
): FormedChain[] {
  const formed: FormedChain[] = [];
  let end = best.length - 1;
  while (end > 0) {
    const candidate = best[end];
    if (candidate) formed.unshift(toFormedChain(candidate));
    end -= candidate?.servers.length ?? 1;
  }
  return formed;
}

/**
 * Servers of equal speed are ordered by zone and host, because links within a
 * host are the fastest.
 */
function compareBySpeed(a: EngineServer, b: EngineServer): number {
  return (
    a.engine.layerMs - b.engine.layerMs ||
    compareIds(a.availabilityZone, b.availabilityZone) ||
    compareIds(a.host, b.host) ||
    compareIds(a.server, b.server)
  );
}

function splitSegment(
  segment: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
): SplitSegment | undefined {
  const fittingLayers = segment.reduce(
    (sum, s) => sum + maxLayers(s, model),
    0,
  );
  if (fittingLayers < model.layers) return undefined;
  const servers = orderByNearest(segment, linkTimeMs);
  const split = splitLayers(
    toSplitStages(servers, model, linkTimeMs),
    model.layers,
  );
  return split && {servers, split};
}

/** Orders servers greedily: next is the one with the fastest link. */
function orderByNearest(
  segment: readonly EngineServer[],
  linkTimeMs: LinkTime,
): EngineServer[] {
  const remaining = [...segment];
  const ordered = remaining.splice(0, 1);
  while (remaining.length > 0) {
    const last = ordered[ordered.length - 1];
    let nearest = 0;
    for (let i = 1; i < remaining.length; i++) {
      if (linkTimeMs(last, remaining[i]) < linkTimeMs(last, remaining[nearest]))
        nearest = i;
    }
    ordered.push(...remaining.splice(nearest, 1));
  }
  return ordered;
}

export function toSplitStages(
  servers: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
): SplitStage[] {
  return servers.map((server, i) => ({
    layerMs: server.engine.layerMs,
    maxLayers: maxLayers(server, model),
    linkMs: i + 1 < servers.length ? linkTimeMs(server, servers[i + 1]) : 0,
  }));
}

function toFormedChain({servers, split}: SplitSegment): FormedChain {
  const batchesPerS = 1000 / split.slowestMs;
  return {servers, stages: toStages(servers, split.layerCounts), batchesPerS};
}

/** Returns stages with consecutive layer ranges of the given sizes. */
export function toStages(
  servers: readonly EngineServer[],
  layerCounts: readonly number[],
): ChainStage[] {
  let firstLayer = 0;
  return servers.map((server, i) => {
    const endLayer = firstLayer + layerCounts[i];
    const stage = toStage(server, {firstLayer, endLayer});
    firstLayer = endLayer;
    return stage;
  });
}

export function toStage(
  {server, address, availabilityZone}: EngineServer,
  {firstLayer, endLayer}: {firstLayer: number; endLayer: number},
): ChainStage {
  return {server, address, availabilityZone, firstLayer, endLayer};
}
