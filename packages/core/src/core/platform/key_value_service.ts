/** Interface of the platform's key-value service. */

export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Increases with each write to the key; 0 stands for an absent key. */
  readonly revision: number;
}

/**
 * Outcome of a write. `unknown` means that there was no usable answer: the
 * write may or may not have taken effect, which only a read can show.
 */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly current: KeyValueEntry | undefined}
  | {readonly kind: 'unknown'; readonly cause: string};

export interface Lease {
  /** Id of the lease. */
  readonly lease: string;
  /** Fencing number; increases with each grant by the service. */
  readonly fence: number;
  readonly ttlMs: number;
}

/** Thrown when the service gives no answer or an unusable one. */
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

/**
 * Client of the key-value service. If the service does not answer, reads and
 * lease operations throw `KeyValueUnavailableError` and writes return `unknown`.
 */
export abstract class KeyValueService {
  abstract get(key: string): Promise<KeyValueEntry | undefined>;

  abstract list(prefix: string): Promise<KeyValueEntry[]>;

  /**
   * Writes the value if the key is at `expectedRevision`.
   * @param lease lease to which the key is bound: it is deleted when that ends.
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

  /** Renews the lease; returns false if it has expired. */
  abstract keepLeaseAlive(lease: Lease): Promise<boolean>;

  abstract revokeLease(lease: Lease): Promise<void>;
}
