/** Chain choice under late load reports, in simulated time. */
import type {Bench} from '../framework/bench.js';
import {runChainChoice} from '../figures/chain_choice.js';

export const bench: Bench = {
  name: 'chain-choice',
  description: 'first token p95 in ms against random and least reported load',
  run({seed, log}) {
    const {result, byPolicy} = runChainChoice(seed);
    for (const [policy, figures] of Object.entries(byPolicy)) {
      const {firstTokenP50Ms, firstTokenP95Ms, hitPart} = figures;
      log(
        `${policy}: first token p50 ${firstTokenP50Ms.toFixed(0)} ms, p95 ` +
          `${firstTokenP95Ms.toFixed(0)} ms, prefix hits ${hitPart.toFixed(2)}`,
      );
    }
    const {ours, baseline, met} = result;
    return {ours, baseline, target: '<= 1.0x the best baseline', met};
  },
};
