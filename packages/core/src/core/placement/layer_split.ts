/** Split of a model's layers over an ordered list of unequal stages. */
export interface SplitStage {
  /** Time of one layer for one decode batch, in milliseconds. */
  readonly layerMs: number;
  /** Layers that fit into memory. */
  readonly maxLayers: number;
  /** Time of the outgoing link; 0 for the last stage. */
  readonly linkMs: number;
}

export interface LayerSplit {
  /** Layers of each stage, at least one. */
  readonly counts: readonly number[];
  /** Compute and outgoing link of the slowest stage, in milliseconds. */
  readonly slowestMs: number;
}

/** Halvings of the search interval; leaves an error far below 1 ns. */
const SEARCH_STEPS = 40;

/** Keeps a bound found by the search from losing a layer to rounding. */
const ROUNDING = 1e-9;

/**
 * Returns the split with the fastest slowest stage, or undefined if the layers
 * do not fit. For a bound T a stage can run floor((T - link) / layer) layers,
 * which rises with T, so the least T for which the layers fit is found by
 * bisection.
 */
export function splitLayers(
  stages: readonly SplitStage[],
  layers: number,
): LayerSplit | undefined {
  const memoryLayers = stages.reduce((sum, s) => sum + s.maxLayers, 0);
  const hasEmptyStage = stages.some(stage => stage.maxLayers < 1);
  if (hasEmptyStage || memoryLayers < layers || layers < stages.length) {
    return undefined;
  }
  const boundMs = findBound(stages, layers);
  const counts = stages.map(stage => countWithin(stage, boundMs));
  trimExcess(stages, counts, layers);
  return {counts, slowestMs: slowestStageMs(stages, counts)};
}

export function slowestStageMs(
  stages: readonly SplitStage[],
  counts: readonly number[],
): number {
  return Math.max(...stages.map((stage, i) => stageMs(stage, counts[i])));
}

function stageMs(stage: SplitStage, count: number): number {
  return count * stage.layerMs + stage.linkMs;
}

function findBound(stages: readonly SplitStage[], layers: number): number {
  const fits = (boundMs: number) =>
    stages.reduce((sum, s) => sum + countWithin(s, boundMs), 0) >= layers;
  let lowMs = Math.max(...stages.map(stage => stageMs(stage, 1)));
  if (fits(lowMs)) return lowMs;
  let highMs = Math.max(...stages.map(s => stageMs(s, s.maxLayers)));
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middleMs = (lowMs + highMs) / 2;
    if (fits(middleMs)) highMs = middleMs;
    else lowMs = middleMs;
  }
  return highMs;
}

function countWithin(stage: SplitStage, boundMs: number): number {
  const count = Math.floor((boundMs - stage.linkMs) / stage.layerMs + ROUNDING);
  return Math.max(1, Math.min(stage.maxLayers, count));
}

/** Takes surplus layers from the slowest stages. */
function trimExcess(
  stages: readonly SplitStage[],
  counts: number[],
  layers: number,
): void {
  let excess = counts.reduce((sum, count) => sum + count, 0) - layers;
  for (; excess > 0; excess--) {
    let slowest = -1;
    counts.forEach((count, i) => {
      if (count < 2) return;
      const isSlower =
        slowest < 0 ||
        stageMs(stages[i], count) > stageMs(stages[slowest], counts[slowest]);
      if (isSlower) slowest = i;
    });
    counts[slowest]--;
  }
}
