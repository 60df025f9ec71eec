import type {BackendServer} from '../fleet/backend_server.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Time of one decode step of a single request through so many layers. */
export function partStepMs(
  model: ModelSpec,
  {accelerator, slowdownFactor = 1}: BackendServer,
  layers: number,
): number {
  const kind = model.accelerators.get(accelerator);
  const layerFraction = layers / model.layers;
  return (
    model.stepMs * (kind?.decodeFactor ?? 1) * slowdownFactor * layerFraction
  );
}
