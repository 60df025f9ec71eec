/** Picks the series of a process's `/metrics` that operators look at first. */
import {request} from 'undici';

export interface Highlight {
  readonly series: string;
  readonly value: number;
}

export type ProcessStatus =
  | {
      readonly kind: 'read';
      readonly url: string;
      readonly highlights: readonly Highlight[];
    }
  | {readonly kind: 'failed'; readonly url: string; readonly cause: string};

const TIMEOUT_MS = 2000;

/** Always shown, also with value 0. */
const VERSIONS = /^azurecrank_document_/;

/** Shown unless 0. */
const NOTABLE =
  /refus|retr|shed|suspect|down|queue|running|in_flight|limit|lost|pause|gap/;

export async function readProcess(url: string): Promise<ProcessStatus> {
  try {
    const page = new URL('/metrics', url);
    const signal = AbortSignal.timeout(TIMEOUT_MS);
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
      return VERSIONS.test(name) || (NOTABLE.test(name) && value !== 0);
    });
}
