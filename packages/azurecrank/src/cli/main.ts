/** The `azurecrank` command line. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {applyCommand} from './apply/command.js';
import {checkCommand} from './check/command.js';
import {explainCommand} from './explain/command.js';
import {entryCommand} from './entry/entry_command.js';
import {ExitCode, describeExitCodes} from './exit_codes.js';
import {showCommand} from './show/command.js';
import {statusCommand} from './status/command.js';

await yargs(hideBin(process.argv))
  .scriptName('azurecrank')
  .command(applyCommand)
  .command(checkCommand)
  .command(entryCommand)
  .command(explainCommand)
  .command(showCommand)
  .command(statusCommand)
  .demandCommand(1, 'Name a command.')
  .strict()
  .help()
  .version(false)
  .epilogue(describeExitCodes())
  .fail((message, error, parser) => {
    const usage = message ? `${parser.help()}\n\n${message}` : error.message;
    process.stderr.write(usage + '\n');
    process.exit(message ? ExitCode.usage : ExitCode.failed);
  })
  .parseAsync();
