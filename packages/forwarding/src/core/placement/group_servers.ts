/**
 * Groups the servers of an availability zone into chains that are built from
 * nothing. Places on chains are what streams wait for, so the groups are chosen
 * by the streams that they serve in a second. Pure.
 */
import type {BackendServer} from '../fleet/backend_server.js';
import {layersThatFit} from '../fleet/server_capacity.js';
import {
  maxUsableCapacityTokens,
  streamsPerS,
} from '../paths/chain_throughput.js';
import type {PathStage} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {divideLayers} from './divide_layers.js';

/** Servers that form one chain, with the layers that each runs. */
export interface ServerGroup {
  /** The fastest first. */
  readonly servers: readonly BackendServer[];
  /** Number of layers that each server runs; more than 0. */
  readonly counts: readonly number[];
  readonly capacityTokens: number;
}

/** KV-cache capacities to plan a chain for. */
export const CHAIN_CAPACITY_OPTIONS_TOKENS = [
  120_000, 100_000, 80_000, 65_000, 50_000, 40_000, 32_000, 24_000, 18_000,
  12_000, 8_000, 4_000,
];

/**
 * Returns the groups that serve the most streams in a second; none if the
 * servers cannot hold all layers.
 * @param servers the fastest first
 */
export function groupServers(
  model: ModelSpec,
  servers: readonly BackendServer[],
): ServerGroup[] {
  const options = CHAIN_CAPACITY_OPTIONS_TOKENS.filter(
    tokens => tokens <= maxUsableCapacityTokens(model),
  );
  let best: ServerGroup[] = [];
  let bestStreamsPerS = 0;
  for (const capacityTokens of options) {
    const groups = fillGroups(model, servers, capacityTokens);
    for (const candidate of withLastGroupVaried(
      model,
      servers,
      groups,
      options,
    )) {
      const total = candidate.reduce(
        (sum, group) => sum + groupStreamsPerS(model, group),
        0,
      );
      if (total <= bestStreamsPerS) continue;
      best = candidate;
      bestStreamsPerS = total;
    }
  }
  return best;
}

/** Forms complete groups of one capacity, the fastest servers first. */
function fillGroups(
  model: ModelSpec,
  servers: readonly BackendServer[],
  capacityTokens: number,
): ServerGroup[] {
  const groups: ServerGroup[] = [];
  let remaining = servers;
  for (;;) {
    const group = fillGroup(model, remaining, capacityTokens);
    if (!group) return groups;
    groups.push(group);
    remaining = withoutGroups(remaining, [group]);
  }
}

/**
 * Returns the groups, and each prefix of them with a last group of any capacity
 * of the servers that are left.
 */
function withLastGroupVaried(
  model: ModelSpec,
  servers: readonly BackendServer[],
  groups: readonly ServerGroup[],
  options: readonly number[],
): ServerGroup[][] {
  const varied = [0, 1].flatMap(dropped => {
    if (dropped > groups.length) return [];
    const kept = groups.slice(0, groups.length - dropped);
    const left = withoutGroups(servers, kept);
    return options.flatMap(tokens => {
      const last = fillGroup(model, left, tokens);
      return last ? [[...kept, last]] : [];
    });
  });
  return [[...groups], ...varied];
}

/** Forms a group of the first servers on which all layers fit. */
function fillGroup(
  model: ModelSpec,
  servers: readonly BackendServer[],
  capacityTokens: number,
): ServerGroup | undefined {
  const fitting = servers.filter(
    server => layersThatFit(model, server, capacityTokens) > 0,
  );
  const allCounts = divideLayers(model, fitting, capacityTokens);
  if (!allCounts) return undefined;
  const members = fitting.filter((_, i) => allCounts[i] > 0);
  const counts = allCounts.filter(count => count > 0);
  return {servers: members, counts, capacityTokens};
}

function withoutGroups(
  servers: readonly BackendServer[],
  groups: readonly ServerGroup[],
): BackendServer[] {
  const grouped = new Set(groups.flatMap(group => group.servers));
  return servers.filter(server => !grouped.has(server));
}

function groupStreamsPerS(
  model: ModelSpec,
  {servers, counts, capacityTokens}: ServerGroup,
): number {
  let endLayer = 0;
  const path = servers.map((server, i): PathStage => {
    const firstLayer = endLayer;
    endLayer += counts[i];
    return {server, firstLayer, endLayer};
  });
  return streamsPerS(model, {path, capacityTokens});
}
