/** A server that can stand in for a lost stage without loading weights. */
import type {ServerId} from '../ids/ids.js';
import {stableHash} from '../routing/stable_hash.js';
import type {Chain, ChainStage} from '../wire/messages.js';
import type {Plan, ServerRegistration} from './plan.js';
import {isLiveEngine, rangeKey} from './placement_types.js';
import {toStage} from './form_groups.js';

interface Candidate {
  readonly stage: ChainStage;
  /** 0 for a spare, 1 for a member of another chain. */
  readonly busy: number;
  /** 0 in the lost stage's zone, otherwise 1. */
  readonly distance: number;
  /** Spreads the chains that lose a stage together over the candidates. */
  readonly hash: number;
}

/**
 * Returns another server that holds the same layers of the same version: a
 * spare first, then one of the same zone. What a planned server holds is read
 * from the plan and not from its registration, which is written only at start.
 * An entry without registrations passes none and finds members of other chains.
 */
export function findReplacement(
  plan: Plan,
  registrations: readonly ServerRegistration[],
  chain: Chain,
  stageIndex: number,
  excluded: ReadonlySet<ServerId>,
): ChainStage | undefined {
  const lost = chain.stages[stageIndex];
  const own = new Set(chain.stages.map(stage => stage.server));
  const candidates = [
    ...findSpares(plan, registrations, chain, lost).map(s => ({s, busy: 0})),
    ...findMembers(plan, chain, lost).map(s => ({s, busy: 1})),
  ]
    .filter(({s}) => !own.has(s.server) && !excluded.has(s.server))
    .map(({s, busy}) => toCandidate(s, busy, lost, chain));
  candidates.sort(
    (a, b) => a.busy - b.busy || a.distance - b.distance || b.hash - a.hash,
  );
  return candidates[0]?.stage;
}

function toCandidate(
  stage: ChainStage,
  busy: number,
  lost: ChainStage,
  chain: Chain,
): Candidate {
  const distance = stage.availabilityZone === lost.availabilityZone ? 0 : 1;
  const hash = stableHash(`${chain.chain}\0${stage.server}`);
  return {stage, busy, distance, hash};
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

/** Leaving servers are left to the caller's `excluded`. */
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
