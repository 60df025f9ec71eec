/** `azurecrank check FILE`: validates an operators' file without applying it. */
import {parseOperatorConfig, type OperatorConfig} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {
  toInvalidResult,
  readFile,
  printResult,
  withJsonOption,
  type CommandResult,
  type JsonOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';

interface CheckOptions extends JsonOption {
  file: string;
}

export const checkCommand: CommandModule<object, CheckOptions> = {
  command: 'check <file>',
  describe: "Check an operators' file; needs no connection",
  builder: argv =>
    withJsonOption(argv).positional('file', {
      type: 'string',
      demandOption: true,
      describe: "Operators' file (TOML)",
    }),
  handler: options => printResult(check(options.file), options),
};

function check(file: string): CommandResult {
  const read = readFile(file);
  if (read.kind === 'failed') return read.result;
  const parsed = parseOperatorConfig(read.text, file);
  if (parsed.kind === 'invalid') return toInvalidResult(parsed.problems);
  const counts = summarize(parsed.config);
  return {
    exitCode: ExitCode.ok,
    json: {outcome: 'valid', ...counts},
    text:
      `${file} is valid: ${counts.models} models, ${counts.services} ` +
      `services, ${counts.workspaces} workspaces`,
  };
}

function summarize(config: OperatorConfig) {
  return {
    revision: config.revision,
    models: config.models.size,
    services: config.services.size,
    workspaces: config.workspaces.size,
    reservedPercent: config.reservedPercent,
  };
}
