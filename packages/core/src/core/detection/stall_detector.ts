/** Detects engine steps that take much longer than expected. */
export interface StallOptions {
  /** Multiple of the expected time that counts as stall (design, section 7.6). */
  readonly expectedTimeFactor: number;
  /** Shortest stall, so that jitter of very short steps does not count. */
  readonly minMs: number;
}

export const DEFAULT_STALL_OPTIONS: StallOptions = {
  expectedTimeFactor: 8,
  minMs: 100,
};

interface RunningStep {
  dueAtMs: number;
}

export class StallDetector {
  private readonly steps = new Map<string, RunningStep>();
  private readonly options: StallOptions;

  constructor(options: Partial<StallOptions> = {}) {
    this.options = {...DEFAULT_STALL_OPTIONS, ...options};
  }

  started(step: string, expectedMs: number, nowMs: number): void {
    const {expectedTimeFactor: factor, minMs} = this.options;
    const dueAtMs = nowMs + Math.max(minMs, factor * expectedMs);
    this.steps.set(step, {dueAtMs});
  }

  finished(step: string): void {
    this.steps.delete(step);
  }

  /** Postpones the due time of all running steps by a pause of this process. */
  paused(pausedMs: number): void {
    for (const step of this.steps.values()) step.dueAtMs += pausedMs;
  }

  /** Removes the stalled steps and returns them, each once. */
  removeStalled(nowMs: number): string[] {
    const stalled = [...this.steps]
      .filter(([, step]) => nowMs > step.dueAtMs)
      .map(([name]) => name);
    for (const name of stalled) this.steps.delete(name);
    return stalled;
  }
}
