/** Computes the next plan from the registrations, models and previous plan. */
import type {ChainId, PlanVersion, ServerId, ServiceId} from '../ids/ids.js';
import {stableHash} from '../routing/stable_hash.js';
import type {Chain, ChainStage} from '../wire/messages.js';
import {assignModels} from './assign_models.js';
import {formChains, toStage} from './form_chains.js';
import {formChainsFromHolders} from './form_chains_from_holders.js';
import {
  EMPTY_PLAN,
  type Plan,
  type ServerRegistration,
  type ServiceServer,
} from './plan.js';
import {
  DEFAULT_PLANNING_OPTIONS,
  compareIds,
  holdsLayers,
  isLiveEngine,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
  type PlanningOptions,
} from './placement_types.js';
import {rebuildChains} from './rebuild_chains.js';
import {
  coversModel,
  repairChains,
  withRange,
  type RepairInput,
  type UnharmedChains,
} from './repair_chains.js';

/**
 * Returns `previous` itself if nothing changes, otherwise a plan with the next
 * version and the same fencing number. The result is a pure function of the
 * arguments and does not depend on the order of `servers`.
 *
 * The steps are ordered by the weights that they load, the least first: chains
 * of the previous plan keep their ranges, lost stages are replaced, unused
 * servers that hold layers form chains, and empty servers get new ranges.
 */
export function planChains(
  servers: readonly ServerRegistration[],
  models: readonly PlacementModel[],
  linkTimeMs: LinkTime,
  previous: Plan = EMPTY_PLAN,
  options: Partial<PlanningOptions> = {},
): Plan {
  const engines = servers
    .filter(isLiveEngine)
    .sort((a, b) => compareIds(a.server, b.server));
  const assigned = assignModels(engines, models, previous);
  const settings = {...DEFAULT_PLANNING_OPTIONS, ...options};
  const chains = models.flatMap(model =>
    planModel(
      assigned.get(model.model) ?? [],
      model,
      linkTimeMs,
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
  linkTimeMs: LinkTime,
  previous: Plan,
  options: PlanningOptions,
): Chain[] {
  const previousChains = previous.chains.filter(
    chain => chain.model === model.model,
  );
  const current = applyPlannedRanges(servers, previousChains);
  const chains = repairChains({
    chains: previousChains,
    servers: current,
    model,
    linkTimeMs,
    options,
  });
  const ids = new Set(chains.map(chain => chain.chain));
  const used = new Set(chains.flatMap(chain => chain.stages.map(serverOf)));
  const addChain = (stages: readonly ChainStage[]) => {
    chains.push(createChain(model, stages, ids));
    for (const stage of stages) used.add(stage.server);
  };
  const holders = current.filter(s => !used.has(s.server) && holdsLayers(s));
  for (const group of formChainsFromHolders(
    holders,
    model.layers,
    linkTimeMs,
  )) {
    addChain(group.map(server => toStage(server, server.engine)));
  }
  const empty = current.filter(
    s => !used.has(s.server) && (options.reassignHolders || !holdsLayers(s)),
  );
  for (const group of formChains(empty, model, linkTimeMs, options.maxStages)) {
    addChain(group.stages);
  }
  const result = rebuildInefficientChains(
    chains,
    current,
    model,
    linkTimeMs,
    options,
    ids,
  );
  return replaceSlowStages({
    chains: result,
    servers: current,
    model,
    linkTimeMs,
    options,
    unharmed: findUnharmed(previousChains, result, current, model),
  });
}

/** Bounds the rounds of replacing slow stages in one planning run. */
const MAX_REPLACEMENT_ROUNDS = 3;

/**
 * Replaces slow stages of new and repaired chains until nothing changes.
 * Otherwise the next planning run would replace them, and an unrelated event
 * such as the loss of another server would change these chains.
 */
function replaceSlowStages(input: RepairInput): Chain[] {
  let chains = [...input.chains].sort((a, b) => compareIds(a.chain, b.chain));
  for (let round = 0; round < MAX_REPLACEMENT_ROUNDS; round++) {
    const next = repairChains({...input, chains});
    if (JSON.stringify(next) === JSON.stringify(chains)) break;
    chains = next;
  }
  return chains;
}

/** Finds the chains that lost no server and were not rebuilt. */
function findUnharmed(
  previous: readonly Chain[],
  planned: readonly Chain[],
  servers: readonly EngineServer[],
  model: PlacementModel,
): UnharmedChains {
  const live = new Set(servers.map(({server}) => server));
  const plannedIds = new Set(planned.map(({chain}) => chain));
  const isUnharmed = ({chain, stages}: Chain) =>
    plannedIds.has(chain) &&
    coversModel(stages, model) &&
    stages.every(({server}) => live.has(server));
  const harmed = previous.filter(chain => !isUnharmed(chain));
  return {
    chains: new Set(previous.filter(isUnharmed).map(({chain}) => chain)),
    releasedServers: new Set(harmed.flatMap(c => c.stages.map(serverOf))),
  };
}

function rebuildInefficientChains(
  chains: Chain[],
  servers: readonly EngineServer[],
  model: PlacementModel,
  linkTimeMs: LinkTime,
  options: PlanningOptions,
  ids: Set<ChainId>,
): Chain[] {
  if (options.maxRebuiltChains === 0) return chains;
  const used = new Set(chains.flatMap(chain => chain.stages.map(serverOf)));
  const idle = servers.filter(server => !used.has(server.server));
  const rebuild = rebuildChains(
    chains,
    idle,
    servers,
    model,
    linkTimeMs,
    options,
  );
  if (!rebuild) return chains;
  const kept = chains.filter(chain => !rebuild.dissolved.has(chain));
  const formed = rebuild.formed.map(g => createChain(model, g.stages, ids));
  return [...kept, ...formed];
}

/**
 * Sets the layer range of each planned server to that of the previous plan. A
 * registration is written only at the start, so the plan is more recent.
 */
function applyPlannedRanges(
  servers: readonly EngineServer[],
  chains: readonly Chain[],
): EngineServer[] {
  const planned = new Map(
    chains.flatMap(chain => chain.stages.map(stage => [stage.server, stage])),
  );
  return servers.map(server => {
    const stage = planned.get(server.server);
    return stage ? withRange(server, stage) : server;
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
