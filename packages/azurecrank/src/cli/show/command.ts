/** `azurecrank show`: prints the accepted text, ready for an edit. */
import {
  CONFIG_KEY,
  decodeConfigRecord,
  textForEditing,
  type KeyValueService,
} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {
  report,
  withKeyValue,
  withService,
  type CommandResult,
  type ServiceOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';

export const showCommand: CommandModule<object, ServiceOption> = {
  command: 'show',
  describe: 'Print the accepted file with the revision to edit from',
  builder: argv => withService(argv),
  handler: async options =>
    report(await withKeyValue(options['key-value-url'], show), options),
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
