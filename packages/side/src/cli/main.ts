/** Command line of `azurecrank-side`. */
import {
  SettingsError,
  readSettings,
  sideSettingsSchema,
} from '@azurecrank/core';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SideProcess} from '../core/process/side_process.js';

const EXIT_INVALID = 1;

async function run(settingsFile: string): Promise<void> {
  const settings = readSettings(settingsFile, sideSettingsSchema);
  const side = new SideProcess(settings);
  const stop = async () => {
    await side.stop();
    process.exit(0);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const httpPort = await side.start();
  const {peerAddress} = side;
  const line = JSON.stringify({ready: true, httpPort, peerAddress});
  process.stdout.write(line + '\n');
}

const argv = await yargs(hideBin(process.argv))
  .scriptName('azurecrank-side')
  .usage('$0 --settings FILE\n\nRuns beside one backend server.')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'Settings of this process (TOML)',
  })
  .strict()
  .parse();

try {
  await run(argv.settings);
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(error.message + '\n');
  process.exit(EXIT_INVALID);
}
