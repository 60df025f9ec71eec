/** What each file in `benches/` exports as `bench`. */
export interface BenchOptions {
  readonly seed: number;
  /** Prints a line of detail before the result. */
  readonly log: (line: string) => void;
}

export interface BenchOutcome {
  /** The measured figure that the target is about. */
  readonly ours: number;
  /** The same figure of the baseline with the same seed and arrivals. */
  readonly baseline: number;
  /** The target of section 12 of the design page. */
  readonly target: string;
  /** Whether all parts of the target are met; null without a target. */
  readonly met: boolean | null;
}

export interface Bench {
  readonly name: string;
  readonly description: string;
  run(options: BenchOptions): Promise<BenchOutcome> | BenchOutcome;
}

const SIGNIFICANT_DIGITS = 4;

/** The last output line: one JSON object. */
export function formatResult(
  name: string,
  seed: number,
  outcome: BenchOutcome,
): string {
  const {ours, baseline, target, met} = outcome;
  return JSON.stringify({
    name,
    seed,
    ours: round(ours),
    baseline: round(baseline),
    ratio: round(ours / baseline),
    target,
    met,
  });
}

/** Rounds for output; a value that is not finite becomes null. */
export function round(value: number): number | null {
  if (!Number.isFinite(value)) return null;
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
