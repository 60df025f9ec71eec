/** What can be suspected of ending servers, and the keys by which it is known. */
import type {Branded, PromptPartId, ServiceId} from '@azurecrank/core';
import {
  scopeOfDigest,
  type RequestDigest,
  type RequestScope,
} from './request_digest.js';

/** Known by the same key at all entries. */
export type SuspectKey = Branded<string, 'SuspectKey'>;

export type SuspectKind =
  /** A part of the prompts of one service. */
  | 'prompt_part'
  /** A request that servers begin to run. */
  | 'request'
  /** A request after its stream had events for a while. */
  | 'running_request';

/** No name of a service begins with one of these. */
const REQUEST_PREFIX = '~';
const RUNNING_REQUEST_PREFIX = '^';

export function promptPartKey(
  service: ServiceId,
  part: PromptPartId,
): SuspectKey {
  return `${service}/${part}` as SuspectKey;
}

export function requestKey(digest: RequestDigest): SuspectKey {
  return (REQUEST_PREFIX + digest) as SuspectKey;
}

export function runningRequestKey(digest: RequestDigest): SuspectKey {
  return (RUNNING_REQUEST_PREFIX + digest) as SuspectKey;
}

export function kindOf(key: SuspectKey): SuspectKind {
  if (key.startsWith(REQUEST_PREFIX)) return 'request';
  return key.startsWith(RUNNING_REQUEST_PREFIX)
    ? 'running_request'
    : 'prompt_part';
}

/** Returns undefined for a part of a prompt. */
export function requestScopeOf(key: SuspectKey): RequestScope | undefined {
  if (kindOf(key) === 'prompt_part') return undefined;
  return scopeOfDigest(key.slice(REQUEST_PREFIX.length) as RequestDigest);
}
