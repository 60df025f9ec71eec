/** One request of a caller, with what is known about it so far. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createRequestId,
  type InstanceId,
  type LogFields,
  type Rank,
  type RequestId,
  type ServiceId,
  type WorkspaceId,
} from '@azurecrank/core';

export class Exchange {
  readonly request: RequestId;
  workspace: WorkspaceId | undefined;
  service: ServiceId | undefined;
  rank: Rank | undefined;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    instance: InstanceId,
  ) {
    this.request = createRequestId(instance);
    res.setHeader('azurecrank-request-id', this.request);
  }

  /** Whether the caller has closed the connection before the answer's end. */
  get isLeft(): boolean {
    return this.res.destroyed && !this.res.writableFinished;
  }

  /** Fields for log lines; what is not known yet is left out. */
  logFields(): LogFields {
    const {request, workspace, service, rank} = this;
    return {request, workspace, service, rank};
  }
}
