/** Decides which model each engine serves. */
import type {ModelId, ServerId} from '../ids/ids.js';
import type {Plan} from './plan.js';
import {
  compareIds,
  type EngineServer,
  type PlacementModel,
} from './placement_types.js';

/**
 * A server stays with the model of its chain in the previous plan, otherwise
 * with the model its engine names. Others go to the model whose speed is
 * furthest below its share, spread evenly over zones and kinds.
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
    else free.push(emptied(server));
  }
  spread(free, models, assigned);
  return assigned;
}

/** Layers of a model that is no longer served are worth nothing. */
function emptied(server: EngineServer): EngineServer {
  const engine = {...server.engine, firstLayer: 0, endLayer: 0};
  return {...server, engine};
}

function spread(
  free: EngineServer[],
  models: readonly PlacementModel[],
  assigned: Map<ModelId, EngineServer[]>,
): void {
  const served = models
    .filter(model => model.share > 0)
    .map(model => ({
      model,
      speed: assigned
        .get(model.model)!
        .reduce((sum, server) => sum + speedOf(server), 0),
    }));
  if (served.length === 0) return;
  free.sort(compareByKind);
  for (const server of free) {
    const neediest = served.reduce((least, next) =>
      progress(next) < progress(least) ? next : least,
    );
    neediest.speed += speedOf(server);
    assigned.get(neediest.model.model)!.push(server);
  }
}

function progress({
  model,
  speed,
}: {
  model: PlacementModel;
  speed: number;
}): number {
  return speed / (model.layers * model.share);
}

/** Layers per millisecond. */
function speedOf({engine}: EngineServer): number {
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
