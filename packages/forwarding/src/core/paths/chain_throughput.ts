/**
 * Estimates how many streams a second a chain can serve: its places over the
 * time that a stream holds one of them. Pure.
 */
import type {ModelSpec} from '../routing/routing_table.js';
import type {ServerChain} from './find_chains.js';
import type {PathStage} from './server_path.js';
import {IN_ZONE_HOP_MS, stageStepMs} from './stage_step_time.js';

/**
 * Fraction of a chain's KV-cache capacity that admitted requests are expected
 * to use at most. The rest is for responses that are longer than expected, and
 * for requests that peers have admitted since their last report.
 */
export const ADMISSIBLE_CAPACITY_FRACTION = 0.9;

/** The members of a chain that its throughput depends on. */
type PlannedChain = Pick<ServerChain, 'path' | 'capacityTokens'>;

/** Tokens wait on average for half of a step of the slowest stage. */
const SLOWEST_STAGE_WAIT_STEPS = 0.5;

const MS_PER_SECOND = 1000;

/** KV-cache tokens of a typical stream at its end. */
export function typicalStreamTokens(model: ModelSpec): number {
  return Math.max(1, model.typicalPromptTokens + model.typicalResponseTokens);
}

/** KV-cache capacity with which the slots of a first server bind. */
export function maxUsableCapacityTokens(model: ModelSpec): number {
  return (
    (model.slots * typicalStreamTokens(model)) / ADMISSIBLE_CAPACITY_FRACTION
  );
}

/** Number of typical streams that a chain runs at the same time. */
export function concurrentStreams(
  model: ModelSpec,
  {capacityTokens}: Pick<PlannedChain, 'capacityTokens'>,
): number {
  const admissibleTokens = capacityTokens * ADMISSIBLE_CAPACITY_FRACTION;
  return Math.min(model.slots, admissibleTokens / typicalStreamTokens(model));
}

/** Time that a typical stream holds its place on a chain that is in full use. */
export function streamDurationMs(
  model: ModelSpec,
  chain: PlannedChain,
): number {
  const {path} = chain;
  const batchFactor =
    (model.stepMs + concurrentStreams(model, chain) * model.stepPerSequenceMs) /
    model.stepMs;
  const stepsMs = path.map(stage => batchFactor * stepMs(model, stage));
  const tokenMs =
    stepsMs.reduce((sum, ms) => sum + ms, 0) +
    SLOWEST_STAGE_WAIT_STEPS * Math.max(...stepsMs) +
    path.length * IN_ZONE_HOP_MS;
  const prefillMs = path.reduce(
    (sum, stage) => sum + stagePrefillMs(model, stage),
    0,
  );
  return prefillMs + model.typicalResponseTokens * tokenMs;
}

/** Typical streams that a chain serves in a second. */
export function streamsPerS(model: ModelSpec, chain: PlannedChain): number {
  const durationMs = streamDurationMs(model, chain);
  return (MS_PER_SECOND * concurrentStreams(model, chain)) / durationMs;
}

function stepMs(model: ModelSpec, stage: PathStage): number {
  return stageStepMs(model, stage.server, stage.endLayer - stage.firstLayer);
}

function stagePrefillMs(
  model: ModelSpec,
  {server, firstLayer, endLayer}: PathStage,
): number {
  const kind = model.accelerators.get(server.accelerator);
  const layerShare = (endLayer - firstLayer) / model.layers;
  const factor = (kind?.prefillFactor ?? 1) * (server.slowdownFactor ?? 1);
  return (
    (model.typicalPromptTokens / model.prefillTokensPerMs) * factor * layerShare
  );
}

/** Typical streams that all chains together serve in a second. */
export function totalStreamsPerS(
  model: ModelSpec,
  chains: readonly PlannedChain[],
): number {
  return chains.reduce((sum, chain) => sum + streamsPerS(model, chain), 0);
}
