/** Replacement of one stage of a chain. */
import type {Chain, ChainStage} from '../wire/messages.js';

/** Returns the chain with another stage at `index`. */
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
