/** Computes the differing lines of two versions of the operators' file. */

export interface LineDifference {
  readonly side: 'accepted' | 'yours';
  /** Line in that side's text, counted from 1. */
  readonly line: number;
  readonly text: string;
}

/** Maximum lines per side for the ordered comparison, which takes quadratic time. */
const MAX_ORDERED_COMPARISON_LINES = 1500;

/**
 * Returns the lines of each text that are not in the other. Ignores the value
 * of `revision`, which differs after every apply.
 */
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
  const isLong =
    Math.max(middleA.length, middleB.length) > MAX_ORDERED_COMPARISON_LINES;
  const [commonA, commonB] = isLong
    ? pairEqualLines(middleA, middleB)
    : longestCommonSubsequence(middleA, middleB);
  return [
    ...linesNotInCommon('accepted', middleA, commonA, start),
    ...linesNotInCommon('yours', middleB, commonB, start),
  ].sort((x, y) => x.line - y.line);
}

function splitLines(text: string): string[] {
  return text
    .split(/\r?\n/)
    .map(line => (/^\s*revision\s*=/.test(line) ? 'revision' : line));
}

function linesNotInCommon(
  side: LineDifference['side'],
  lines: readonly string[],
  common: ReadonlySet<number>,
  offset: number,
): LineDifference[] {
  return lines
    .map((text, index) => ({side, line: offset + index + 1, text}))
    .filter((_, index) => !common.has(index));
}

type CommonLines = [Set<number>, Set<number>];

/** Returns the indexes of the lines in the longest common subsequence. */
function longestCommonSubsequence(
  a: readonly string[],
  b: readonly string[],
): CommonLines {
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
  const common: CommonLines = [new Set(), new Set()];
  let [i, j] = [0, 0];
  while (i < a.length && j < b.length) {
    if (a[i] === b[j]) {
      common[0].add(i++);
      common[1].add(j++);
    } else if (lengths[(i + 1) * width + j] >= lengths[i * width + j + 1]) {
      i++;
    } else {
      j++;
    }
  }
  return common;
}

/** Pairs equal lines regardless of order; moved lines count as common. */
function pairEqualLines(
  a: readonly string[],
  b: readonly string[],
): CommonLines {
  const positions = new Map<string, number[]>();
  a.forEach((text, index) => {
    const list = positions.get(text);
    if (list) list.push(index);
    else positions.set(text, [index]);
  });
  const common: CommonLines = [new Set(), new Set()];
  b.forEach((text, index) => {
    const position = positions.get(text)?.shift();
    if (position === undefined) return;
    common[0].add(position);
    common[1].add(index);
  });
  return common;
}
