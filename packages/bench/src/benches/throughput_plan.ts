/** Planned throughput at the scale of the design page, by calculation. */
import type {Bench} from '../framework/bench.js';
import {runThroughputPlan} from '../figures/throughput_plan.js';

export const bench: Bench = {
  name: 'throughput-plan',
  description: 'planned tokens/s over 610 servers, as part of the bound',
  run({seed, log}) {
    const {byModel, mixed} = runThroughputPlan(seed);
    const parts = Object.entries(byModel).map(([model, figures]) => {
      const {ratioToBound, ratioToEqual, chains} = figures;
      log(
        `${model}: ${ratioToBound.toFixed(3)} of the bound in ${chains} ` +
          `chains, ${ratioToEqual.toFixed(2)}x the equal split`,
      );
      const equal = ratioToBound / ratioToEqual;
      return {ours: ratioToBound, baseline: equal};
    });
    log(
      `all models together: ${mixed.ratioToBound.toFixed(3)} of the bound, ` +
        `equal split ${mixed.equalRatioToBound.toFixed(3)}, ` +
        `plan ${mixed.planMs.toFixed(0)} ms`,
    );
    const [largest] = parts;
    const target = 'largest model >= 0.90 of the bound';
    return {...largest, target, met: largest.ours >= 0.9};
  },
};
