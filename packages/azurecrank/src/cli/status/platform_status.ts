/** Reads configuration, plan and registrations from the key-value service. */
import {
  CONFIG_KEY,
  PLAN_KEY,
  SERVERS_PREFIX,
  decodeConfigRecord,
  type Chain,
  type KeyValueService,
  type Plan,
  type ServerRegistration,
} from '@azurecrank/core';
import {formatTime} from '../common.js';

export interface PlatformStatus {
  readonly config?: {
    readonly version: number;
    readonly author: string;
    readonly atMs: number;
  };
  readonly plan?: Plan;
  readonly servers: readonly ServerRegistration[];
}

export async function readPlatform(
  keyValue: KeyValueService,
): Promise<PlatformStatus> {
  const [config, plan, servers] = await Promise.all([
    keyValue.get(CONFIG_KEY),
    keyValue.get(PLAN_KEY),
    keyValue.list(SERVERS_PREFIX),
  ]);
  const record = config && decodeConfigRecord(config.value);
  return {
    config: record && {
      version: record.version,
      author: record.author,
      atMs: record.atMs,
    },
    plan: plan && (JSON.parse(plan.value) as Plan),
    servers: servers.map(entry => JSON.parse(entry.value)),
  };
}

export function describePlatform(status: PlatformStatus): string {
  const {config, plan, servers} = status;
  return [
    config
      ? `configuration ${config.version} by ${config.author}, ` +
        formatTime(config.atMs)
      : 'configuration: none accepted',
    plan ? `plan ${plan.version}, fence ${plan.fence}` : 'plan: none',
    ...(plan?.chains.map(describeChain) ?? []),
    ...Object.entries(plan?.services ?? {}).map(([service, of]) => {
      return `  service ${service}: ${of.map(one => one.server).join(', ')}`;
    }),
    `${servers.length} registered servers`,
    ...servers.map(describeServer),
  ].join('\n');
}

function describeChain(chain: Chain): string {
  const stages = chain.stages.map(
    stage => `${stage.server}[${stage.firstLayer}..${stage.endLayer})`,
  );
  const model = `${chain.model}@${chain.modelVersion}`;
  return `  chain ${chain.chain} ${model}: ${stages.join(' -> ')}`;
}

function describeServer(server: ServerRegistration): string {
  const {engine} = server;
  const role = engine
    ? `${engine.model}@${engine.modelVersion} ` +
      `[${engine.firstLayer}..${engine.endLayer}) on ${engine.accelerator}`
    : `service ${server.service ?? 'unknown'}`;
  return (
    `  ${server.server} ${server.state}, epoch ${server.epoch}, ` +
    `${server.availabilityZone}, ${server.address}: ${role}`
  );
}
