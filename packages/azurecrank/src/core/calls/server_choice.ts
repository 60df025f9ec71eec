/** Chooses the server of a plain service for a call. */
import {
  claimKeyHash,
  claimPageIndex,
  claimPageKey,
  orderServersForPage,
  type Call,
  type ServerId,
  type ServiceServer,
} from '@azurecrank/core';

/** Calls in flight from this process, by server. */
export type OutstandingCalls = ReadonlyMap<ServerId, number>;

export interface ServerChoiceOptions {
  /**
   * Should equal the setting of the side processes. A difference only makes
   * them conflict when they write a claim page.
   */
  readonly claimPages: number;
  readonly random: () => number;
}

/** Whether the side process must claim the idempotency key before the call. */
export function needsClaim(
  call: Pick<Call, 'idempotent' | 'idempotencyKey'>,
): boolean {
  return !call.idempotent && call.idempotencyKey !== '';
}

/**
 * A call that needs a claim goes to the server that its claim page hashes to,
 * so that only one side process writes the page. Other calls go to the less
 * loaded of two random servers.
 */
export function chooseServer(
  call: Call,
  candidates: readonly ServiceServer[],
  outstanding: OutstandingCalls,
  options: ServerChoiceOptions,
): ServiceServer | undefined {
  if (!needsClaim(call)) {
    return chooseLessLoadedOfTwo(candidates, outstanding, options.random);
  }
  const {workspace, service, idempotencyKey} = call;
  const keyHash = claimKeyHash(workspace, service, idempotencyKey);
  const page = claimPageIndex(keyHash, options.claimPages);
  const ids = candidates.map(({server}) => server);
  const [preferred] = orderServersForPage(claimPageKey(service, page), ids);
  return candidates.find(({server}) => server === preferred);
}

function chooseLessLoadedOfTwo(
  candidates: readonly ServiceServer[],
  outstanding: OutstandingCalls,
  random: () => number,
): ServiceServer | undefined {
  if (candidates.length < 2) return candidates[0];
  const first = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const candidate = candidates[first];
  const other = candidates[(first + offset) % candidates.length];
  const load = ({server}: ServiceServer) => outstanding.get(server) ?? 0;
  return load(other) < load(candidate) ? other : candidate;
}
