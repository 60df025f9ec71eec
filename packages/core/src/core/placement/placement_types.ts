/** Input types of the placement planner and helpers for them. */
import type {ModelId} from '../ids/ids.js';
import type {RegisteredEngine, ServerRegistration} from './plan.js';

export interface PlacementModel {
  readonly model: ModelId;
  readonly modelVersion: string;
  readonly layers: number;
  /** Memory of one layer: weights plus KV cache of the sequences served. */
  readonly layerBytes: number;
  /** Relative share of all generated tokens that this model should serve. */
  readonly tokenShare: number;
}

/** Returns the milliseconds to send the activations of a batch over a link. */
export type LinkTime = (
  from: ServerRegistration,
  to: ServerRegistration,
) => number;

export interface PlanningOptions {
  /** Highest number of stages of a chain, since a token crosses every link. */
  readonly maxStages: number;
  /**
   * A stage is replaced by a spare if it is slower than the spare and than the
   * other stages by at least this factor. Smaller gains are not worth a change.
   */
  readonly minSlowdownToReplace: number;
  /**
   * Whether servers that hold layers and belong to no chain may load other
   * layers. Callers set it only after these servers have been idle for a while,
   * because most missing servers only restart and are back within seconds.
   */
  readonly reassignHolders: boolean;
  /**
   * Highest number of chains per model that may be dissolved and formed again
   * if that is clearly faster. Callers set it at times of low load, within the
   * rate limit for loading weights.
   */
  readonly maxRebuiltChains: number;
}

export const DEFAULT_PLANNING_OPTIONS: PlanningOptions = {
  maxStages: 12,
  minSlowdownToReplace: 1.5,
  reassignHolders: false,
  maxRebuiltChains: 0,
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
export function holdsLayers({engine}: EngineServer): boolean {
  return engine.firstLayer < engine.endLayer;
}

export function maxLayers(server: EngineServer, model: PlacementModel): number {
  return Math.floor(server.engine.memoryBytes / model.layerBytes);
}

export function rangeKey({firstLayer, endLayer}: LayerRange): string {
  return `${firstLayer}-${endLayer}`;
}

/** Compares ids by code unit, independent of the locale. */
export function compareIds(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
