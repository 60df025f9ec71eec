/** `azurecrank apply FILE`: makes an operators' file the next version. */
import {userInfo} from 'node:os';
import {
  applyConfig,
  type ApplyConflict,
  type ApplyOutcome,
} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {
  formatTime,
  invalidResult,
  notReachable,
  readFile,
  report,
  withKeyValue,
  withService,
  type CommandResult,
  type ServiceOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';

interface ApplyCommandOptions extends ServiceOption {
  file: string;
  author: string;
}

const MOST_PRINTED_LINES = 40;

export const applyCommand: CommandModule<object, ApplyCommandOptions> = {
  command: 'apply <file>',
  describe: "Accept an operators' file; safe to repeat",
  builder: argv =>
    withService(argv)
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
  handler: async options => report(await apply(options), options),
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
      return invalidResult(outcome.problems);
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
      return notReachable(outcome.cause);
  }
}

function describeConflict(conflict: ApplyConflict): string {
  const {baseRevision, currentVersion, author, atMs, differences} = conflict;
  const first =
    currentVersion === 0
      ? 'nothing has been accepted yet; write revision = 0'
      : `version ${currentVersion} is by ${author}, ${formatTime(atMs)}`;
  const lines = differences
    .slice(0, MOST_PRINTED_LINES)
    .map(({side, line, text}) => `  ${side} ${line}: ${text}`);
  const more = differences.length - lines.length;
  return [
    `conflict: the file starts from revision ${baseRevision}; ${first}`,
    ...lines,
    ...(more > 0 ? [`  and ${more} more lines`] : []),
    'get the current text with `azurecrank show` and repeat the edit',
  ].join('\n');
}
