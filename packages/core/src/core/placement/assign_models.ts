/** Assigns each live engine to the model that it serves. */
import type {ModelId, ServerId} from '../ids/ids.js';
import type {Plan} from './plan.js';
import {
  compareIds,
  type EngineServer,
  type PlacementModel,
} from './placement_types.js';

/**
 * A server keeps the model of its chain in the previous plan, otherwise the
 * model named by its engine. The others are sorted by zone and speed and go one
 * by one to the model with the least speed in relation to its token share, so
 * that each model gets servers of all zones and kinds.
 */
export function assignModels(
  servers: readonly EngineServer[],
  models: readonly PlacementModel[],
  previous: Plan,
): Map<ModelId, EngineServer[]> {
  const planned = new Map<ServerId, ModelId>(
    previous.chains.flatMap(({model, stages}) =>
      stages.map(stage => [stage.server, model] as const),
    ),
  );
  const assigned = new Map(models.map(m => [m.model, [] as EngineServer[]]));
  const free: EngineServer[] = [];
  for (const server of servers) {
    const model = planned.get(server.server) ?? server.engine.model;
    const members = assigned.get(model);
    if (members) members.push(server);
    else free.push(withoutLayers(server));
  }
  assignFreeServers(free, models, assigned);
  return assigned;
}

/** Marks the engine as empty: it holds layers of a model no longer served. */
function withoutLayers(server: EngineServer): EngineServer {
  const engine = {...server.engine, firstLayer: 0, endLayer: 0};
  return {...server, engine};
}

function assignFreeServers(
  free: EngineServer[],
  models: readonly PlacementModel[],
  assigned: Map<ModelId, EngineServer[]>,
): void {
  const candidates = models
    .filter(model => model.tokenShare > 0)
    .map(model => ({
      model,
      speed: assigned
        .get(model.model)!
        .reduce((sum, server) => sum + layersPerMs(server), 0),
    }));
  if (candidates.length === 0) return;
  free.sort(compareByKind);
  for (const server of free) {
    const leastProvisioned = candidates.reduce((least, next) =>
      speedPerShare(next) < speedPerShare(least) ? next : least,
    );
    leastProvisioned.speed += layersPerMs(server);
    assigned.get(leastProvisioned.model.model)!.push(server);
  }
}

/** Speed of a model's servers relative to the work its token share causes. */
function speedPerShare({
  model,
  speed,
}: {
  model: PlacementModel;
  speed: number;
}): number {
  return speed / (model.layers * model.tokenShare);
}

/** Speed of a server: layers of a decode batch per millisecond. */
function layersPerMs({engine}: EngineServer): number {
  return 1 / engine.layerMs;
}

function compareByKind(a: EngineServer, b: EngineServer): number {
  return (
    compareIds(a.region, b.region) ||
    compareIds(a.availabilityZone, b.availabilityZone) ||
    a.engine.layerMs - b.engine.layerMs ||
    compareIds(a.host, b.host) ||
    compareIds(a.server, b.server)
  );
}
