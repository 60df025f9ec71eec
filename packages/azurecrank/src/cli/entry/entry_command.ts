/** `azurecrank entry`: runs the process of an entry host. */
import {
  SettingsError,
  entrySettingsSchema,
  readSettings,
} from '@azurecrank/core';
import type {CommandModule} from 'yargs';
import {EntryProcess} from '../../core/process/entry_process.js';

const EXIT_INVALID = 1;

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
      describe: 'Settings of this process (TOML)',
    }),
  handler: async ({settings}) => runEntry(settings),
};

async function runEntry(file: string): Promise<void> {
  try {
    const entry = new EntryProcess(readSettings(file, entrySettingsSchema));
    const stop = async () => {
      await entry.stop();
      process.exit(0);
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
    const httpPort = await entry.start();
    const {peerAddress} = entry;
    const line = JSON.stringify({ready: true, httpPort, peerAddress});
    process.stdout.write(line + '\n');
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(error.message + '\n');
    process.exit(EXIT_INVALID);
  }
}
