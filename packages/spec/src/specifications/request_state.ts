/** State of the request specification. */

/** State that a stage keeps for a request. */
export interface Sequence {
  attempt: number;
  /** Attempt whose path the stage uses for forwarding. */
  pathAttempt: number;
  nextPosition: number;
  /** Content from which the KV cache was computed; `x` if the cache is corrupt. */
  cacheContent: string;
}

/** One process of a path stage; a restart creates a new one. */
export interface Stage {
  frozen: boolean;
  /** Number of engine restarts and of loads of another layer range or model version. */
  engineGeneration: number;
  sequences: Record<string, Sequence>;
  /** Positions in the order in which they ran, by request, kind of run and engine generation. */
  positionsRun: Record<string, number[]>;
  releasedRequests: string[];
}

export interface RequestState {
  /** State of the chart `request` at the entry. */
  chartState: string;
  /** Number of requests served before the current one. */
  servedCount: number;
  requestId: string;
  attempt: number;
  /** Values that the entry accepted, in order of position. */
  acceptedValues: string[];
  stages: Record<string, Stage>;
  network: string[];
  freezeCount: number;
  crashCount: number;
  reloadCount: number;
}

export function createStage(): Stage {
  return {
    frozen: false,
    engineGeneration: 0,
    sequences: {},
    positionsRun: {},
    releasedRequests: [],
  };
}
