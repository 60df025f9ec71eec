/** Finds engine steps that take far longer than expected. */
export interface StallOptions {
  /** Multiple of the expected time (design, section 7.6). */
  readonly factor: number;
  /** Lower bound, so that jitter of very short steps is not taken for one. */
  readonly minMs: number;
}

export const DEFAULT_STALL: StallOptions = {factor: 8, minMs: 100};

interface RunningStep {
  dueAtMs: number;
}

export class StallDetector {
  private readonly steps = new Map<string, RunningStep>();
  private readonly options: StallOptions;

  constructor(options: Partial<StallOptions> = {}) {
    this.options = {...DEFAULT_STALL, ...options};
  }

  started(step: string, expectedMs: number, nowMs: number): void {
    const {factor, minMs} = this.options;
    const dueAtMs = nowMs + Math.max(minMs, factor * expectedMs);
    this.steps.set(step, {dueAtMs});
  }

  finished(step: string): void {
    this.steps.delete(step);
  }

  /** Extends all running steps by a pause of this process. */
  paused(pausedMs: number): void {
    for (const step of this.steps.values()) step.dueAtMs += pausedMs;
  }

  /** Returns the stalled steps, each once. */
  tick(nowMs: number): string[] {
    const stalled = [...this.steps]
      .filter(([, step]) => nowMs > step.dueAtMs)
      .map(([name]) => name);
    for (const name of stalled) this.steps.delete(name);
    return stalled;
  }
}
