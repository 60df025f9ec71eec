/** Command line of `azurecrank`. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ENTRY_COMMAND} from './entry/entry_command.js';

await yargs(hideBin(process.argv))
  .scriptName('azurecrank')
  .command(ENTRY_COMMAND)
  .demandCommand(1)
  .strict()
  .parse();
