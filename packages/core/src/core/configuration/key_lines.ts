/**
 * Maps the keys of a TOML text to their line numbers. The TOML parser reports
 * lines only for syntax errors; the checks of values look them up here.
 */

/** Parts of a dotted key, and indexes within arrays of tables. */
export type KeyPath = readonly (string | number)[];

interface KeyLocation {
  readonly path: KeyPath;
  /** Counted from 1. */
  readonly line: number;
  /** Last line of the value. */
  endLine: number;
}

const SEPARATOR = '\u0000';
const MULTILINE_QUOTES = ['"""', "'''"];

export class KeyLines {
  private readonly locations = new Map<string, KeyLocation>();
  /** Tables without a header, which only longer keys define. */
  private readonly implicitTables = new Map<string, KeyLocation>();
  private readonly locationsByLine = new Map<number, KeyLocation>();
  /** Line of the first definition of a key, by the line of a duplicate. */
  private readonly firstLinesOfDuplicates = new Map<number, number>();
  private readonly lines: readonly string[];

  constructor(text: string) {
    this.lines = text.split(/\r?\n/);
    this.scan();
  }

  /** Returns the line of `path`, or of its closest ancestor in the text. */
  lineOf(path: KeyPath): number {
    return this.findNearest(path)?.line ?? 1;
  }

  /** Returns the line that contains `text` within the value; ignores case. */
  lineOfItem(path: KeyPath, text: string): number {
    const location = this.findNearest(path);
    if (!location) return 1;
    const searched = text.toLowerCase();
    for (let line = location.line; line <= location.endLine; line++) {
      if (this.lines[line - 1]?.toLowerCase().includes(searched)) return line;
    }
    return location.line;
  }

  /** Returns the path of the last key at or before `line`. */
  pathAt(line: number): KeyPath {
    for (let at = line; at > 0; at--) {
      const location = this.locationsByLine.get(at);
      if (location) return location.path;
    }
    return [];
  }

  /** Returns the line of the first definition if the key at `line` repeats it. */
  firstLineOfDuplicate(line: number): number | undefined {
    return this.firstLinesOfDuplicates.get(line);
  }

  private findNearest(path: KeyPath): KeyLocation | undefined {
    for (let length = path.length; length > 0; length--) {
      const key = path.slice(0, length).join(SEPARATOR);
      const location = this.locations.get(key) ?? this.implicitTables.get(key);
      if (location) return location;
    }
    return undefined;
  }

  private scan(): void {
    const counts = new Map<string, number>();
    let table: KeyPath = [];
    for (let index = 0; index < this.lines.length; index++) {
      const text = this.lines[index].trim();
      if (text === '' || text.startsWith('#')) continue;
      if (text.startsWith('[[')) {
        table = nextArrayElementPath(readKey(text, 2).path, counts);
        this.addLocation(table, index + 1);
      } else if (text.startsWith('[')) {
        table = insertArrayIndexes(readKey(text, 1).path, counts);
        this.addLocation(table, index + 1);
      } else {
        const key = readKey(text, 0);
        const location = this.addLocation([...table, ...key.path], index + 1);
        index = this.findValueEnd(index, text.slice(key.end + 1));
        location.endLine = index + 1;
      }
    }
  }

  private addLocation(path: KeyPath, line: number): KeyLocation {
    const key = path.join(SEPARATOR);
    const earlier = this.locations.get(key);
    const location = {path, line, endLine: line};
    this.locationsByLine.set(line, location);
    if (earlier) this.firstLinesOfDuplicates.set(line, earlier.line);
    else this.locations.set(key, location);
    for (let length = path.length - 1; length > 0; length--) {
      const parent = path.slice(0, length);
      const parentKey = parent.join(SEPARATOR);
      if (this.implicitTables.has(parentKey)) break;
      this.implicitTables.set(parentKey, {path: parent, line, endLine: line});
    }
    return location;
  }

  /** Returns the index of the last line of a value that starts with `rest`. */
  private findValueEnd(index: number, rest: string): number {
    const state: ValueState = {depth: 0, quote: ''};
    scanValue(rest, state);
    while (
      (state.depth > 0 || state.quote !== '') &&
      index + 1 < this.lines.length
    ) {
      index++;
      scanValue(this.lines[index], state);
    }
    return index;
  }
}

interface ValueState {
  /** Number of open brackets and braces. */
  depth: number;
  /** Delimiter of an open multi-line string; empty if there is none. */
  quote: string;
}

/** Updates open brackets and multi-line strings for one line of a value. */
function scanValue(text: string, state: ValueState): void {
  let at = 0;
  while (at < text.length) {
    if (state.quote !== '') {
      const end = findQuote(text, at, state.quote);
      if (end < 0) return;
      at = end + state.quote.length;
      state.quote = '';
      continue;
    }
    const char = text[at];
    if (char === '#') return;
    if (char === '[' || char === '{') state.depth++;
    if (char === ']' || char === '}') state.depth--;
    if (char !== '"' && char !== "'") {
      at++;
      continue;
    }
    const triple = text.slice(at, at + 3);
    if (MULTILINE_QUOTES.includes(triple)) {
      state.quote = triple;
      at += 3;
      continue;
    }
    const end = findQuote(text, at + 1, char);
    at = end < 0 ? text.length : end + 1;
  }
}

/**
 * Returns the index of the closing quote, or -1. Backslash escapes exist only
 * in double-quoted strings.
 */
function findQuote(text: string, from: number, quote: string): number {
  for (let at = from; at < text.length; at++) {
    if (text[at] === '\\' && quote[0] === '"') at++;
    else if (text.startsWith(quote, at)) return at;
  }
  return -1;
}

/** Reads a dotted key up to `=` or `]`. */
function readKey(text: string, from: number): {path: string[]; end: number} {
  const path: string[] = [];
  let part = '';
  let at = from;
  for (; at < text.length && text[at] !== '=' && text[at] !== ']'; at++) {
    const char = text[at];
    if (char === '"' || char === "'") {
      const end = findQuote(text, at + 1, char);
      part = text.slice(at + 1, end < 0 ? text.length : end);
      at = end < 0 ? text.length : end;
    } else if (char === '.') {
      path.push(part);
      part = '';
    } else if (char !== ' ' && char !== '\t') {
      part += char;
    }
  }
  path.push(part);
  return {path, end: at};
}

/** Inserts the index of the last element after each array of tables. */
function insertArrayIndexes(
  path: readonly string[],
  counts: ReadonlyMap<string, number>,
): KeyPath {
  const resolved: (string | number)[] = [];
  for (const part of path) {
    resolved.push(part);
    const count = counts.get(resolved.join(SEPARATOR));
    if (count !== undefined) resolved.push(count - 1);
  }
  return resolved;
}

/** Counts a new element of an array of tables and returns its path. */
function nextArrayElementPath(
  path: readonly string[],
  counts: Map<string, number>,
): KeyPath {
  const parent = insertArrayIndexes(path.slice(0, -1), counts);
  const arrayPath = [...parent, path[path.length - 1]];
  const count = counts.get(arrayPath.join(SEPARATOR)) ?? 0;
  counts.set(arrayPath.join(SEPARATOR), count + 1);
  return [...arrayPath, count];
}
