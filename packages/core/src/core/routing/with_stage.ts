/** Replaces one stage of a chain. */
import type {Chain, ChainStage} from '../wire/messages.js';

/** Returns a copy of the chain with `stage` at `index`. */
export function withStage(
  chain: Chain,
  index: number,
  stage: ChainStage,
): Chain {
  const stages = chain.stages.map((current, position) =>
    position === index ? stage : current,
  );
  return {...chain, stages};
}
