/** Options, file input and output shared by the operator commands. */
import {readFileSync} from 'node:fs';
import {
  HttpKeyValueService,
  KeyValueUnavailableError,
  type ConfigProblem,
} from '@azurecrank/core';
import type {Argv} from 'yargs';
import {ExitCode} from './exit_codes.js';

/** Output and exit code of a command. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

const KEY_VALUE_URL_VARIABLE = 'AZURECRANK_KEY_VALUE_URL';

export interface JsonOption {
  json: boolean;
}

export interface KeyValueOption extends JsonOption {
  'key-value-url': string;
}

export function withJsonOption<T>(argv: Argv<T>) {
  return argv.option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print one JSON document',
  });
}

export function withKeyValueOption<T>(argv: Argv<T>) {
  return withJsonOption(argv).option('key-value-url', {
    type: 'string',
    // Undefined only if the option is demanded, so handlers always get a string.
    default: process.env[KEY_VALUE_URL_VARIABLE] as string,
    demandOption: process.env[KEY_VALUE_URL_VARIABLE] === undefined,
    requiresArg: true,
    describe:
      `Base URL of the key-value service (or ${KEY_VALUE_URL_VARIABLE} in the ` +
      'environment)',
  });
}

/**
 * Prints a result and sets the exit code. Errors go to standard error, except
 * with `--json`.
 */
export function printResult(result: CommandResult, options: JsonOption): void {
  const text = options.json ? JSON.stringify(result.json) : result.text;
  const isError = result.exitCode !== ExitCode.ok && !options.json;
  const stream = isError ? process.stderr : process.stdout;
  stream.write(text.endsWith('\n') ? text : text + '\n');
  process.exitCode = result.exitCode;
}

export type FileReadResult =
  | {readonly kind: 'text'; readonly text: string}
  | {readonly kind: 'failed'; readonly result: CommandResult};

export function readFile(file: string): FileReadResult {
  try {
    return {kind: 'text', text: readFileSync(file, 'utf8')};
  } catch (error) {
    const message = `cannot read ${file}: ${(error as Error).message}`;
    const json = {outcome: 'usage', message};
    const result = {exitCode: ExitCode.usage, json, text: message};
    return {kind: 'failed', result};
  }
}

export function formatProblem(problem: ConfigProblem): string {
  const {file, line, key, message, hint} = problem;
  const location = key ? `${file}:${line}: ${key}` : `${file}:${line}`;
  return `${location}: ${message}\n  valid: ${hint}`;
}

export function toInvalidResult(
  problems: readonly ConfigProblem[],
): CommandResult {
  return {
    exitCode: ExitCode.invalidFile,
    json: {outcome: 'invalid', problems},
    text: problems.map(formatProblem).join('\n'),
  };
}

/**
 * Runs a function with a key-value client. If the service cannot be reached,
 * the result has exit code 5.
 */
export async function withKeyValue(
  url: string,
  run: (keyValue: HttpKeyValueService) => Promise<CommandResult>,
): Promise<CommandResult> {
  const keyValue = new HttpKeyValueService(url);
  try {
    return await run(keyValue);
  } catch (error) {
    if (!(error instanceof KeyValueUnavailableError)) throw error;
    return toNotReachableResult(error.message);
  } finally {
    keyValue[Symbol.dispose]();
  }
}

export function toNotReachableResult(cause: string): CommandResult {
  return {
    exitCode: ExitCode.notReachable,
    json: {outcome: 'not_reachable', cause},
    text: `the key-value service cannot be reached: ${cause}`,
  };
}

/** Formats a Unix time in milliseconds. */
export function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
