/** State of the configuration specification. */

export interface Operator {
  phase: string;
  /** Version on which the edit is based. */
  baseVersion: number;
  applyCount: number;
  answer: string;
}

export interface ProcessState {
  version: number;
  /** Highest version that this process instance has used. */
  highestVersion: number;
}

export interface ConfigurationState {
  /** Author and number of each accepted version, in order of acceptance. */
  history: string[];
  /** Version of the stored document; without compare-and-swap it may be below the highest accepted one. */
  storedVersion: number;
  recentAuthors: string[];
  serviceUp: boolean;
  operators: Record<string, Operator>;
  processes: Record<string, ProcessState>;
  network: string[];
  outageCount: number;
  restartCount: number;
  /** Highest version that any process on the host has used. */
  highestVersionByHost: Record<string, number>;
}
