/** Interface of the benchmarks, which each file in `benches/` exports as `bench`. */
export interface BenchOptions {
  readonly seed: number;
  /** Prints a line with details before the result. */
  readonly log: (line: string) => void;
}

export interface BenchOutcome {
  /** The measured value to which the target applies. */
  readonly ours: number;
  /** The same value of the baseline, with the same seed and arrivals. */
  readonly baseline: number;
  /** The target of section 12 of the design page. */
  readonly target: string;
  /** Whether all conditions of the target are met; null without a target. */
  readonly met: boolean | null;
}

export interface Bench {
  readonly name: string;
  readonly description: string;
  run(options: BenchOptions): Promise<BenchOutcome> | BenchOutcome;
}

const SIGNIFICANT_DIGITS = 4;

/** Formats the result as the last output line, a JSON object. */
export function formatResult(
  name: string,
  seed: number,
  outcome: BenchOutcome,
): string {
  const {ours, baseline, target, met} = outcome;
  return JSON.stringify({
    name,
    seed,
    ours: roundForOutput(ours),
    baseline: roundForOutput(baseline),
    ratio: roundForOutput(ours / baseline),
    target,
    met,
  });
}

/** Rounds to significant digits; a value that is not finite, which JSON cannot hold, becomes null. */
export function roundForOutput(value: number): number | null {
  if (!Number.isFinite(value)) return null;
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
