/** `azurecrank apply FILE`: stores an operators' file as the next version. */
import {userInfo} from 'node:os';
import {
  applyConfig,
  type ApplyConflict,
  type ApplyOutcome,
} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {
  formatTime,
  toInvalidResult,
  toNotReachableResult,
  readFile,
  printResult,
  withKeyValue,
  withKeyValueOption,
  type CommandResult,
  type KeyValueOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';

interface ApplyCommandOptions extends KeyValueOption {
  file: string;
  author: string;
}

/** Further differences of a conflict are only counted. */
const MAX_PRINTED_DIFFERENCES = 40;

export const applyCommand: CommandModule<object, ApplyCommandOptions> = {
  command: 'apply <file>',
  describe: "Accept an operators' file; safe to repeat",
  builder: argv =>
    withKeyValueOption(argv)
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: "Operators' file (TOML) with the revision it started from",
      })
      .option('author', {
        type: 'string',
        default: userInfo().username,
        describe: 'Name that others see in a conflict',
      }),
  handler: async options => printResult(await apply(options), options),
};

async function apply(options: ApplyCommandOptions): Promise<CommandResult> {
  const {file, author, 'key-value-url': keyValueUrl} = options;
  const read = readFile(file);
  if (read.kind === 'failed') return read.result;
  return withKeyValue(keyValueUrl, async keyValue =>
    toResult(await applyConfig(keyValue, read.text, author, {file})),
  );
}

function toResult(outcome: ApplyOutcome): CommandResult {
  const {kind, ...rest} = outcome;
  const json = {outcome: kind, ...rest};
  switch (outcome.kind) {
    case 'invalid':
      return toInvalidResult(outcome.problems);
    case 'accepted':
      return {
        exitCode: ExitCode.ok,
        json,
        text: `accepted as version ${outcome.version}`,
      };
    case 'already_accepted':
      return {
        exitCode: ExitCode.ok,
        json,
        text: `already accepted as version ${outcome.version}`,
      };
    case 'conflict':
      return {
        exitCode: ExitCode.conflict,
        json,
        text: describeConflict(outcome),
      };
    case 'not_known':
      return {
        exitCode: ExitCode.notKnown,
        json,
        text:
          'it is not known whether the file was accepted; apply the same ' +
          `file again to find out: ${outcome.cause}`,
      };
    case 'not_reachable':
      return toNotReachableResult(outcome.cause);
  }
}

function describeConflict(conflict: ApplyConflict): string {
  const {baseRevision, currentVersion, author, atMs, differences} = conflict;
  const currentText =
    currentVersion === 0
      ? 'nothing has been accepted yet; write revision = 0'
      : `version ${currentVersion} is by ${author}, ${formatTime(atMs)}`;
  const lines = differences
    .slice(0, MAX_PRINTED_DIFFERENCES)
    .map(({side, line, text}) => `  ${side} ${line}: ${text}`);
  const omittedCount = differences.length - lines.length;
  return [
    `conflict: the file starts from revision ${baseRevision}; ${currentText}`,
    ...lines,
    ...(omittedCount > 0 ? [`  and ${omittedCount} more lines`] : []),
    'get the current text with `azurecrank show` and repeat the edit',
  ].join('\n');
}
