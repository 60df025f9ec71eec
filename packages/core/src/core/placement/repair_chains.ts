/** Keeps the chains of the previous plan and replaces their lost stages. */
import type {ChainId, ServerId} from '../ids/ids.js';
import type {Chain, ChainStage} from '../wire/messages.js';
import {toStage} from './form_chains.js';
import {
  compareIds,
  holdsLayers,
  maxLayers,
  rangeKey,
  type EngineServer,
  type LayerRange,
  type LinkTime,
  type PlacementModel,
  type PlanningOptions,
} from './placement_types.js';

export interface RepairInput {
  /** Chains of the model, in the previous plan or as planned so far. */
  readonly chains: readonly Chain[];
  /** Live servers assigned to the model. */
  readonly servers: readonly EngineServer[];
  readonly model: PlacementModel;
  readonly linkTimeMs: LinkTime;
  readonly options: PlanningOptions;
  /** Limits the replacement of slow stages; without it any spare may be used. */
  readonly unharmed?: UnharmedChains;
}

/**
 * Chains that no loss concerns. They do not take the servers that losses and
 * rebuilds release in the same planning run: the swap would discard the caches
 * of their sequences while they also take over those of the broken chains, and
 * a server that restarts would find its chain taken apart.
 */
export interface UnharmedChains {
  readonly chains: ReadonlySet<ChainId>;
  /** Servers of all other chains of the previous plan. */
  readonly releasedServers: ReadonlySet<ServerId>;
}

/** Returns the chains that survive, with their ids and ranges unchanged. */
export function repairChains(input: RepairInput): Chain[] {
  return new ChainRepair(input).run();
}

class ChainRepair {
  private readonly liveServers: Map<ServerId, EngineServer>;
  private readonly spares: Map<ServerId, EngineServer>;

  constructor(private readonly input: RepairInput) {
    const sorted = [...input.servers].sort((a, b) =>
      compareIds(a.server, b.server),
    );
    const planned = new Set(
      input.chains.flatMap(chain => chain.stages.map(stage => stage.server)),
    );
    this.liveServers = new Map(sorted.map(server => [server.server, server]));
    this.spares = new Map(
      [...this.liveServers].filter(([server]) => !planned.has(server)),
    );
  }

  /**
   * Repairs the broken chains with the fewest lost stages first, because they
   * need the fewest servers. The ones with the most lost stages are the donors:
   * their remaining servers repair other chains.
   */
  run(): Chain[] {
    const {model} = this.input;
    const broken: Chain[] = [];
    const result: Chain[] = [];
    for (const chain of this.input.chains) {
      if (!coversModel(chain.stages, model)) broken.push(chain);
      else if (this.countLost(chain) > 0) broken.push(chain);
      else result.push(this.replaceSlowStage(this.refreshAddresses(chain)));
    }
    broken.sort(
      (a, b) =>
        this.countLost(a) - this.countLost(b) || compareIds(a.chain, b.chain),
    );
    while (broken.length > 0) {
      const chain = broken.shift()!;
      const repaired =
        coversModel(chain.stages, model) && this.repair(chain, broken);
      if (repaired) result.push(repaired);
      else this.dissolve(chain);
    }
    return result.sort((a, b) => compareIds(a.chain, b.chain));
  }

  private countLost(chain: Chain): number {
    return chain.stages.filter(stage => !this.liveServers.has(stage.server))
      .length;
  }

  /** Updates server addresses, which change with a restart. */
  private refreshAddresses(chain: Chain): Chain {
    const {modelVersion} = this.input.model;
    const stages = chain.stages.map(stage => {
      const server = this.liveServers.get(stage.server);
      return server ? toStage(server, stage) : stage;
    });
    return {...chain, modelVersion, stages};
  }

  /**
   * Makes the live servers of a chain spares. They hold the ranges of the
   * previous plan, which later repairs of the same run can use.
   */
  private dissolve(chain: Chain): void {
    for (const stage of chain.stages) {
      const server = this.liveServers.get(stage.server);
      if (server) this.spares.set(server.server, withRange(server, stage));
    }
  }

  private repair(chain: Chain, donors: Chain[]): Chain | undefined {
    const refreshed = this.refreshAddresses(chain);
    const replacements: {server: EngineServer; donor?: Chain}[] = [];
    const usedServers = new Set<ServerId>();
    const stages: ChainStage[] = [...refreshed.stages];
    for (const [index, stage] of stages.entries()) {
      if (this.liveServers.has(stage.server)) continue;
      const found = this.findServerFor(stages, index, donors, usedServers);
      if (!found) return undefined;
      replacements.push(found);
      usedServers.add(found.server.server);
      stages[index] = toStage(found.server, stage);
    }
    for (const {server, donor} of replacements) {
      this.spares.delete(server.server);
      if (donor) removeStage(donors, donor, server.server);
    }
    return {...refreshed, stages};
  }

  /**
   * Prefers a spare that holds the range, then a server of a donor chain, then
   * an empty server, because loading weights is rate-limited.
   */
  private findServerFor(
    stages: readonly ChainStage[],
    index: number,
    donors: readonly Chain[],
    taken: ReadonlySet<ServerId>,
  ): {server: EngineServer; donor?: Chain} | undefined {
    const range = stages[index];
    const spares = [...this.spares.values()].filter(
      spare => !taken.has(spare.server),
    );
    const holders = spares.filter(spare => holds(spare, range));
    const holder = this.pickNearest(holders, stages, index);
    if (holder) return {server: holder};
    const donated = this.findDonor(range, donors, taken);
    if (donated) return donated;
    const empty = this.filterEmpty(spares, range);
    const loader = this.pickNearest(empty, stages, index);
    return loader && {server: loader};
  }

  /** Searches the donors, most lost stages first, for a holder of the range. */
  private findDonor(
    range: LayerRange,
    donors: readonly Chain[],
    taken: ReadonlySet<ServerId>,
  ): {server: EngineServer; donor: Chain} | undefined {
    for (const donor of [...donors].reverse()) {
      const stage = donor.stages.find(s => rangeKey(s) === rangeKey(range));
      const server = stage && this.liveServers.get(stage.server);
      if (server && !taken.has(server.server)) return {server, donor};
    }
    return undefined;
  }

  /** Candidate with the lowest stage time plus time of the links around it. */
  private pickNearest(
    candidates: readonly EngineServer[],
    stages: readonly ChainStage[],
    index: number,
  ): EngineServer | undefined {
    const before = this.liveServers.get(stages[index - 1]?.server);
    const after = this.liveServers.get(stages[index + 1]?.server);
    const {linkTimeMs} = this.input;
    const count = stages[index].endLayer - stages[index].firstLayer;
    const costMs = (server: EngineServer) =>
      count * server.engine.layerMs +
      (before ? linkTimeMs(before, server) : 0) +
      (after ? linkTimeMs(server, after) : 0);
    return candidates.reduce<EngineServer | undefined>(
      (best, next) => (!best || costMs(next) < costMs(best) ? next : best),
      undefined,
    );
  }

  /**
   * Replaces the slowest stage if it exceeds the other stages and a spare by
   * `minSlowdownToReplace`. Otherwise a chain that was repaired with a slow
   * server would stay slow, and the throughput would fall as servers come and
   * go.
   */
  private replaceSlowStage(chain: Chain): Chain {
    const timesMs = chain.stages.map(stage => this.stageMs(stage));
    const slowestMs = Math.max(...timesMs);
    const index = timesMs.indexOf(slowestMs);
    const othersMs = Math.max(0, ...timesMs.filter((_, i) => i !== index));
    const {minSlowdownToReplace} = this.input.options;
    if (othersMs * minSlowdownToReplace > slowestMs) return chain;
    const stage = chain.stages[index];
    const count = stage.endLayer - stage.firstLayer;
    const fast = [...this.spares.values()].filter(
      spare =>
        this.mayTake(chain, spare) &&
        count * spare.engine.layerMs * minSlowdownToReplace <= slowestMs,
    );
    const spare = this.pickSpare(fast, chain.stages, index);
    if (!spare) return chain;
    this.spares.delete(spare.server);
    const slow = this.liveServers.get(stage.server)!;
    this.spares.set(slow.server, withRange(slow, stage));
    const stages = [...chain.stages];
    stages[index] = toStage(spare, stage);
    return {...chain, stages};
  }

  private mayTake({chain}: Chain, {server}: EngineServer): boolean {
    const {unharmed} = this.input;
    if (!unharmed?.chains.has(chain)) return true;
    return !unharmed.releasedServers.has(server);
  }

  /** A holder of the range, otherwise an empty server with enough memory. */
  private pickSpare(
    spares: readonly EngineServer[],
    stages: readonly ChainStage[],
    index: number,
  ): EngineServer | undefined {
    const holders = spares.filter(spare => holds(spare, stages[index]));
    const holder = this.pickNearest(holders, stages, index);
    return (
      holder ??
      this.pickNearest(this.filterEmpty(spares, stages[index]), stages, index)
    );
  }

  private filterEmpty(
    spares: readonly EngineServer[],
    {firstLayer, endLayer}: LayerRange,
  ): EngineServer[] {
    const {model} = this.input;
    return spares.filter(
      spare =>
        !holdsLayers(spare) && maxLayers(spare, model) >= endLayer - firstLayer,
    );
  }

  private layerMs(stage: ChainStage): number {
    return this.liveServers.get(stage.server)?.engine.layerMs ?? 0;
  }

  private stageMs(stage: ChainStage): number {
    return (stage.endLayer - stage.firstLayer) * this.layerMs(stage);
  }
}

/** Whether the stages end at the last layer of the model. */
export function coversModel(
  stages: readonly ChainStage[],
  {layers}: PlacementModel,
): boolean {
  return stages.at(-1)?.endLayer === layers;
}

function holds(server: EngineServer, range: LayerRange): boolean {
  return holdsLayers(server) && rangeKey(server.engine) === rangeKey(range);
}

/** Returns the server with its engine holding the given range. */
export function withRange(
  server: EngineServer,
  {firstLayer, endLayer}: LayerRange,
): EngineServer {
  return {...server, engine: {...server.engine, firstLayer, endLayer}};
}

function removeStage(donors: Chain[], donor: Chain, server: ServerId): void {
  const index = donors.indexOf(donor);
  const lost = donor.stages.map(stage =>
    stage.server === server ? {...stage, server: '' as ServerId} : stage,
  );
  donors[index] = {...donor, stages: lost};
}
