/** Computes the throughput of plans, its upper bound and a baseline plan. */
import type {PlanVersion} from '../ids/ids.js';
import type {Chain} from '../wire/messages.js';
import {assignModels} from './assign_models.js';
import {toStages} from './form_chains.js';
import {EMPTY_PLAN, type Plan, type ServerRegistration} from './plan.js';
import {
  compareIds,
  isLiveEngine,
  maxLayers,
  type EngineServer,
  type LinkTime,
  type PlacementModel,
} from './placement_types.js';

/**
 * Upper bound of the tokens per second: links take no time, layers can be
 * divided and memory is unlimited. One decode batch generates
 * `sequencesPerBatch` tokens.
 */
export function maxThroughput(
  servers: readonly ServerRegistration[],
  layers: number,
  sequencesPerBatch = 1,
): number {
  const layersPerMs = servers
    .filter(isLiveEngine)
    .reduce((sum, {engine}) => sum + 1 / engine.layerMs, 0);
  return (layersPerMs * 1000 * sequencesPerBatch) / layers;
}

/**
 * Tokens per second of a chain at saturation, when its slowest stage always
 * has a batch. 0 if a server is not registered.
 */
export function chainThroughput(
  chain: Chain,
  servers: ReadonlyMap<string, ServerRegistration>,
  linkTimeMs: LinkTime,
  sequencesPerBatch = 1,
): number {
  let slowestMs = 0;
  for (const [index, stage] of chain.stages.entries()) {
    const server = servers.get(stage.server);
    if (!server?.engine) return 0;
    const next = servers.get(chain.stages[index + 1]?.server);
    const layers = stage.endLayer - stage.firstLayer;
    const linkMs = next ? linkTimeMs(server, next) : 0;
    slowestMs = Math.max(slowestMs, layers * server.engine.layerMs + linkMs);
  }
  return slowestMs === 0 ? 0 : (1000 * sequencesPerBatch) / slowestMs;
}

/** Tokens per second of all chains of the plan at saturation. */
export function planThroughput(
  plan: Plan,
  servers: readonly ServerRegistration[],
  linkTimeMs: LinkTime,
  sequencesPerBatch = 1,
): number {
  const byId = new Map<string, ServerRegistration>(
    servers.map(server => [server.server, server]),
  );
  return plan.chains.reduce(
    (sum, chain) =>
      sum + chainThroughput(chain, byId, linkTimeMs, sequencesPerBatch),
    0,
  );
}

/**
 * Baseline plan: servers in the order of their ids form chains of equal length
 * with equal ranges, without regard to speed, links and zones.
 */
export function planEqualSplit(
  servers: readonly ServerRegistration[],
  models: readonly PlacementModel[],
): Plan {
  const engines = servers
    .filter(isLiveEngine)
    .sort((a, b) => compareIds(a.server, b.server));
  const assigned = assignModels(engines, models, EMPTY_PLAN);
  const chains = models.flatMap(model => {
    const members = [...(assigned.get(model.model) ?? [])];
    members.sort((a, b) => compareIds(a.server, b.server));
    return formEqualChains(members, model);
  });
  return {...EMPTY_PLAN, version: 1 as PlanVersion, chains};
}

function formEqualChains(
  members: readonly EngineServer[],
  model: PlacementModel,
): Chain[] {
  const smallest = Math.min(...members.map(s => maxLayers(s, model)));
  if (members.length === 0 || smallest < 1) return [];
  const size = Math.ceil(model.layers / smallest);
  const counts = Array.from(
    {length: size},
    (_, i) =>
      Math.floor(((i + 1) * model.layers) / size) -
      Math.floor((i * model.layers) / size),
  );
  const chains: Chain[] = [];
  for (let start = 0; start + size <= members.length; start += size) {
    const stages = toStages(members.slice(start, start + size), counts);
    const chain = `${model.model}-equal-${start}` as Chain['chain'];
    const {modelVersion} = model;
    chains.push({chain, model: model.model, modelVersion, stages});
  }
  return chains;
}
