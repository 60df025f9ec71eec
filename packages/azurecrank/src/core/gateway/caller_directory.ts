/** Finds callers by bearer key, and the services that they may use. */
import type {ModelId, Rank, ServiceId, WorkspaceId} from '@azurecrank/core';

export interface Caller {
  readonly workspace: WorkspaceId;
  readonly weight: number;
}

export interface ModelService {
  readonly service: ServiceId;
  readonly model: ModelId;
  readonly rank: Rank;
  readonly deadlineMs: number;
  readonly firstTokenDeadlineMs: number;
}

export interface PlainServiceInfo {
  readonly service: ServiceId;
  readonly rank: Rank;
  readonly deadlineMs: number;
}

export abstract class CallerDirectory {
  /** Returns the workspace that owns the bearer key. */
  abstract findCaller(bearerKey: string): Caller | undefined;
  abstract mayUse(caller: Caller, service: ServiceId): boolean;
  abstract findModelService(name: string): ModelService | undefined;
  abstract modelServices(): readonly ModelService[];
  abstract findPlainService(name: string): PlainServiceInfo | undefined;
  abstract isIdempotent(
    service: ServiceId,
    method: string,
    path: string,
  ): boolean;
}
