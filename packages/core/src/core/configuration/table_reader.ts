/** Reads the fields of one TOML table and reports what is wrong with them. */
import type {ConfigProblem} from './operator_config.js';
import {KeyLines, type KeyPath} from './key_lines.js';
import {
  convertToUnit,
  hintForName,
  keyInOtherUnit,
  nearestName,
  unitOfKey,
} from './suggestions.js';

export type Table = Readonly<Record<string, unknown>>;

/** Collects problems; the text is scanned for lines only when there is one. */
export class ProblemList {
  readonly problems: ConfigProblem[] = [];
  private scanned: KeyLines | undefined;

  constructor(
    private readonly file: string,
    private readonly text: string,
  ) {}

  get lines(): KeyLines {
    this.scanned ??= new KeyLines(this.text);
    return this.scanned;
  }

  /** @param item text within the value, to find its line in a long list. */
  add(path: KeyPath, message: string, hint: string, item?: string): void {
    const line =
      item === undefined
        ? this.lines.lineOf(path)
        : this.lines.lineOfItem(path, item);
    this.addAtLine(line, path, message, hint);
  }

  addAtLine(line: number, path: KeyPath, message: string, hint: string): void {
    const {file} = this;
    this.problems.push({file, line, key: path.join('.'), message, hint});
  }
}

export interface NumberRule {
  readonly least: number;
  readonly most?: number;
  readonly whole?: boolean;
}

export function isTable(value: unknown): value is Table {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Date)
  );
}

export class TableReader {
  /** Keys that were given in another unit; they are not reported as missing. */
  private readonly misspelled = new Set<string>();

  constructor(
    private readonly list: ProblemList,
    readonly path: KeyPath,
    private readonly table: Table,
    knownKeys: readonly string[],
  ) {
    for (const key of Object.keys(table)) {
      if (!knownKeys.includes(key)) this.reportUnknown(key, knownKeys);
    }
  }

  has(key: string): boolean {
    return Object.hasOwn(this.table, key);
  }

  problem(key: string, message: string, hint: string, item?: string): void {
    this.list.add([...this.path, key], message, hint, item);
  }

  /** Reports a missing key at the line of its table. */
  missing(key: string, hint: string): void {
    if (this.misspelled.has(key)) return;
    this.problem(key, 'missing key', hint);
  }

  number(key: string, rule: NumberRule): number | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value !== 'number' || !Number.isFinite(value)) {
      this.problem(
        key,
        `expected a number, found ${describe(value)}`,
        hintForNumber(key, value, rule),
      );
      return undefined;
    }
    const most = rule.most ?? Infinity;
    const fits = value >= rule.least && value <= most;
    if (fits && (!rule.whole || Number.isInteger(value))) return value;
    const message = `${value} is out of range`;
    this.problem(key, message, hintForNumber(key, value, rule));
    return undefined;
  }

  requiredNumber(key: string, rule: NumberRule): number {
    if (!this.has(key)) this.missing(key, hintForNumber(key, undefined, rule));
    return this.number(key, rule) ?? rule.least;
  }

  string(key: string): string | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value === 'string' && value !== '') return value;
    this.problem(
      key,
      `expected text, found ${describe(value)}`,
      `${key} = "..."`,
    );
    return undefined;
  }

  requiredString(key: string): string {
    if (!this.has(key)) this.missing(key, `${key} = "..."`);
    return this.string(key) ?? '';
  }

  /** Reads one of a few words. */
  word<T extends string>(key: string, words: readonly T[]): T | undefined {
    const value = this.string(key);
    if (value === undefined) return undefined;
    if (words.includes(value as T)) return value as T;
    const listed = words.map(word => `"${word}"`).join(', ');
    this.problem(key, `unknown value "${value}"`, `one of ${listed}`);
    return undefined;
  }

  boolean(key: string): boolean | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value === 'boolean') return value;
    this.problem(
      key,
      `expected true or false, found ${describe(value)}`,
      `${key} = true or ${key} = false, without quotes`,
    );
    return undefined;
  }

  strings(key: string): string[] | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    const isList =
      Array.isArray(value) && value.every(item => typeof item === 'string');
    if (isList) return value as string[];
    this.problem(
      key,
      `expected a list of text, found ${describe(value)}`,
      `${key} = ["...", "..."]`,
    );
    return undefined;
  }

  /** Reads names and reports those that are not in `known`. */
  names(key: string, known: readonly string[], what: string): string[] {
    const names = this.strings(key) ?? [];
    for (const name of names) {
      if (known.includes(name)) continue;
      const message = `unknown ${what} "${name}"`;
      this.problem(key, message, hintForName(name, known), `"${name}"`);
    }
    return names;
  }

  /** Reads an array of tables. */
  tables(key: string): Table[] {
    if (!this.has(key)) return [];
    const value = this.table[key];
    if (Array.isArray(value) && value.every(isTable)) return value;
    this.problem(
      key,
      `expected tables, found ${describe(value)}`,
      `[[${[...this.path, key].join('.')}]]`,
    );
    return [];
  }

  private reportUnknown(key: string, known: readonly string[]): void {
    const value = this.table[key];
    const nearest = nearestName(key, known);
    const meant = keyInOtherUnit(key, value, known);
    if (!meant || (nearest && unitOfKey(key))) {
      this.problem(key, 'unknown key', hintForName(key, known));
      return;
    }
    this.misspelled.add(meant.key);
    const unit = unitOfKey(meant.key)?.name ?? '';
    const example = meant.value ?? '...';
    this.problem(
      key,
      `unknown key; ${meant.key} is given in ${unit}`,
      `write ${meant.key} = ${example}`,
    );
  }
}

function hintForNumber(key: string, value: unknown, rule: NumberRule): string {
  const unit = unitOfKey(key);
  const converted =
    typeof value === 'string' ? convertToUnit(key, value) : undefined;
  if (unit && converted !== undefined) {
    return `write ${key} = ${converted} (${unit.name})`;
  }
  const scaled = unit && scaleUp(value, rule, unit.name);
  if (scaled) return scaled;
  const kind = rule.whole ? 'a whole number' : 'a number';
  const inUnit = unit ? ` of ${unit.name}` : '';
  const upTo = rule.most === undefined ? '' : ` and at most ${rule.most}`;
  return `${kind}${inUnit}, at least ${rule.least}${upTo}`;
}

/** A value below 1 is usually in seconds, or a fraction instead of percent. */
function scaleUp(
  value: unknown,
  rule: NumberRule,
  unit: string,
): string | undefined {
  if (typeof value !== 'number' || value <= 0 || value >= 1) return undefined;
  if (unit === 'milliseconds') {
    return `at least ${rule.least} ms; ${value} s is ${value * 1000}`;
  }
  if (unit === 'percent') return `${value} as a fraction is ${value * 100}`;
  return undefined;
}

function describe(value: unknown): string {
  if (typeof value === 'string') return JSON.stringify(value);
  if (Array.isArray(value)) return 'a list';
  if (value instanceof Date) return 'a date';
  if (isTable(value)) return 'a table';
  return String(value);
}
