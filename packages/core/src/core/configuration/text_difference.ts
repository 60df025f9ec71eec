/** Line differences between two versions of the operators' file. */

export interface LineDifference {
  readonly side: 'accepted' | 'yours';
  /** Line in that side's text, counted from 1. */
  readonly line: number;
  readonly text: string;
}

/** Beyond this many lines on a side the quadratic comparison is not used. */
const MOST_COMPARED_LINES = 1500;

/** Ignores the line with `revision`, which differs after every apply. */
export function differingLines(
  accepted: string,
  yours: string,
): LineDifference[] {
  const a = splitLines(accepted);
  const b = splitLines(yours);
  let start = 0;
  while (start < a.length && start < b.length && a[start] === b[start]) start++;
  let end = 0;
  while (
    end < Math.min(a.length, b.length) - start &&
    a[a.length - 1 - end] === b[b.length - 1 - end]
  ) {
    end++;
  }
  const middleA = a.slice(start, a.length - end);
  const middleB = b.slice(start, b.length - end);
  const isLong = Math.max(middleA.length, middleB.length) > MOST_COMPARED_LINES;
  const [keptA, keptB] = isLong
    ? commonByCount(middleA, middleB)
    : commonInOrder(middleA, middleB);
  return [
    ...unkept('accepted', middleA, keptA, start),
    ...unkept('yours', middleB, keptB, start),
  ].sort((x, y) => x.line - y.line);
}

function splitLines(text: string): string[] {
  return text
    .split(/\r?\n/)
    .map(line => (/^\s*revision\s*=/.test(line) ? 'revision' : line));
}

function unkept(
  side: LineDifference['side'],
  lines: readonly string[],
  kept: ReadonlySet<number>,
  offset: number,
): LineDifference[] {
  return lines
    .map((text, index) => ({side, line: offset + index + 1, text}))
    .filter((_, index) => !kept.has(index));
}

type Kept = [Set<number>, Set<number>];

/** Longest common subsequence. */
function commonInOrder(a: readonly string[], b: readonly string[]): Kept {
  const width = b.length + 1;
  const lengths = new Uint16Array((a.length + 1) * width);
  for (let i = a.length - 1; i >= 0; i--) {
    for (let j = b.length - 1; j >= 0; j--) {
      lengths[i * width + j] =
        a[i] === b[j]
          ? lengths[(i + 1) * width + j + 1] + 1
          : Math.max(lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
    }
  }
  const kept: Kept = [new Set(), new Set()];
  let [i, j] = [0, 0];
  while (i < a.length && j < b.length) {
    if (a[i] === b[j]) {
      kept[0].add(i++);
      kept[1].add(j++);
    } else if (lengths[(i + 1) * width + j] >= lengths[i * width + j + 1]) {
      i++;
    } else {
      j++;
    }
  }
  return kept;
}

/** Pairs equal lines wherever they stand; moved lines are not reported. */
function commonByCount(a: readonly string[], b: readonly string[]): Kept {
  const places = new Map<string, number[]>();
  a.forEach((text, index) => {
    const list = places.get(text);
    if (list) list.push(index);
    else places.set(text, [index]);
  });
  const kept: Kept = [new Set(), new Set()];
  b.forEach((text, index) => {
    const place = places.get(text)?.shift();
    if (place === undefined) return;
    kept[0].add(place);
    kept[1].add(index);
  });
  return kept;
}
