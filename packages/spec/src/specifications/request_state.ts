/** State of the request specification. */

/** What a stage keeps for a request. */
export interface Sequence {
  attempt: number;
  /** Attempt whose chain the stage uses for forwarding. */
  chain: number;
  next: number;
  /** Content from which the cache was computed; `x` if it is corrupt. */
  cache: string;
}

/** One process of a stage; a restart creates a new one. */
export interface Stage {
  frozen: boolean;
  /** Number of restarts of the engine and loads of another range or version. */
  engine: number;
  sequences: Record<string, Sequence>;
  /** Positions run for each request, whole run and engine, in order. */
  ran: Record<string, number[]>;
  released: string[];
}

export interface RequestState {
  /** State of the chart `request` at the entry. */
  chart: string;
  /** Number of requests served before the current one. */
  served: number;
  request: string;
  attempt: number;
  /** Values accepted, the first position first. */
  accepted: string[];
  stages: Record<string, Stage>;
  network: string[];
  freezes: number;
  crashes: number;
  reloads: number;
}

export function createStage(): Stage {
  return {frozen: false, engine: 0, sequences: {}, ran: {}, released: []};
}
