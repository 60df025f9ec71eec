/** `azurecrank show`: prints the accepted file, ready for editing. */
import {
  CONFIG_KEY,
  decodeConfigRecord,
  textForEditing,
  type KeyValueService,
} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {
  printResult,
  withKeyValue,
  withKeyValueOption,
  type CommandResult,
  type KeyValueOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';

export const showCommand: CommandModule<object, KeyValueOption> = {
  command: 'show',
  describe: 'Print the accepted file with the revision to edit from',
  builder: argv => withKeyValueOption(argv),
  handler: async options =>
    printResult(await withKeyValue(options['key-value-url'], show), options),
};

async function show(keyValue: KeyValueService): Promise<CommandResult> {
  const entry = await keyValue.get(CONFIG_KEY);
  if (!entry) {
    return {
      exitCode: ExitCode.ok,
      json: {version: 0},
      text: '# nothing has been accepted yet\nrevision = 0\n',
    };
  }
  const record = decodeConfigRecord(entry.value);
  const text = textForEditing(record);
  const {version, author, atMs, applyId, recent} = record;
  return {
    exitCode: ExitCode.ok,
    json: {version, author, atMs, applyId, recent, text},
    text,
  };
}
