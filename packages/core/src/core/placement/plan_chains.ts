/** Computes the plan: which server holds which layers in which chain. */
import type {ChainId, PlanVersion, ServerId, ServiceId} from '../ids/ids.js';
import {stableHash} from '../routing/stable_hash.js';
import type {Chain, ChainStage} from '../wire/messages.js';
import {assignModels} from './assign_models.js';
import {formGroups, toStage} from './form_groups.js';
import {groupHeldRanges} from './held_ranges.js';
import {
  EMPTY_PLAN,
  type Plan,
  type ServerRegistration,
  type ServiceServer,
} from './plan.js';
import {
  DEFAULT_PLANNING,
  compareIds,
  holdsRange,
  isLiveEngine,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
  type PlanningOptions,
} from './placement_types.js';
import {rebuildChains} from './rebuild_chains.js';
import {holding, repairChains} from './repair_chains.js';

/**
 * Returns `previous` itself if nothing changes, otherwise a plan with the next
 * version and the same fence. The result depends on nothing but the arguments.
 *
 * Order of steps, from no loading of weights to most: chains of the previous
 * plan keep their ranges; lost stages are replaced; holders of ranges outside
 * any chain are grouped; empty servers get new ranges.
 */
export function planChains(
  servers: readonly ServerRegistration[],
  models: readonly PlacementModel[],
  links: LinkTime,
  previous: Plan = EMPTY_PLAN,
  options: Partial<PlanningOptions> = {},
): Plan {
  const engines = servers
    .filter(isLiveEngine)
    .sort((a, b) => compareIds(a.server, b.server));
  const assigned = assignModels(engines, models, previous);
  const settings = {...DEFAULT_PLANNING, ...options};
  const chains = models.flatMap(model =>
    planModel(
      assigned.get(model.model) ?? [],
      model,
      links,
      previous,
      settings,
    ),
  );
  const services = listServices(servers);
  const isSame =
    JSON.stringify([chains, services]) ===
    JSON.stringify([previous.chains, previous.services]);
  if (isSame) return previous;
  const version = (previous.version + 1) as PlanVersion;
  return {version, fence: previous.fence, chains, services};
}

function planModel(
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  previous: Plan,
  options: PlanningOptions,
): Chain[] {
  const old = previous.chains.filter(chain => chain.model === model.model);
  const held = applyPrevious(servers, old);
  const chains = repairChains({
    chains: old,
    servers: held,
    model,
    links,
    options,
  });
  const ids = new Set(chains.map(chain => chain.chain));
  const used = new Set(chains.flatMap(chain => chain.stages.map(serverOf)));
  const add = (stages: readonly ChainStage[]) => {
    chains.push(createChain(model, stages, ids));
    for (const stage of stages) used.add(stage.server);
  };
  const holders = held.filter(s => !used.has(s.server) && holdsRange(s));
  for (const group of groupHeldRanges(holders, model.layers, links)) {
    add(group.map(server => toStage(server, server.engine)));
  }
  const empty = held.filter(
    s => !used.has(s.server) && (options.reassignHolders || !holdsRange(s)),
  );
  for (const group of formGroups(empty, model, links, options.maxStages)) {
    add(group.stages);
  }
  const result = rebuildSome(chains, held, model, links, options, ids);
  return settle(result, held, model, links, options);
}

/** Rounds after which a plan is taken as it is. */
const MAX_SETTLE_ROUNDS = 3;

/**
 * Replaces slow stages of new chains as the next planning would. Otherwise a
 * change that does not concern a chain would be the occasion to alter it.
 */
function settle(
  formed: readonly Chain[],
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  options: PlanningOptions,
): Chain[] {
  let chains = [...formed].sort((a, b) => compareIds(a.chain, b.chain));
  for (let round = 0; round < MAX_SETTLE_ROUNDS; round++) {
    const next = repairChains({chains, servers, model, links, options});
    if (JSON.stringify(next) === JSON.stringify(chains)) break;
    chains = next;
  }
  return chains;
}

function rebuildSome(
  chains: Chain[],
  servers: readonly EngineServer[],
  model: PlacementModel,
  links: LinkTime,
  options: PlanningOptions,
  ids: Set<ChainId>,
): Chain[] {
  if (options.rebuildChains === 0) return chains;
  const used = new Set(chains.flatMap(chain => chain.stages.map(serverOf)));
  const idle = servers.filter(server => !used.has(server.server));
  const rebuild = rebuildChains(chains, idle, servers, model, links, options);
  if (!rebuild) return chains;
  const kept = chains.filter(chain => !rebuild.dissolved.has(chain));
  const formed = rebuild.groups.map(g => createChain(model, g.stages, ids));
  return [...kept, ...formed];
}

/**
 * A registration is written once per start, so the previous plan is the newer
 * source of what a server holds.
 */
function applyPrevious(
  servers: readonly EngineServer[],
  chains: readonly Chain[],
): EngineServer[] {
  const planned = new Map(
    chains.flatMap(chain => chain.stages.map(stage => [stage.server, stage])),
  );
  return servers.map(server => {
    const stage = planned.get(server.server);
    return stage ? holding(server, stage) : server;
  });
}

function serverOf(stage: ChainStage): ServerId {
  return stage.server;
}

function createChain(
  model: PlacementModel,
  stages: readonly ChainStage[],
  ids: Set<ChainId>,
): Chain {
  const text = [model.model, ...stages.map(serverOf)].join('\0');
  let chain: ChainId;
  let seed = 0;
  do {
    const digest = stableHash(text, seed++).toString(16).padStart(8, '0');
    chain = `${model.model}-${digest}` as ChainId;
  } while (ids.has(chain));
  ids.add(chain);
  return {chain, model: model.model, modelVersion: model.modelVersion, stages};
}

function listServices(
  servers: readonly ServerRegistration[],
): Record<ServiceId, ServiceServer[]> {
  const services: Record<ServiceId, ServiceServer[]> = {};
  const plain = servers
    .filter(server => server.service && server.state === 'live')
    .sort(
      (a, b) =>
        compareIds(a.service!, b.service!) || compareIds(a.server, b.server),
    );
  for (const {service, server, address, availabilityZone} of plain) {
    (services[service!] ??= []).push({server, address, availabilityZone});
  }
  return services;
}
