/** Splits a model's layers over an ordered list of stages of unequal speed. */
export interface SplitStage {
  /** Time that one layer takes for one decode batch, in milliseconds. */
  readonly layerMs: number;
  /** Number of layers that fit into memory. */
  readonly maxLayers: number;
  /** Time of the link to the next stage; 0 for the last stage. */
  readonly linkMs: number;
}

export interface LayerSplit {
  /** Number of layers of each stage, at least one. */
  readonly layerCounts: readonly number[];
  /** Compute time plus link time of the slowest stage, in milliseconds. */
  readonly slowestMs: number;
}

/** Halves the search interval until the error is far below 1 ns. */
const BISECTION_STEPS = 40;

/** Prevents rounding errors from reducing the layers within the found bound. */
const ROUNDING_TOLERANCE_LAYERS = 1e-9;

/**
 * Returns the split that minimizes the time of the slowest stage, or undefined
 * if the layers do not fit. Within a time T a stage can run
 * floor((T - linkMs) / layerMs) layers. This number rises with T, so the lowest
 * T at which all layers fit is found by bisection.
 */
export function splitLayers(
  stages: readonly SplitStage[],
  layers: number,
): LayerSplit | undefined {
  const fittingLayers = stages.reduce((sum, s) => sum + s.maxLayers, 0);
  const hasEmptyStage = stages.some(stage => stage.maxLayers < 1);
  if (hasEmptyStage || fittingLayers < layers || layers < stages.length) {
    return undefined;
  }
  const boundMs = findMinSlowestMs(stages, layers);
  const layerCounts = stages.map(stage => maxLayersWithin(stage, boundMs));
  removeExcessLayers(stages, layerCounts, layers);
  return {layerCounts, slowestMs: slowestStageMs(stages, layerCounts)};
}

export function slowestStageMs(
  stages: readonly SplitStage[],
  layerCounts: readonly number[],
): number {
  return Math.max(...stages.map((stage, i) => stageMs(stage, layerCounts[i])));
}

function stageMs(stage: SplitStage, count: number): number {
  return count * stage.layerMs + stage.linkMs;
}

function findMinSlowestMs(
  stages: readonly SplitStage[],
  layers: number,
): number {
  const fits = (boundMs: number) =>
    stages.reduce((sum, s) => sum + maxLayersWithin(s, boundMs), 0) >= layers;
  let lowMs = Math.max(...stages.map(stage => stageMs(stage, 1)));
  if (fits(lowMs)) return lowMs;
  let highMs = Math.max(...stages.map(s => stageMs(s, s.maxLayers)));
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middleMs = (lowMs + highMs) / 2;
    if (fits(middleMs)) highMs = middleMs;
    else lowMs = middleMs;
  }
  return highMs;
}

function maxLayersWithin(stage: SplitStage, boundMs: number): number {
  const count = Math.floor(
    (boundMs - stage.linkMs) / stage.layerMs + ROUNDING_TOLERANCE_LAYERS,
  );
  return Math.max(1, Math.min(stage.maxLayers, count));
}

/** Removes layers, each from the slowest stage, until `layers` are left. */
function removeExcessLayers(
  stages: readonly SplitStage[],
  layerCounts: number[],
  layers: number,
): void {
  let excess = layerCounts.reduce((sum, count) => sum + count, 0) - layers;
  for (; excess > 0; excess--) {
    let slowest = -1;
    layerCounts.forEach((count, i) => {
      if (count < 2) return;
      const isSlower =
        slowest < 0 ||
        stageMs(stages[i], count) >
          stageMs(stages[slowest], layerCounts[slowest]);
      if (isSlower) slowest = i;
    });
    layerCounts[slowest]--;
  }
}
