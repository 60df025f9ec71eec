/** `azurecrank status`: prints versions, chains, servers and process metrics. */
import type {CommandModule} from 'yargs';
import {
  printResult,
  withKeyValue,
  withKeyValueOption,
  type CommandResult,
  type KeyValueOption,
} from '../common.js';
import {ExitCode} from '../exit_codes.js';
import {readProcessMetrics, type ProcessMetrics} from './process_metrics.js';
import {
  describePlatform,
  readPlatform,
  type PlatformStatus,
} from './platform_status.js';

interface StatusOptions extends KeyValueOption {
  process: string[];
}

export const statusCommand: CommandModule<object, StatusOptions> = {
  command: 'status',
  describe: 'Print versions, plan chains, servers and process metrics',
  builder: argv =>
    withKeyValueOption(argv).option('process', {
      type: 'string',
      array: true,
      requiresArg: true,
      default: [] as string[],
      describe: 'Base URLs of processes whose /metrics are read',
    }),
  handler: async options => printResult(await status(options), options),
};

/** Shows processes even while the key-value service cannot be reached. */
async function status(options: StatusOptions): Promise<CommandResult> {
  const processes = await Promise.all(options.process.map(readProcessMetrics));
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

function describeProcess(status: ProcessMetrics): string {
  if (status.kind === 'failed') {
    return `process ${status.url}: no metrics: ${status.cause}`;
  }
  const lines = status.highlights.map(({series, value}) => {
    return `  ${series} ${value}`;
  });
  return [`process ${status.url}`, ...lines].join('\n');
}
