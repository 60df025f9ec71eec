/**
 * Finds the lines at which keys stand in a TOML text. The TOML parser reports
 * lines only for syntax errors, so the checks look keys up here.
 */

/** Number within an array of tables, or a part of a dotted key. */
export type KeyPath = readonly (string | number)[];

interface Found {
  readonly path: KeyPath;
  readonly line: number;
  /** Last line of the value. */
  endLine: number;
}

const SEPARATOR = '\u0000';
const MULTILINE_QUOTES = ['"""', "'''"];

export class KeyLines {
  private readonly found = new Map<string, Found>();
  /** Tables that are only named as part of longer keys. */
  private readonly implied = new Map<string, Found>();
  private readonly byLine = new Map<number, Found>();
  /** Paths given more than once, by the line of the later one. */
  private readonly firstLines = new Map<number, number>();
  private readonly lines: readonly string[];

  constructor(text: string) {
    this.lines = text.split(/\r?\n/);
    this.scan();
  }

  /** Returns the line of `path`, or of its nearest ancestor in the text. */
  lineOf(path: KeyPath): number {
    return this.nearest(path)?.line ?? 1;
  }

  /** Returns the line of `text`, in any case, within the value of `path`. */
  lineOfItem(path: KeyPath, text: string): number {
    const found = this.nearest(path);
    if (!found) return 1;
    const wanted = text.toLowerCase();
    for (let line = found.line; line <= found.endLine; line++) {
      if (this.lines[line - 1]?.toLowerCase().includes(wanted)) return line;
    }
    return found.line;
  }

  /** Returns the key at or before `line`. */
  pathAt(line: number): KeyPath {
    for (let at = line; at > 0; at--) {
      const found = this.byLine.get(at);
      if (found) return found.path;
    }
    return [];
  }

  /** Line of the first occurrence if the key at `line` is a duplicate. */
  firstLineOfDuplicate(line: number): number | undefined {
    return this.firstLines.get(line);
  }

  private nearest(path: KeyPath): Found | undefined {
    for (let length = path.length; length > 0; length--) {
      const key = path.slice(0, length).join(SEPARATOR);
      const found = this.found.get(key) ?? this.implied.get(key);
      if (found) return found;
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
        table = countedPath(readKey(text, 2).path, counts);
        this.add(table, index + 1);
      } else if (text.startsWith('[')) {
        table = resolveArrays(readKey(text, 1).path, counts);
        this.add(table, index + 1);
      } else {
        const key = readKey(text, 0);
        const found = this.add([...table, ...key.path], index + 1);
        index = this.skipValue(index, text.slice(key.end + 1));
        found.endLine = index + 1;
      }
    }
  }

  private add(path: KeyPath, line: number): Found {
    const key = path.join(SEPARATOR);
    const earlier = this.found.get(key);
    const found = {path, line, endLine: line};
    this.byLine.set(line, found);
    if (earlier) this.firstLines.set(line, earlier.line);
    else this.found.set(key, found);
    for (let length = path.length - 1; length > 0; length--) {
      const parent = path.slice(0, length);
      const parentKey = parent.join(SEPARATOR);
      if (this.implied.has(parentKey)) break;
      this.implied.set(parentKey, {path: parent, line, endLine: line});
    }
    return found;
  }

  /** Returns the index of the last line of a value that starts with `rest`. */
  private skipValue(index: number, rest: string): number {
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
  depth: number;
  /** Quote of a string that goes on in the next line; empty if none. */
  quote: string;
}

/** Follows brackets and multi-line strings through one line of a value. */
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

/** Only double-quoted strings have escapes. */
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

/** Inserts the number of the latest element after each array of tables. */
function resolveArrays(
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

function countedPath(
  path: readonly string[],
  counts: Map<string, number>,
): KeyPath {
  const parent = resolveArrays(path.slice(0, -1), counts);
  const whole = [...parent, path[path.length - 1]];
  const count = counts.get(whole.join(SEPARATOR)) ?? 0;
  counts.set(whole.join(SEPARATOR), count + 1);
  return [...whole, count];
}
