/** Reads a process's settings from TOML and checks them against a schema. */
import {readFileSync} from 'node:fs';
import {parse, TomlError} from 'smol-toml';
import type {z} from 'zod';

/** One complaint about a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted key as it stands in the file; empty for the whole file. */
  readonly key: string;
  readonly message: string;
}

export class SettingsError extends Error {
  constructor(readonly problems: readonly SettingsProblem[]) {
    super(problems.map(formatProblem).join('\n'));
    this.name = 'SettingsError';
  }
}

function formatProblem(problem: SettingsProblem): string {
  const where = problem.key ? `${problem.file}: ${problem.key}` : problem.file;
  return `${where}: ${problem.message}`;
}

/**
 * Keys are written in snake_case in files and in camelCase in code.
 * @throws SettingsError naming the file and each bad key.
 */
export function readSettings<T>(file: string, schema: z.ZodType<T>): T {
  return parseSettings(readFileSync(file, 'utf8'), file, schema);
}

export function parseSettings<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): T {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const message = `line ${error.line}: ${error.message.split('\n')[0]}`;
    throw new SettingsError([{file, key: '', message}]);
  }
  const result = schema.safeParse(toCamelCase(raw));
  if (result.success) return result.data;
  throw new SettingsError(
    result.error.issues.flatMap(issue => toProblems(file, issue)),
  );
}

function toProblems(file: string, issue: z.core.$ZodIssue): SettingsProblem[] {
  const path = issue.path.map(part => snakeCase(String(part)));
  if (issue.code !== 'unrecognized_keys') {
    return [{file, key: path.join('.'), message: issue.message}];
  }
  return issue.keys.map(key => ({
    file,
    key: [...path, snakeCase(key)].join('.'),
    message: 'unknown key',
  }));
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
