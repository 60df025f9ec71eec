/** Finds callers and services in the accepted configuration. */
import {
  isIdempotentCall,
  mayUseService,
  toId,
  workspaceOfKey,
  type OperatorConfig,
  type ServiceConfig,
  type ServiceId,
} from '@azurecrank/core';
import {
  CallerDirectory,
  type Caller,
  type ModelService,
  type PlainServiceInfo,
} from './caller_directory.js';

/**
 * First-token deadline as a multiple of the first-token target. The target is
 * meant for 95 % of the requests; a request counts as not servable only if its
 * first token would come this many times later.
 */
const FIRST_TOKEN_DEADLINE_FACTOR = 10;

export class ConfigDirectory extends CallerDirectory {
  constructor(private readonly config: () => OperatorConfig | undefined) {
    super();
  }

  override findCaller(bearerKey: string): Caller | undefined {
    const config = this.config();
    const found = config && workspaceOfKey(config, bearerKey);
    if (!found) return undefined;
    return {workspace: found.workspace, weight: found.weight};
  }

  override mayUse(caller: Caller, service: ServiceId): boolean {
    const found = this.config()?.workspaces.get(caller.workspace);
    return found !== undefined && mayUseService(found, service);
  }

  override findModelService(name: string): ModelService | undefined {
    const found = this.config()?.services.get(toId<ServiceId>(name));
    return found && toModelService(found);
  }

  override modelServices(): readonly ModelService[] {
    return [...(this.config()?.services.values() ?? [])].flatMap(
      service => toModelService(service) ?? [],
    );
  }

  override findPlainService(name: string): PlainServiceInfo | undefined {
    const found = this.config()?.services.get(toId<ServiceId>(name));
    if (found?.kind !== 'plain') return undefined;
    const {service, rank, deadlineMs} = found;
    return {service, rank, deadlineMs};
  }

  override isIdempotent(
    service: ServiceId,
    method: string,
    path: string,
  ): boolean {
    const config = this.config();
    return config ? isIdempotentCall(config, service, method, path) : false;
  }
}

function toModelService(config: ServiceConfig): ModelService | undefined {
  const {service, model, rank, deadlineMs, firstTokenTargetMs} = config;
  if (config.kind !== 'model' || !model) return undefined;
  const firstTokenDeadlineMs = Math.min(
    deadlineMs,
    firstTokenTargetMs * FIRST_TOKEN_DEADLINE_FACTOR,
  );
  return {service, model, rank, deadlineMs, firstTokenDeadlineMs};
}
