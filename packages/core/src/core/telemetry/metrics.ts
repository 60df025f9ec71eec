/** Registry of counters, gauges and summaries in the Prometheus text format. */
import {build, type Histogram} from 'hdr-histogram-js';

export type Labels = Readonly<Record<string, string>>;

/** Percentiles exported for each summary. */
const PERCENTILES = [50, 95, 99] as const;

/** Histograms store integers: microseconds resolve durations below 1 ms. */
const MICROSECONDS_PER_MS = 1000;

/** A metric and its series by label values. */
interface Family<T> {
  readonly help: string;
  readonly series: Map<string, T>;
}

interface Timing {
  readonly histogram: Histogram;
  sumMs: number;
}

export class Metrics {
  private readonly counters = new Map<string, Family<number>>();
  private readonly gauges = new Map<string, Family<() => number>>();
  private readonly timings = new Map<string, Family<Timing>>();

  /**
   * Declares a counter. With `label` and `values`, a series is created at zero
   * for each value, so that it is exported before its first event.
   */
  declareCounter(
    name: string,
    help: string,
    label?: string,
    values: readonly string[] = [],
  ): void {
    const family = getOrCreateFamily(this.counters, name, help);
    if (!label) return;
    for (const value of values) {
      const seriesKey = seriesKeyOf({[label]: value});
      if (!family.series.has(seriesKey)) family.series.set(seriesKey, 0);
    }
  }

  /** Declares a summary, so that its help text is exported. */
  declareTiming(name: string, help: string): void {
    getOrCreateFamily(this.timings, name, help);
  }

  increment(name: string, labels: Labels = {}, by = 1): void {
    const {series} = getOrCreateFamily(this.counters, name, name);
    const seriesKey = seriesKeyOf(labels);
    series.set(seriesKey, (series.get(seriesKey) ?? 0) + by);
  }

  counterValue(name: string, labels: Labels = {}): number {
    return this.counters.get(name)?.series.get(seriesKeyOf(labels)) ?? 0;
  }

  gauge(name: string, help: string, read: () => number, labels: Labels = {}) {
    getOrCreateFamily(this.gauges, name, help).series.set(
      seriesKeyOf(labels),
      read,
    );
  }

  /** Records a duration in milliseconds. */
  observeMs(name: string, durationMs: number, labels: Labels = {}): void {
    const {series} = getOrCreateFamily(this.timings, name, name);
    const timing =
      series.get(seriesKeyOf(labels)) ??
      createTiming(series, seriesKeyOf(labels));
    timing.histogram.recordValue(
      Math.max(0, Math.round(durationMs * MICROSECONDS_PER_MS)),
    );
    timing.sumMs += durationMs;
  }

  /** Returns a percentile in milliseconds, or 0 if nothing was recorded. */
  percentileMs(name: string, percentile: number, labels: Labels = {}): number {
    const timing = this.timings.get(name)?.series.get(seriesKeyOf(labels));
    if (!timing) return 0;
    const value = timing.histogram.getValueAtPercentile(percentile);
    return value / MICROSECONDS_PER_MS;
  }

  /** Returns the response body of `GET /metrics`. */
  render(): string {
    return [
      ...[...this.counters].map(([name, family]) =>
        renderValues(name, 'counter', family, value => value),
      ),
      ...[...this.gauges].map(([name, family]) =>
        renderValues(name, 'gauge', family, read => read()),
      ),
      ...[...this.timings].map(([name, family]) => renderTiming(name, family)),
    ].join('');
  }
}

function getOrCreateFamily<T>(
  families: Map<string, Family<T>>,
  name: string,
  help: string,
): Family<T> {
  let family = families.get(name);
  if (!family) {
    family = {help, series: new Map()};
    families.set(name, family);
  }
  return family;
}

function createTiming(series: Map<string, Timing>, name: string): Timing {
  const timing = {
    histogram: build({numberOfSignificantValueDigits: 2}),
    sumMs: 0,
  };
  series.set(name, timing);
  return timing;
}

function seriesKeyOf(labels: Labels): string {
  return Object.keys(labels)
    .sort()
    .map(name => `${name}="${escapeLabel(labels[name])}"`)
    .join(',');
}

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

function renderValues<T>(
  name: string,
  type: string,
  family: Family<T>,
  read: (value: T) => number,
): string {
  const head = `# HELP ${name} ${family.help}\n# TYPE ${name} ${type}\n`;
  const lines = [...family.series].map(([labels, value]) =>
    labels ? `${name}{${labels}} ${read(value)}` : `${name} ${read(value)}`,
  );
  return head + lines.map(line => line + '\n').join('');
}

function renderTiming(name: string, family: Family<Timing>): string {
  const head = `# HELP ${name} ${family.help}\n# TYPE ${name} summary\n`;
  const lines = [...family.series].flatMap(([labels, timing]) => {
    const prefix = labels ? `${labels},` : '';
    const suffix = labels ? `{${labels}}` : '';
    return [
      ...PERCENTILES.map(percentile => {
        const value = timing.histogram.getValueAtPercentile(percentile);
        const valueMs = value / MICROSECONDS_PER_MS;
        return `${name}{${prefix}quantile="${percentile / 100}"} ${valueMs}`;
      }),
      `${name}_sum${suffix} ${timing.sumMs}`,
      `${name}_count${suffix} ${timing.histogram.totalCount}`,
    ];
  });
  return head + lines.map(line => line + '\n').join('');
}
