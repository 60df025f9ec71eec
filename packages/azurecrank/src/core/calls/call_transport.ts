/** How the dispatcher reaches side processes and its retry budget. */
import type {
  Call,
  CallResult,
  Cancel,
  Cancelled,
  Refused,
  RetryReason,
  ServiceServer,
} from '@azurecrank/core';

/** No answer came from the side process. */
export class CallTransportError extends Error {
  constructor(
    message: string,
    /** Whether a byte of the call may have left this process. */
    readonly mayHaveLeft: boolean,
  ) {
    super(message);
    this.name = 'CallTransportError';
  }
}

export abstract class CallTransport {
  /**
   * Sends a call once and waits for its answer. It must not send a call that
   * is not idempotent again on another connection.
   * @throws CallTransportError when the connection fails.
   */
  abstract send(
    server: ServiceServer,
    call: Call,
  ): Promise<CallResult | Refused>;

  /** @throws CallTransportError when the connection fails. */
  abstract cancel(server: ServiceServer, cancel: Cancel): Promise<Cancelled>;
}

/** Part of the retry budget that the dispatcher needs. */
export abstract class CallRetryBudget {
  /** Takes one retry for this reason; false if the budget is used up. */
  abstract take(reason: RetryReason): boolean;

  abstract recordSuccess(): void;
}
