/** An HTTP request of a caller, its response, and what is known about it. */
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

  /** Whether the caller disconnected before the answer was complete. */
  get hasCallerLeft(): boolean {
    return this.res.destroyed && !this.res.writableFinished;
  }

  /** Returns the fields for log lines; fields not known yet are undefined. */
  logFields(): LogFields {
    const {request, workspace, service, rank} = this;
    return {request, workspace, service, rank};
  }
}
