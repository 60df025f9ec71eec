/** The platform's key-value service as the rest of the system sees it. */

export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Rises with each write to the key; 0 stands for an absent key. */
  readonly revision: number;
}

/**
 * Outcome of a write. `unknown` means that no answer came: the write may or
 * may not have taken effect, and only a read can tell.
 */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly current: KeyValueEntry | undefined}
  | {readonly kind: 'unknown'; readonly cause: string};

export interface Lease {
  readonly lease: string;
  /** Rises with each grant by the service. */
  readonly fence: number;
  readonly ttlMs: number;
}

/** The service gave no answer, or an answer that cannot be used. */
export class KeyValueUnavailableError extends Error {
  constructor(
    readonly step: string,
    readonly peer: string,
    cause: string,
  ) {
    super(`key-value service ${peer}: ${step}: ${cause}`);
    this.name = 'KeyValueUnavailableError';
  }
}

/** Reads throw `KeyValueUnavailableError`; writes return `unknown`. */
export abstract class KeyValueService {
  abstract get(key: string): Promise<KeyValueEntry | undefined>;

  abstract list(prefix: string): Promise<KeyValueEntry[]>;

  /**
   * Writes if the key is at `expectedRevision`.
   * @param lease the key is deleted when this lease ends.
   */
  abstract compareAndSwap(
    key: string,
    value: string,
    expectedRevision: number,
    lease?: Lease,
  ): Promise<WriteOutcome>;

  abstract remove(key: string, expectedRevision: number): Promise<WriteOutcome>;

  /**
   * Waits until the key's revision differs from `afterRevision`.
   * @returns the new entry, or undefined when `timeoutMs` passes first.
   */
  abstract watch(
    key: string,
    afterRevision: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<KeyValueEntry | undefined>;

  abstract grantLease(ttlMs: number): Promise<Lease>;

  /** Returns false if the lease has lapsed. */
  abstract keepLeaseAlive(lease: Lease): Promise<boolean>;

  abstract revokeLease(lease: Lease): Promise<void>;
}
