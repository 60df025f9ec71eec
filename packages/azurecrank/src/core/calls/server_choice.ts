/** Which server of a service gets a call. */
import {
  claimKeyHash,
  claimPageIndex,
  claimPageKey,
  orderServers,
  type Call,
  type ServerId,
  type ServiceServer,
} from '@azurecrank/core';

/** Calls in flight from this process, by server. */
export type OutstandingCalls = ReadonlyMap<ServerId, number>;

export interface ServerChoiceOptions {
  /** As the sides have it; a difference costs conflicts, not correctness. */
  readonly claimPages: number;
  readonly random: () => number;
}

/** Whether the call is made under a claim. */
export function needsClaim(
  call: Pick<Call, 'idempotent' | 'idempotencyKey'>,
): boolean {
  return !call.idempotent && call.idempotencyKey !== '';
}

/**
 * A claimed call goes to the server that its claim page hashes to, so that one
 * side writes a page; other calls go to the less loaded of two random servers.
 */
export function chooseServer(
  call: Call,
  candidates: readonly ServiceServer[],
  outstanding: OutstandingCalls,
  options: ServerChoiceOptions,
): ServiceServer | undefined {
  if (!needsClaim(call)) {
    return chooseOfTwo(candidates, outstanding, options.random);
  }
  const {workspace, service, idempotencyKey} = call;
  const keyHash = claimKeyHash(workspace, service, idempotencyKey);
  const page = claimPageIndex(keyHash, options.claimPages);
  const ids = candidates.map(({server}) => server);
  const [first] = orderServers(claimPageKey(service, page), ids);
  return candidates.find(({server}) => server === first);
}

function chooseOfTwo(
  candidates: readonly ServiceServer[],
  outstanding: OutstandingCalls,
  random: () => number,
): ServiceServer | undefined {
  if (candidates.length < 2) return candidates[0];
  const first = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const one = candidates[first];
  const other = candidates[(first + step) % candidates.length];
  const load = ({server}: ServiceServer) => outstanding.get(server) ?? 0;
  return load(other) < load(one) ? other : one;
}
