/** Command `azurecrank-side`, which runs a side process. */
import {readSettings, runProcess, sideSettingsSchema} from '@azurecrank/core';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SideProcess} from '../core/process/side_process.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('azurecrank-side')
  .usage('$0 --settings FILE\n\nRuns beside one backend server.')
  .option('settings', {
    type: 'string',
    demandOption: true,
    requiresArg: true,
    describe: 'Settings of this process (TOML)',
  })
  .version(false)
  .strict()
  .parse();

await runProcess(
  () => new SideProcess(readSettings(argv.settings, sideSettingsSchema)),
);
