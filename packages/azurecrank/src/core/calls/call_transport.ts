/** Interfaces to side processes and the retry budget, for the dispatcher. */
import type {
  Call,
  CallResult,
  Cancel,
  Cancelled,
  Refused,
  RetryReason,
  ServiceServer,
} from '@azurecrank/core';

/** The side process did not answer. */
export class CallTransportError extends Error {
  constructor(
    message: string,
    /** Whether any byte of the call may have been sent. */
    readonly mayHaveBeenSent: boolean,
  ) {
    super(message);
    this.name = 'CallTransportError';
  }
}

export abstract class CallTransport {
  /**
   * Sends a call once and waits for its answer. A call that is not idempotent
   * must not be sent again on another connection.
   * @throws CallTransportError when the connection fails.
   */
  abstract send(
    server: ServiceServer,
    call: Call,
  ): Promise<CallResult | Refused>;

  /** @throws CallTransportError when the connection fails. */
  abstract cancel(server: ServiceServer, cancel: Cancel): Promise<Cancelled>;
}

/** The retry budget as the dispatcher uses it. */
export abstract class CallRetryBudget {
  /** Takes one retry from the budget; returns false if it is used up. */
  abstract acquire(reason: RetryReason): boolean;

  abstract recordSuccess(): void;
}
