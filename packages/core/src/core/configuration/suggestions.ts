/** Hints for operators: similar known names, and values converted to a key's unit. */

/** Maximum edit distance of a suggested name, as a fraction of the longer name. */
const MAX_EDIT_FRACTION = 0.5;

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  millisecond: 1,
  milliseconds: 1,
  s: 1000,
  sec: 1000,
  second: 1000,
  seconds: 1000,
  m: 60_000,
  min: 60_000,
  minute: 60_000,
  minutes: 60_000,
  h: 3_600_000,
  hour: 3_600_000,
  hours: 3_600_000,
};

const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  b: 1,
  bytes: 1,
  kb: 1e3,
  mb: 1e6,
  gb: 1e9,
  kib: 2 ** 10,
  mib: 2 ** 20,
  gib: 2 ** 30,
};

const PERCENT_PER_UNIT: Readonly<Record<string, number>> = {
  '%': 1,
  percent: 1,
  fraction: 100,
  share: 100,
};

interface Unit {
  readonly name: string;
  readonly factors: Readonly<Record<string, number>>;
}

const UNITS: readonly (Unit & {readonly matches: RegExp})[] = [
  {name: 'milliseconds', factors: MS_PER_UNIT, matches: /_ms$/},
  {name: 'bytes', factors: BYTES_PER_UNIT, matches: /^bytes_|_bytes$/},
  {name: 'percent', factors: PERCENT_PER_UNIT, matches: /_percent$/},
];

/** Returns the unit that the name of a key states, for example `_ms`. */
export function unitOfKey(key: string): Unit | undefined {
  return UNITS.find(unit => unit.matches.test(key));
}

/** Returns the known name with the smallest edit distance, if it is similar. */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestDistance = Infinity;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    const limit = Math.max(name.length, candidate.length) * MAX_EDIT_FRACTION;
    if (distance > limit || distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

const MAX_LISTED_NAMES = 12;

/** Returns a hint with the most similar known name, or with all known names. */
export function hintForName(name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known);
  if (nearest) return `did you mean "${nearest}"?`;
  if (known.length === 0) return 'none is defined';
  const listed = known.slice(0, MAX_LISTED_NAMES).join(', ');
  return `known: ${listed}${known.length > MAX_LISTED_NAMES ? ', ...' : ''}`;
}

/** Converts text such as `30s` to the unit of `key`. */
export function convertToUnit(key: string, text: string): number | undefined {
  const match = /^\s*(\d+(?:\.\d+)?)\s*([a-z%]+)\s*$/i.exec(text);
  const factor = match && unitOfKey(key)?.factors[match[2].toLowerCase()];
  return match && factor
    ? roundToSignificantDigits(Number(match[1]) * factor)
    : undefined;
}

/**
 * Finds the known key of which `key` is a variant with another unit or without
 * one, for example `deadline_ms` for `deadline_s` or `deadline`, and converts
 * the value.
 */
export function keyInOtherUnit(
  key: string,
  value: unknown,
  known: readonly string[],
): {readonly key: string; readonly value?: number} | undefined {
  for (const candidate of known) {
    const unit = unitOfKey(candidate);
    if (!unit) continue;
    const stem = candidate.replace(/_(ms|percent|bytes)$|^bytes_/, '');
    const other = unitBesideStem(key, stem, candidate.startsWith('bytes_'));
    if (other === undefined) continue;
    if (typeof value === 'string') {
      return {key: candidate, value: convertToUnit(candidate, value)};
    }
    const factor = unit.factors[other];
    if (other !== '' && factor === undefined) continue;
    if (typeof value !== 'number' || !factor) return {key: candidate};
    return {key: candidate, value: roundToSignificantDigits(value * factor)};
  }
  return undefined;
}

/** Returns the unit that `key` adds to `stem`, or undefined without that stem. */
function unitBesideStem(
  key: string,
  stem: string,
  unitFirst: boolean,
): string | undefined {
  if (key === stem) return '';
  if (unitFirst) {
    const suffix = `_${stem}`;
    return key.endsWith(suffix) ? key.slice(0, -suffix.length) : undefined;
  }
  return key.startsWith(`${stem}_`) ? key.slice(stem.length + 1) : undefined;
}

/** Significant decimal digits of converted values, to hide rounding errors. */
const SIGNIFICANT_DIGITS = 12;

function roundToSignificantDigits(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

/** Returns the Levenshtein distance; keeps one row of the matrix at a time. */
function editDistance(a: string, b: string): number {
  let row = Array.from({length: b.length + 1}, (_, index) => index);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = row[j - 1] + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(replaced, row[j] + 1, next[j - 1] + 1));
    }
    row = next;
  }
  return row[b.length];
}
