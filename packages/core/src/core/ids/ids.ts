/** Branded id types: an id of one kind cannot be passed as another. */
import {randomBytes} from 'node:crypto';

declare const brand: unique symbol;

/** A primitive type tagged with a name that exists only at compile time. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

export type RequestId = Branded<string, 'RequestId'>;
export type AttemptId = Branded<number, 'AttemptId'>;
export type HostId = Branded<string, 'HostId'>;
export type ServerId = Branded<string, 'ServerId'>;
export type WorkspaceId = Branded<string, 'WorkspaceId'>;
export type ServiceId = Branded<string, 'ServiceId'>;
export type ModelId = Branded<string, 'ModelId'>;
export type ChainId = Branded<string, 'ChainId'>;
/** Id of a part of a prompt; requests with equal parts share the id. */
export type PromptPartId = Branded<string, 'PromptPartId'>;
export type InstanceId = Branded<string, 'InstanceId'>;
export type ConfigVersion = Branded<number, 'ConfigVersion'>;
export type PlanVersion = Branded<number, 'PlanVersion'>;

/** `IP:PORT` of a process's peer listener. */
export type PeerAddress = Branded<string, 'PeerAddress'>;

const REQUEST_ID_BYTES = 16;
const INSTANCE_ID_BYTES = 6;

/** Returns a random id for one run of a process. */
export function createInstanceId(): InstanceId {
  return randomBytes(INSTANCE_ID_BYTES).toString('hex') as InstanceId;
}

/**
 * Returns an id that no other process and no earlier run of this one has used:
 * 128 random bits after the instance id.
 */
export function createRequestId(instance: InstanceId): RequestId {
  return `${instance}-${randomBytes(REQUEST_ID_BYTES).toString('hex')}` as RequestId;
}

/** Casts a string to a branded id; the caller has validated it. */
export function toId<T extends Branded<string, string>>(value: string): T {
  return value as T;
}

/** Returns the attempt that follows `attempt`. */
export function nextAttempt(attempt: AttemptId): AttemptId {
  return (attempt + 1) as AttemptId;
}

export const FIRST_ATTEMPT = 1 as AttemptId;
