/** How planned throughput holds while servers leave and join. */
import {
  maxThroughput,
  planChains,
  type Plan,
  type PlanningOptions,
  type ServerRegistration,
} from '@azurecrank/core';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BENCH_MODELS, createFleet, fleetLinks} from './generated_fleet.js';
import {layersPerS} from './throughput_plan.js';

export interface ChurnOptions {
  readonly events: number;
  /** Chains of each model that a rebuild may dissolve. */
  readonly rebuildChains: number;
  /** Events between two rebuilds. */
  readonly rebuildEvery: number;
}

export interface ChurnFigures {
  readonly firstRatioToBound: number;
  /** Lowest and last value after an event. */
  readonly leastRatioToBound: number;
  readonly lastRatioToBound: number;
  /** Stages that had to load other layers. */
  readonly loads: number;
  readonly maxPlanMs: number;
}

/**
 * Each event takes a random server away, or brings it back if it is away. After
 * every 50 events all servers come back.
 */
export function measureChurn(
  seed: number,
  {events, rebuildChains, rebuildEvery}: ChurnOptions,
): ChurnFigures {
  const fleet = createFleet(seed);
  const generator = xoroshiro128plus(seed);
  const away = new Set<string>();
  let plan = planChains(fleet, BENCH_MODELS, fleetLinks);
  const ratios = [ratioToBound(plan, fleet)];
  let loads = 0;
  let maxPlanMs = 0;
  for (let event = 1; event <= events; event++) {
    const {server} = fleet[uniformInt(generator, 0, fleet.length - 1)];
    if (!away.delete(server)) away.add(server);
    if (event % 50 === 0) away.clear();
    const live = fleet.filter(s => !away.has(s.server));
    const isRebuild = event % rebuildEvery === 0;
    const options: Partial<PlanningOptions> = {
      maxRebuiltChains: isRebuild ? rebuildChains : 0,
    };
    const startMs = performance.now();
    const next = planChains(live, BENCH_MODELS, fleetLinks, plan, options);
    maxPlanMs = Math.max(maxPlanMs, performance.now() - startMs);
    loads += countLoads(plan, next);
    plan = next;
    ratios.push(ratioToBound(plan, live));
  }
  return {
    firstRatioToBound: ratios[0],
    leastRatioToBound: Math.min(...ratios),
    lastRatioToBound: ratios[ratios.length - 1],
    loads,
    maxPlanMs,
  };
}

function ratioToBound(plan: Plan, live: readonly ServerRegistration[]): number {
  return layersPerS(plan, live) / maxThroughput(live, 1);
}

function countLoads(before: Plan, after: Plan): number {
  const held = new Set(listRanges(before));
  return listRanges(after).filter(range => !held.has(range)).length;
}

function listRanges(plan: Plan): string[] {
  return plan.chains.flatMap(({model, stages}) =>
    stages.map(s => `${s.server} ${model} ${s.firstLayer}-${s.endLayer}`),
  );
}
