/** State of the configuration specification. */

export interface Operator {
  at: string;
  /** Version the edit started from. */
  base: number;
  applies: number;
  answer: string;
}

export interface ProcessState {
  version: number;
  /** Highest version this instance has had. */
  highest: number;
}

export interface ConfigurationState {
  /** Author of each accepted version; the first version is index 0. */
  history: string[];
  /** Version of the stored document; differs only without compare-and-swap. */
  stored: number;
  recent: string[];
  serviceUp: boolean;
  operators: Record<string, Operator>;
  processes: Record<string, ProcessState>;
  network: string[];
  outages: number;
  restarts: number;
  /** Highest version that any process on the host has had. */
  hostHighest: Record<string, number>;
}
