/** Groups servers that hold no layers into chains. */
import type {ChainStage} from '../wire/messages.js';
import {splitLayers, type LayerSplit, type SplitStage} from './layer_split.js';
import {
  compareIds,
  maxLayers,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
} from './placement_types.js';

export interface Group {
  readonly stages: readonly ChainStage[];
  readonly servers: readonly EngineServer[];
  /** Batches per second. */
  readonly rate: number;
}

interface Candidate {
  readonly servers: readonly EngineServer[];
  readonly split: LayerSplit;
}

/**
 * Forms chains within each availability zone, then from what is left within
 * each region. Regions are not joined: a token would cross the long link in
 * every step.
 */
export function formGroups(
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  maxStages: number,
): Group[] {
  const groups: Group[] = [];
  let left = servers;
  const areas = [
    (s: EngineServer) => `${s.region}\0${s.availabilityZone}`,
    (s: EngineServer) => s.region,
  ];
  for (const areaOf of areas) {
    for (const members of partition(left, areaOf)) {
      groups.push(...formInArea(members, model, links, maxStages));
    }
    const used = new Set(groups.flatMap(g => g.servers.map(s => s.server)));
    left = servers.filter(server => !used.has(server.server));
  }
  return groups;
}

function partition(
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
 * Chooses contiguous segments of the servers sorted by speed, so that servers
 * of similar speed share a chain, by dynamic programming over the total rate.
 */
function formInArea(
  members: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  maxStages: number,
): Group[] {
  const sorted = [...members].sort(compareBySpeed);
  const bestRate = [0];
  const bestSegment: (Candidate | undefined)[] = [undefined];
  for (let end = 1; end <= sorted.length; end++) {
    bestRate[end] = bestRate[end - 1];
    for (let size = 1; size <= Math.min(maxStages, end); size++) {
      const segment = sorted.slice(end - size, end);
      const candidate = buildCandidate(segment, model, links);
      if (!candidate) continue;
      const rate = bestRate[end - size] + 1 / candidate.split.slowestMs;
      if (rate <= bestRate[end]) continue;
      bestRate[end] = rate;
      bestSegment[end] = candidate;
    }
  }
  return collectSegments(bestSegment);
}

function collectSegments(best: readonly (Candidate | undefined)[]): Group[] {
  const groups: Group[] = [];
  let end = best.length - 1;
  while (end > 0) {
    const candidate = best[end];
    if (candidate) groups.unshift(toGroup(candidate));
    end -= candidate?.servers.length ?? 1;
  }
  return groups;
}

/** Servers on one host stay together because they share the fastest links. */
function compareBySpeed(a: EngineServer, b: EngineServer): number {
  return (
    a.engine.layerMs - b.engine.layerMs ||
    compareIds(a.availabilityZone, b.availabilityZone) ||
    compareIds(a.host, b.host) ||
    compareIds(a.server, b.server)
  );
}

function buildCandidate(
  segment: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
): Candidate | undefined {
  const fitting = segment.reduce((sum, s) => sum + maxLayers(s, model), 0);
  if (fitting < model.layers) return undefined;
  const servers = orderByNearest(segment, links);
  const split = splitLayers(toSplitStages(servers, model, links), model.layers);
  return split && {servers, split};
}

/** Visits the servers from the first one, always by the shortest link. */
function orderByNearest(
  segment: readonly EngineServer[],
  links: LinkTime,
): EngineServer[] {
  const left = [...segment];
  const ordered = left.splice(0, 1);
  while (left.length > 0) {
    const last = ordered[ordered.length - 1];
    let nearest = 0;
    for (let i = 1; i < left.length; i++) {
      if (links(last, left[i]) < links(last, left[nearest])) nearest = i;
    }
    ordered.push(...left.splice(nearest, 1));
  }
  return ordered;
}

export function toSplitStages(
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
): SplitStage[] {
  return servers.map((server, i) => ({
    layerMs: server.engine.layerMs,
    maxLayers: maxLayers(server, model),
    linkMs: i + 1 < servers.length ? links(server, servers[i + 1]) : 0,
  }));
}

function toGroup({servers, split}: Candidate): Group {
  const rate = 1000 / split.slowestMs;
  return {servers, stages: toStages(servers, split.counts), rate};
}

/** Stages with consecutive ranges of the given sizes. */
export function toStages(
  servers: readonly EngineServer[],
  counts: readonly number[],
): ChainStage[] {
  let firstLayer = 0;
  return servers.map((server, i) => {
    const endLayer = firstLayer + counts[i];
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
