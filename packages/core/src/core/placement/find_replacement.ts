/** Finds a server that can replace a lost stage without loading weights. */
import type {ServerId} from '../ids/ids.js';
import {stableHash} from '../routing/stable_hash.js';
import type {Chain, ChainStage} from '../wire/messages.js';
import type {Plan, ServerRegistration} from './plan.js';
import {isLiveEngine, rangeKey} from './placement_types.js';
import {toStage} from './form_chains.js';

interface Candidate {
  readonly stage: ChainStage;
  /** 0 for a spare, 1 for a member of another chain. */
  readonly sourceOrder: number;
  /** 0 in the availability zone of the lost stage, otherwise 1. */
  readonly zoneDistance: number;
  /** Spreads chains that lose the same server over the candidates. */
  readonly hash: number;
}

/**
 * Returns another server that holds the same layers of the same model version:
 * preferably a spare, which is in no chain of the plan, then one in the same
 * availability zone. The layers of a planned server are read from the plan,
 * because its registration is written only at its start. An entry process has
 * no registrations; it passes none and finds only members of other chains.
 */
export function findReplacement(
  plan: Plan,
  registrations: readonly ServerRegistration[],
  chain: Chain,
  stageIndex: number,
  excluded: ReadonlySet<ServerId>,
): ChainStage | undefined {
  const lost = chain.stages[stageIndex];
  const ownServers = new Set(chain.stages.map(stage => stage.server));
  const candidates = [
    ...findSpares(plan, registrations, chain, lost).map(s => ({
      s,
      sourceOrder: 0,
    })),
    ...findMembers(plan, chain, lost).map(s => ({s, sourceOrder: 1})),
  ]
    .filter(({s}) => !ownServers.has(s.server) && !excluded.has(s.server))
    .map(({s, sourceOrder}) => toCandidate(s, sourceOrder, lost, chain));
  candidates.sort(
    (a, b) =>
      a.sourceOrder - b.sourceOrder ||
      a.zoneDistance - b.zoneDistance ||
      b.hash - a.hash,
  );
  return candidates[0]?.stage;
}

function toCandidate(
  stage: ChainStage,
  sourceOrder: number,
  lost: ChainStage,
  chain: Chain,
): Candidate {
  const zoneDistance = stage.availabilityZone === lost.availabilityZone ? 0 : 1;
  const hash = stableHash(`${chain.chain}\0${stage.server}`);
  return {stage, sourceOrder, zoneDistance, hash};
}

function findSpares(
  plan: Plan,
  registrations: readonly ServerRegistration[],
  {model, modelVersion}: Chain,
  lost: ChainStage,
): ChainStage[] {
  const planned = new Set(
    plan.chains.flatMap(chain => chain.stages.map(stage => stage.server)),
  );
  return registrations
    .filter(isLiveEngine)
    .filter(
      ({server, engine}) =>
        !planned.has(server) &&
        engine.model === model &&
        engine.modelVersion === modelVersion &&
        rangeKey(engine) === rangeKey(lost),
    )
    .map(server => toStage(server, lost));
}

/** Includes leaving servers; the caller filters them by `excluded`. */
function findMembers(
  plan: Plan,
  {model, modelVersion}: Chain,
  lost: ChainStage,
): ChainStage[] {
  return plan.chains
    .filter(c => c.model === model && c.modelVersion === modelVersion)
    .flatMap(c => c.stages)
    .filter(stage => rangeKey(stage) === rangeKey(lost));
}
