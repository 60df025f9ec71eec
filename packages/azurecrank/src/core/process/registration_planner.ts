/**
 * Thin first planner: groups the registered servers into chains and offers
 * every model as a service. Replaced by the shared plan and the operators'
 * configuration.
 */
import {
  SERVERS_PREFIX,
  toId,
  type Chain,
  type ChainId,
  type KeyValueService,
  type ModelId,
  type ServerId,
  type ServerRegistration,
} from '@azurecrank/core';
import type {GenerationRequest} from '../generation/generation.js';
import type {Caller, ModelService} from '../gateway/caller_directory.js';

const REFRESH_MS = 500;
const DEFAULT_DEADLINE_MS = 30_000;

export class RegistrationPlanner implements Disposable {
  private chains: Chain[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly keyValue: KeyValueService) {}

  async start(): Promise<void> {
    await this.refresh();
    this.timer = setInterval(() => void this.refresh(), REFRESH_MS);
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  chooseChain(
    {model}: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    const usable = this.chains.filter(
      chain =>
        chain.model === model &&
        chain.stages.every(({server}) => !excluded.has(server)),
    );
    return usable[Math.floor(Math.random() * usable.length)];
  }

  replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    const lost = chain.stages[stage];
    const replacement = this.chains
      .flatMap(({stages}) => stages)
      .find(
        candidate =>
          candidate.firstLayer === lost.firstLayer &&
          candidate.endLayer === lost.endLayer &&
          !excluded.has(candidate.server),
      );
    if (!replacement) return undefined;
    const stages = chain.stages.map((current, index) =>
      index === stage ? replacement : current,
    );
    return {...chain, stages};
  }

  allowRetry(): boolean {
    return true;
  }

  recordSuccess(): void {}

  findCaller(bearerKey: string): Caller | undefined {
    return {workspace: toId(bearerKey), weight: 1};
  }

  mayUse(): boolean {
    return true;
  }

  findModelService(name: string): ModelService | undefined {
    return this.modelServices().find(({service}) => service === name);
  }

  modelServices(): readonly ModelService[] {
    return [...new Set(this.chains.map(({model}) => model))].map(model => ({
      service: toId(model),
      model,
      rank: 'ordinary',
      deadlineMs: DEFAULT_DEADLINE_MS,
      firstTokenDeadlineMs: DEFAULT_DEADLINE_MS,
    }));
  }

  findPlainService(): undefined {
    return undefined;
  }

  isIdempotent(): boolean {
    return false;
  }

  private async refresh(): Promise<void> {
    try {
      const entries = await this.keyValue.list(SERVERS_PREFIX);
      const servers = entries.map(
        ({value}) => JSON.parse(value) as ServerRegistration,
      );
      this.chains = groupIntoChains(servers);
    } catch {
      // The chains known so far stay in use while the service is down.
    }
  }
}

function groupIntoChains(servers: readonly ServerRegistration[]): Chain[] {
  const free = new Set(servers.filter(({engine}) => engine));
  const chains: Chain[] = [];
  const take = (model: string, firstLayer: number) => {
    for (const candidate of free) {
      const {engine} = candidate;
      if (engine?.model !== model || engine.firstLayer !== firstLayer) continue;
      free.delete(candidate);
      return candidate;
    }
    return undefined;
  };
  const heads = [...free].filter(({engine}) => engine?.firstLayer === 0);
  for (const head of heads) {
    const {model = toId<ModelId>(''), modelVersion = ''} = head.engine ?? {};
    const stages: ServerRegistration[] = [head];
    free.delete(head);
    for (;;) {
      const next = take(model, stages.at(-1)?.engine?.endLayer ?? 0);
      if (!next) break;
      stages.push(next);
    }
    chains.push({
      chain: toId<ChainId>(`${model}/${head.server}`),
      model,
      modelVersion,
      stages: stages.map(({server, address, availabilityZone, engine}) => ({
        server,
        address,
        availabilityZone,
        firstLayer: engine?.firstLayer ?? 0,
        endLayer: engine?.endLayer ?? 0,
      })),
    });
  }
  return chains;
}
