/** `azurecrank entry`: runs an entry process. */
import {entrySettingsSchema, readSettings, runProcess} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {EntryProcess} from '../../core/process/entry_process.js';

interface EntryOptions {
  readonly settings: string;
}

export const entryCommand: CommandModule<object, EntryOptions> = {
  command: 'entry',
  describe: 'Run the process of an entry host',
  builder: argv =>
    argv.option('settings', {
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
