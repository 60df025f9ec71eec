/** Inputs of the planner. */
import type {ModelId} from '../ids/ids.js';
import type {RegisteredEngine, ServerRegistration} from './plan.js';

export interface PlacementModel {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly layers: number;
  /** Memory of one layer: weights, and cache for the sequences served. */
  readonly layerBytes: number;
  /** Part of the generated tokens that this model should serve; relative. */
  readonly share: number;
}

/** Time in milliseconds to send the activations of a batch over a link. */
export type LinkTime = (
  from: ServerRegistration,
  to: ServerRegistration,
) => number;

export interface PlanningOptions {
  /** Bounds the latency of a token, which crosses every link of its chain. */
  readonly maxStages: number;
  /**
   * A stage is replaced by a spare that holds its range if it is slower by this
   * factor; smaller differences are not worth the change.
   */
  readonly slowdownFactor: number;
  /**
   * Whether servers that hold a range without belonging to a chain may load
   * other layers. A caller sets it only after they have been idle for a while:
   * most missing servers are restarting and come back within seconds.
   */
  readonly reassignHolders: boolean;
  /**
   * Chains of each model that may be dissolved and formed anew if that is
   * clearly faster. A caller sets it in quiet times, within the rate at which
   * weights may be loaded.
   */
  readonly rebuildChains: number;
}

export const DEFAULT_PLANNING: PlanningOptions = {
  maxStages: 12,
  slowdownFactor: 1.5,
  reassignHolders: false,
  rebuildChains: 0,
};

/** A registration that has an engine. */
export type EngineServer = ServerRegistration & {
  readonly engine: RegisteredEngine;
};

export interface LayerRange {
  readonly firstLayer: number;
  readonly endLayer: number;
}

export function isLiveEngine(
  registration: ServerRegistration,
): registration is EngineServer {
  return registration.state === 'live' && registration.engine !== undefined;
}

/** Whether layers are loaded in the registered engine. */
export function holdsRange({engine}: EngineServer): boolean {
  return engine.firstLayer < engine.endLayer;
}

export function maxLayers(server: EngineServer, model: PlacementModel): number {
  return Math.floor(server.engine.memoryBytes / model.layerBytes);
}

export function rangeKey({firstLayer, endLayer}: LayerRange): string {
  return `${firstLayer}-${endLayer}`;
}

/** Order by id that does not depend on the locale. */
export function compareIds(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
