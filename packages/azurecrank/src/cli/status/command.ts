/** `azurecrank status`: versions, chains, servers, and processes' metrics. */
import type {CommandModule} from 'yargs';
import {
  report,
  withKeyValue,
  withService,
  type CommandResult,
  type ServiceOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';
import {readProcess, type ProcessStatus} from './process_metrics.js';
import {
  describePlatform,
  readPlatform,
  type PlatformStatus,
} from './platform_status.js';

interface StatusOptions extends ServiceOption {
  process: string[];
}

export const statusCommand: CommandModule<object, StatusOptions> = {
  command: 'status',
  describe: 'Print versions, plan chains, servers and process metrics',
  builder: argv =>
    withService(argv).option('process', {
      type: 'string',
      array: true,
      requiresArg: true,
      default: [] as string[],
      describe: 'Base URLs of processes whose /metrics are read',
    }),
  handler: async options => report(await status(options), options),
};

/** Processes are shown even when the key-value service is down. */
async function status(options: StatusOptions): Promise<CommandResult> {
  const processes = await Promise.all(options.process.map(readProcess));
  const platform = await withKeyValue(
    options['key-value-url'],
    async keyValue => toResult(await readPlatform(keyValue)),
  );
  return {
    exitCode: platform.exitCode,
    json: {...(platform.json as object), processes},
    text: [platform.text, ...processes.map(describeProcess)].join('\n'),
  };
}

function toResult(platform: PlatformStatus): CommandResult {
  const text = describePlatform(platform);
  return {exitCode: ExitCode.ok, json: platform, text};
}

function describeProcess(status: ProcessStatus): string {
  if (status.kind === 'failed') {
    return `process ${status.url}: no metrics: ${status.cause}`;
  }
  const lines = status.highlights.map(({series, value}) => {
    return `  ${series} ${value}`;
  });
  return [`process ${status.url}`, ...lines].join('\n');
}
