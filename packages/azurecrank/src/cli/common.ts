/** Options, input and output that operator commands share. */
import {readFileSync} from 'node:fs';
import {
  HttpKeyValueService,
  KeyValueUnavailableError,
  type ConfigProblem,
} from '@azurecrank/core';
import type {Argv} from 'yargs';
import {ExitCode} from './exit_codes.js';

/** What a command prints, and the code it exits with. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

const URL_VARIABLE = 'AZURECRANK_KEY_VALUE_URL';

export interface JsonOption {
  json: boolean;
}

export interface ServiceOption extends JsonOption {
  'key-value-url': string;
}

export function withJson<T>(argv: Argv<T>) {
  return argv.option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print one JSON document',
  });
}

export function withService<T>(argv: Argv<T>) {
  return withJson(argv).option('key-value-url', {
    type: 'string',
    // Absent only if the option is demanded, so the handler always has text.
    default: process.env[URL_VARIABLE] as string,
    demandOption: process.env[URL_VARIABLE] === undefined,
    requiresArg: true,
    describe:
      `Base URL of the key-value service (or ${URL_VARIABLE} in the ` +
      'environment)',
  });
}

/** Prints a result and sets the exit code; problems go to standard error. */
export function report(result: CommandResult, options: JsonOption): void {
  const text = options.json ? JSON.stringify(result.json) : result.text;
  const isError = result.exitCode !== ExitCode.ok && !options.json;
  const stream = isError ? process.stderr : process.stdout;
  stream.write(text.endsWith('\n') ? text : text + '\n');
  process.exitCode = result.exitCode;
}

export type FileText =
  | {readonly kind: 'text'; readonly text: string}
  | {readonly kind: 'failed'; readonly result: CommandResult};

export function readFile(file: string): FileText {
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
  const where = key ? `${file}:${line}: ${key}` : `${file}:${line}`;
  return `${where}: ${message}\n  valid: ${hint}`;
}

export function invalidResult(
  problems: readonly ConfigProblem[],
): CommandResult {
  return {
    exitCode: ExitCode.invalidFile,
    json: {outcome: 'invalid', problems},
    text: problems.map(formatProblem).join('\n'),
  };
}

/** Runs `use` with a client and turns an outage into exit code 5. */
export async function withKeyValue(
  url: string,
  use: (keyValue: HttpKeyValueService) => Promise<CommandResult>,
): Promise<CommandResult> {
  const keyValue = new HttpKeyValueService(url);
  try {
    return await use(keyValue);
  } catch (error) {
    if (!(error instanceof KeyValueUnavailableError)) throw error;
    return notReachable(error.message);
  } finally {
    keyValue[Symbol.dispose]();
  }
}

export function notReachable(cause: string): CommandResult {
  return {
    exitCode: ExitCode.notReachable,
    json: {outcome: 'not_reachable', cause},
    text: `the key-value service cannot be reached: ${cause}`,
  };
}

export function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
