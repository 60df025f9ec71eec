/** Least-squares lines through measured points. */

/** Repeated measurements at one size. */
export interface Point {
  readonly size: number;
  readonly samples: readonly number[];
}

export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Part of the variance of the medians that the line explains. */
  readonly r2: number;
  /** Median over the sizes of (largest - smallest) / median of the samples. */
  readonly spread: number;
}

/** A measured quantity as a function of a size. */
export interface Slope extends Line {
  readonly name: string;
  /** What the size counts, for example `links`. */
  readonly per: string;
  /** Unit of the measured quantity. */
  readonly unit: string;
  readonly points: readonly Point[];
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  if (sorted.length % 2 === 1) return sorted[middle];
  return (sorted[middle - 1] + sorted[middle]) / 2;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits a line through the median of each point. Medians are used because other
 * work on a shared machine only ever adds time.
 */
export function fitLine(points: readonly Point[]): Line {
  const xs = points.map(({size}) => size);
  const ys = points.map(({samples}) => median(samples));
  const [meanX, meanY] = [mean(xs), mean(ys)];
  const sum = (f: (index: number) => number) =>
    xs.reduce((total, _, index) => total + f(index), 0);
  const covariance = sum(i => (xs[i] - meanX) * (ys[i] - meanY));
  const slope = covariance / sum(i => (xs[i] - meanX) ** 2);
  const intercept = meanY - slope * meanX;
  const residual = sum(i => (ys[i] - intercept - slope * xs[i]) ** 2);
  const total = sum(i => (ys[i] - meanY) ** 2);
  const r2 = total === 0 ? 1 : 1 - residual / total;
  const spread = median(points.map(({samples}) => spreadOf(samples)));
  return {intercept, slope, r2, spread};
}

function spreadOf(samples: readonly number[]): number {
  const middle = median(samples);
  if (middle === 0) return 0;
  return (Math.max(...samples) - Math.min(...samples)) / Math.abs(middle);
}

export function createSlope(
  name: string,
  per: string,
  unit: string,
  points: readonly Point[],
): Slope {
  return {name, per, unit, points, ...fitLine(points)};
}
