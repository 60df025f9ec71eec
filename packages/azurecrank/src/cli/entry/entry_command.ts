/** `azurecrank entry`: runs the process of an entry host. */
import {entrySettingsSchema, readSettings, runProcess} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {EntryProcess} from '../../core/process/entry_process.js';

interface EntryArguments {
  readonly settings: string;
}

export const ENTRY_COMMAND: CommandModule<object, EntryArguments> = {
  command: 'entry',
  describe: 'Run the process of an entry host',
  builder: builder =>
    builder.option('settings', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Settings of this process (TOML)',
    }),
  handler: ({settings}) =>
    runProcess(
      () => new EntryProcess(readSettings(settings, entrySettingsSchema)),
    ),
};
