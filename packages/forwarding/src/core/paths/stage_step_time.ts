/** Estimates the duration of decode steps. Pure. */
import type {BackendServer} from '../fleet/backend_server.js';
import type {ModelSpec} from '../routing/routing_table.js';

/** Typical one-way latency of a hop inside an availability zone. */
export const IN_ZONE_HOP_MS = 0.3;

/**
 * Returns the duration of a decode step of a single request through `layers`
 * layers on the server.
 */
export function stageStepMs(
  model: ModelSpec,
  {accelerator, slowdownFactor = 1}: BackendServer,
  layers: number,
): number {
  const kind = model.accelerators.get(accelerator);
  const layerShare = layers / model.layers;
  return model.stepMs * (kind?.decodeFactor ?? 1) * slowdownFactor * layerShare;
}
