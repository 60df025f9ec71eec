/** Reads a process's `/metrics` and selects the series operators need first. */
import {request} from 'undici';

export interface Highlight {
  readonly series: string;
  readonly value: number;
}

export type ProcessMetrics =
  | {
      readonly kind: 'read';
      readonly url: string;
      readonly highlights: readonly Highlight[];
    }
  | {readonly kind: 'failed'; readonly url: string; readonly cause: string};

const METRICS_TIMEOUT_MS = 2000;

/** Names of metrics that are shown with any value. */
const ALWAYS_SHOWN = /^azurecrank_document_/;

/** Names of metrics that are shown unless their value is 0. */
const UNLESS_ZERO =
  /refus|retr|shed|suspect|down|queue|running|in_flight|limit|lost|pause|gap/;

export async function readProcessMetrics(url: string): Promise<ProcessMetrics> {
  try {
    const page = new URL('/metrics', url);
    const signal = AbortSignal.timeout(METRICS_TIMEOUT_MS);
    const response = await request(page, {signal});
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      return {kind: 'failed', url, cause: `status ${response.statusCode}`};
    }
    return {kind: 'read', url, highlights: pickHighlights(text)};
  } catch (error) {
    return {kind: 'failed', url, cause: (error as Error).message};
  }
}

export function pickHighlights(page: string): Highlight[] {
  return page
    .split('\n')
    .map(line => /^([^#\s{]+(?:\{.*\})?) (\S+)$/.exec(line))
    .filter(match => match !== null)
    .map(match => ({series: match[1], value: Number(match[2])}))
    .filter(({series, value}) => {
      const name = series.split('{')[0];
      return ALWAYS_SHOWN.test(name) || (UNLESS_ZERO.test(name) && value !== 0);
    });
}
