/** Reads typed fields of a TOML table and reports invalid ones with a hint. */
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

/** Collects problems; scans the text for line numbers on the first problem. */
export class ProblemList {
  readonly problems: ConfigProblem[] = [];
  private keyLines: KeyLines | undefined;

  constructor(
    private readonly file: string,
    private readonly text: string,
  ) {}

  get lines(): KeyLines {
    this.keyLines ??= new KeyLines(this.text);
    return this.keyLines;
  }

  /** @param item text within the value whose line is reported. */
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
  readonly min: number;
  readonly max?: number;
  readonly isInteger?: boolean;
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
  /** Known keys given in another unit; they are not reported as missing. */
  private readonly keysInOtherUnit = new Set<string>();

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

  reportProblem(
    key: string,
    message: string,
    hint: string,
    item?: string,
  ): void {
    this.list.add([...this.path, key], message, hint, item);
  }

  /** Reports a missing key at the line of its table. */
  reportMissing(key: string, hint: string): void {
    if (this.keysInOtherUnit.has(key)) return;
    this.reportProblem(key, 'missing key', hint);
  }

  number(key: string, rule: NumberRule): number | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value !== 'number' || !Number.isFinite(value)) {
      this.reportProblem(
        key,
        `expected a number, found ${describeValue(value)}`,
        hintForNumber(key, value, rule),
      );
      return undefined;
    }
    const most = rule.max ?? Infinity;
    const fits = value >= rule.min && value <= most;
    if (fits && (!rule.isInteger || Number.isInteger(value))) return value;
    const message = `${value} is out of range`;
    this.reportProblem(key, message, hintForNumber(key, value, rule));
    return undefined;
  }

  requiredNumber(key: string, rule: NumberRule): number {
    if (!this.has(key))
      this.reportMissing(key, hintForNumber(key, undefined, rule));
    return this.number(key, rule) ?? rule.min;
  }

  string(key: string): string | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value === 'string' && value !== '') return value;
    this.reportProblem(
      key,
      `expected text, found ${describeValue(value)}`,
      `${key} = "..."`,
    );
    return undefined;
  }

  requiredString(key: string): string {
    if (!this.has(key)) this.reportMissing(key, `${key} = "..."`);
    return this.string(key) ?? '';
  }

  /** Reads a string that is one of `allowed`. */
  oneOf<T extends string>(key: string, allowed: readonly T[]): T | undefined {
    const value = this.string(key);
    if (value === undefined) return undefined;
    if (allowed.includes(value as T)) return value as T;
    const listed = allowed.map(word => `"${word}"`).join(', ');
    this.reportProblem(key, `unknown value "${value}"`, `one of ${listed}`);
    return undefined;
  }

  boolean(key: string): boolean | undefined {
    if (!this.has(key)) return undefined;
    const value = this.table[key];
    if (typeof value === 'boolean') return value;
    this.reportProblem(
      key,
      `expected true or false, found ${describeValue(value)}`,
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
    this.reportProblem(
      key,
      `expected a list of text, found ${describeValue(value)}`,
      `${key} = ["...", "..."]`,
    );
    return undefined;
  }

  /**
   * Reads a list of names and reports those that are not in `known`.
   * @param kind noun for the named things, used in the message.
   */
  names(key: string, known: readonly string[], kind: string): string[] {
    const names = this.strings(key) ?? [];
    for (const name of names) {
      if (known.includes(name)) continue;
      const message = `unknown ${kind} "${name}"`;
      this.reportProblem(key, message, hintForName(name, known), `"${name}"`);
    }
    return names;
  }

  /** Reads an array of tables. */
  tables(key: string): Table[] {
    if (!this.has(key)) return [];
    const value = this.table[key];
    if (Array.isArray(value) && value.every(isTable)) return value;
    this.reportProblem(
      key,
      `expected tables, found ${describeValue(value)}`,
      `[[${[...this.path, key].join('.')}]]`,
    );
    return [];
  }

  private reportUnknown(key: string, known: readonly string[]): void {
    const value = this.table[key];
    const nearest = nearestName(key, known);
    const intended = keyInOtherUnit(key, value, known);
    if (!intended || (nearest && unitOfKey(key))) {
      this.reportProblem(key, 'unknown key', hintForName(key, known));
      return;
    }
    this.keysInOtherUnit.add(intended.key);
    const unit = unitOfKey(intended.key)?.name ?? '';
    const example = intended.value ?? '...';
    this.reportProblem(
      key,
      `unknown key; ${intended.key} is given in ${unit}`,
      `write ${intended.key} = ${example}`,
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
  const scaled = unit && hintForFraction(value, rule, unit.name);
  if (scaled) return scaled;
  const kind = rule.isInteger ? 'a whole number' : 'a number';
  const inUnit = unit ? ` of ${unit.name}` : '';
  const upTo = rule.max === undefined ? '' : ` and at most ${rule.max}`;
  return `${kind}${inUnit}, at least ${rule.min}${upTo}`;
}

/** Suggests a conversion: a value below 1 is usually in seconds or a fraction. */
function hintForFraction(
  value: unknown,
  rule: NumberRule,
  unit: string,
): string | undefined {
  if (typeof value !== 'number' || value <= 0 || value >= 1) return undefined;
  if (unit === 'milliseconds') {
    return `at least ${rule.min} ms; ${value} s is ${value * 1000}`;
  }
  if (unit === 'percent') return `${value} as a fraction is ${value * 100}`;
  return undefined;
}

function describeValue(value: unknown): string {
  if (typeof value === 'string') return JSON.stringify(value);
  if (Array.isArray(value)) return 'a list';
  if (value instanceof Date) return 'a date';
  if (isTable(value)) return 'a table';
  return String(value);
}
