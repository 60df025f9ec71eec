/** Reads the settings of a process from TOML and validates them by a schema. */
import {readFileSync} from 'node:fs';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';
import {KeyLines} from '../configuration/key_lines.js';
import {
  convertToUnit,
  hintForName,
  keyInOtherUnit,
  unitOfKey,
} from '../configuration/suggestions.js';

/** One error in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted key in snake_case; empty if the problem concerns the whole file. */
  readonly key: string;
  readonly message: string;
  /** Counted from 1; absent if the key or the file is missing. */
  readonly line?: number;
}

export class SettingsError extends Error {
  constructor(readonly problems: readonly SettingsProblem[]) {
    super(problems.map(formatProblem).join('\n'));
    this.name = 'SettingsError';
  }
}

function formatProblem({file, line, key, message}: SettingsProblem): string {
  const location = line === undefined ? file : `${file}:${line}`;
  return key ? `${location}: ${key}: ${message}` : `${location}: ${message}`;
}

/** Causes of a failed read, by the error code of the system. */
const READ_ERROR_CAUSES: Readonly<Record<string, string>> = {
  ENOENT: 'there is no such file',
  EACCES: 'this user may not read it',
  EISDIR: 'it is a directory',
};

/**
 * Reads a settings file. Keys are in snake_case in the file and in camelCase in
 * the result.
 * @throws SettingsError with the file, the line and the key of each problem.
 */
export function readSettings<T>(file: string, schema: z.ZodType<T>): T {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const {code = '', message} = error as NodeJS.ErrnoException;
    const cause = READ_ERROR_CAUSES[code] ?? message;
    const problem = {file, key: '', message: `cannot be read: ${cause}`};
    throw new SettingsError([problem]);
  }
  return parseSettings(text, file, schema);
}

export function parseSettings<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): T {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const [first] = error.message.split('\n');
    const message = first.replace('Invalid TOML document: ', 'syntax error: ');
    throw new SettingsError([{file, line: error.line, key: '', message}]);
  }
  const result = schema.safeParse(toCamelCase(raw));
  if (result.success) return result.data;
  const lines = new KeyLines(text);
  const known = knownKeys(schema);
  throw new SettingsError(
    result.error.issues.flatMap(issue =>
      toProblems(issue, raw, known).map(({key, message}) => {
        const [top] = key.split('.');
        const isPresent = Object.hasOwn(raw, top);
        const line = isPresent ? lines.lineOf([top]) : undefined;
        return {file, line, key, message};
      }),
    ),
  );
}

type KeyProblem = Pick<SettingsProblem, 'key' | 'message'>;

function toProblems(
  issue: z.core.$ZodIssue,
  raw: Record<string, unknown>,
  known: readonly string[],
): KeyProblem[] {
  const path = issue.path.map(part => snakeCase(String(part)));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(name => {
      const key = snakeCase(name);
      const other = keyInOtherUnit(key, raw[key], known);
      const hint = other
        ? `did you mean "${toAssignment(other)}"?`
        : hintForName(key, known);
      return {key, message: `unknown key; ${hint}`};
    });
  }
  const key = path.join('.');
  if (issue.code === 'custom') return [{key, message: issue.message}];
  if (!Object.hasOwn(raw, path[0])) {
    return [{key, message: `missing; ${describeExpected(key, issue)}`}];
  }
  const value = raw[path[0]];
  const converted =
    typeof value === 'string' ? convertToUnit(key, value) : undefined;
  const hint = converted === undefined ? '' : `; write ${converted}`;
  const got = `got ${JSON.stringify(value)}`;
  return [{key, message: `${describeExpected(key, issue)}; ${got}${hint}`}];
}

/** Describes a valid value, with the unit if the name of the key states one. */
function describeExpected(key: string, issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_format') {
    return issue.format === 'url'
      ? 'expected a URL, for example "http://10.0.0.5:7000"'
      : 'expected "IP:PORT", for example "10.0.0.5:7100"';
  }
  const unit = unitOfKey(key);
  const isNumber =
    issue.code === 'invalid_type' && /number|int/.test(issue.expected);
  if (unit && isNumber) {
    return `expected a whole number of ${unit.name}, for example ${EXAMPLE_VALUE}`;
  }
  const text = issue.message.replace('Invalid input: ', '');
  return text.replace(/, received .*$/, '');
}

/** Value shown as an example for keys with a unit. */
const EXAMPLE_VALUE = 1000;

function toAssignment(found: {key: string; value?: number}): string {
  const {key, value} = found;
  return value === undefined ? key : `${key} = ${value}`;
}

function knownKeys(schema: z.ZodType): string[] {
  const {shape = {}} = schema as {shape?: Record<string, unknown>};
  return Object.keys(shape).map(snakeCase);
}

function toCamelCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelCase);
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase()),
      toCamelCase(item),
    ]),
  );
}

function snakeCase(key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
