/**
 * `azurecrank explain [REASON]`: explains a refusal or retry reason, or with
 * `--logs` what happened to one request.
 */
import type {CommandModule} from 'yargs';
import {hintForName} from '@azurecrank/core';
import {
  printResult,
  withJsonOption,
  type CommandResult,
  type JsonOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';
import {EXPLANATIONS, type Explanation} from './explanations.js';
import {explainRequest} from './request_command.js';

interface ExplainOptions extends JsonOption {
  reason?: string;
  logs?: string[];
}

export const explainCommand: CommandModule<object, ExplainOptions> = {
  command: 'explain [reason]',
  describe: 'Explain a refusal or retry reason, or list all',
  builder: argv =>
    withJsonOption(argv)
      .positional('reason', {
        type: 'string',
        describe:
          'Reason from a problem document, a log line or a counter; with ' +
          '--logs the id of a request',
      })
      .option('logs', {
        type: 'string',
        array: true,
        describe: 'Log files of all processes; - reads standard input',
      }),
  handler: options => printResult(explain(options), options),
};

function explain({reason, logs}: ExplainOptions): CommandResult {
  return logs ? explainWithLogs(reason, logs) : explainReason(reason);
}

function explainWithLogs(
  request: string | undefined,
  logs: readonly string[],
): CommandResult {
  if (request !== undefined) return explainRequest(request, logs);
  const message = 'name a request: azurecrank explain ID --logs FILE...';
  const json = {outcome: 'usage', message};
  return {exitCode: ExitCode.usage, json, text: message};
}

function explainReason(reason: string | undefined): CommandResult {
  if (reason === undefined) {
    const text = EXPLANATIONS.map(formatShort).join('\n');
    return {exitCode: ExitCode.ok, json: EXPLANATIONS, text};
  }
  const found = EXPLANATIONS.filter(
    explanation => explanation.reason === reason,
  );
  if (found.length > 0) {
    const text = found.map(formatLong).join('\n');
    return {exitCode: ExitCode.ok, json: found, text};
  }
  const names = [
    ...new Set(EXPLANATIONS.map(explanation => explanation.reason)),
  ];
  const message = `unknown reason "${reason}": ${hintForName(reason, names)}`;
  const json = {outcome: 'usage', message};
  return {exitCode: ExitCode.usage, json, text: message};
}

function formatShort({reason, kind, meaning}: Explanation): string {
  return `${reason} (${kind}): ${meaning}`;
}

function formatLong(explanation: Explanation): string {
  const {reason, kind, status, meaning, ran, action} = explanation;
  const name = status
    ? `${reason} (${kind}, HTTP ${status})`
    : `${reason} (${kind})`;
  return [
    name,
    `  meaning: ${meaning}`,
    `  did the request run: ${ran}`,
    `  what to do: ${action}`,
  ].join('\n');
}
