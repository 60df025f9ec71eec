/** Hints for operators: nearest known names and values in other units. */

/** Names further away than this share of their length are not suggested. */
const MOST_CHANGED_SHARE = 0.5;

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

/** Returns the unit that a key's name carries. */
export function unitOfKey(key: string): Unit | undefined {
  return UNITS.find(unit => unit.matches.test(key));
}

/** Returns the known name that needs the fewest edits, if it is near. */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestDistance = Infinity;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    const limit = Math.max(name.length, candidate.length) * MOST_CHANGED_SHARE;
    if (distance > limit || distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

const MOST_LISTED_NAMES = 12;

/** Hint that names the nearest known name or, failing that, the known ones. */
export function hintForName(name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known);
  if (nearest) return `did you mean "${nearest}"?`;
  if (known.length === 0) return 'none is defined';
  const listed = known.slice(0, MOST_LISTED_NAMES).join(', ');
  return `known: ${listed}${known.length > MOST_LISTED_NAMES ? ', ...' : ''}`;
}

/** Converts text such as `30s` to the unit of `key`. */
export function convertToUnit(key: string, text: string): number | undefined {
  const match = /^\s*(\d+(?:\.\d+)?)\s*([a-z%]+)\s*$/i.exec(text);
  const factor = match && unitOfKey(key)?.factors[match[2].toLowerCase()];
  return match && factor ? rounded(Number(match[1]) * factor) : undefined;
}

/**
 * Finds the known key that `key` stands for with another unit or with none,
 * for example `deadline_ms` for `deadline_s` or `deadline`.
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
    const other = otherUnit(key, stem, candidate.startsWith('bytes_'));
    if (other === undefined) continue;
    if (typeof value === 'string') {
      return {key: candidate, value: convertToUnit(candidate, value)};
    }
    const factor = unit.factors[other];
    if (other !== '' && factor === undefined) continue;
    if (typeof value !== 'number' || !factor) return {key: candidate};
    return {key: candidate, value: rounded(value * factor)};
  }
  return undefined;
}

/** Returns the unit in `key` besides `stem`, or undefined if they differ. */
function otherUnit(
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

function rounded(value: number): number {
  return Number(value.toPrecision(12));
}

/** Levenshtein distance with one row of memory. */
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
