/** Chooses chains and replacements from the plan and what peers report. */
import {
  LoadView,
  MembershipView,
  PrefixIndex,
  RETRY_RULES,
  RetryBudget,
  chooseChain,
  chooseSubset,
  decideRetry,
  findReplacement,
  prefixHashes,
  rankIndex,
  withStage,
  type Chain,
  type LoadReport,
  type ModelId,
  type PeerAddress,
  type Plan,
  type PlanVersion,
  type RanState,
  type RetryReason,
  type ServerId,
} from '@azurecrank/core';
import {
  GenerationPolicy,
  type GenerationRequest,
} from '../generation/generation_types.js';

export interface ChainRouterOptions {
  readonly node: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly chainSubsetSize: number;
  readonly plan: () => Plan;
}

const CHARS_PER_TOKEN = 4;
const SAME_ZONE_MS = 0.05;
const OTHER_ZONE_MS = 0.25;

export class ChainRouter extends GenerationPolicy {
  readonly membership = new MembershipView();
  private readonly load = new LoadView();
  private readonly prefixes = new PrefixIndex();
  private readonly budget = new RetryBudget(performance.now());
  private readonly subsets = new Map<ModelId, Chain[]>();
  private servers = new Map<PeerAddress, ServerId>();
  private planVersion: PlanVersion | undefined;

  constructor(private readonly options: ChainRouterOptions) {
    super();
  }

  /** Heads whose load this process follows. */
  headAddresses(): PeerAddress[] {
    this.refresh();
    const chains = [...this.subsets.values()].flat();
    return chains.map(({stages}) => stages[0].address);
  }

  /** Every server of the plan, by peer address. */
  serverAt(address: PeerAddress): ServerId | undefined {
    this.refresh();
    return this.servers.get(address);
  }

  addressOf(server: ServerId): PeerAddress | undefined {
    this.refresh();
    const found = [...this.servers].find(
      ([, candidate]) => candidate === server,
    );
    return found?.[0];
  }

  /**
   * Servers of the plan that could not be reached last time or have left:
   * only the greeting of their next run shows that they are back.
   */
  absentAddresses(): PeerAddress[] {
    this.refresh();
    const absent = new Set(['down', 'notice']);
    return [...this.servers]
      .filter(([, server]) =>
        absent.has(this.membership.ineligibility(server) ?? ''),
      )
      .map(([address]) => address);
  }

  takeReport(report: LoadReport): void {
    const nowMs = performance.now();
    this.load.reported(report, nowMs);
    this.prefixes.applyReport(report.server, report.prefixes, nowMs);
  }

  override chooseChain(
    request: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    this.refresh();
    const nowMs = performance.now();
    const hashes = prefixHashes(request.prompt);
    const rank = rankIndex(request.rank);
    const choice = chooseChain(
      {
        chains: this.usableChains(request.model),
        rankIndex: rank,
        hashes,
        excluded,
        nowMs,
        random: [Math.random(), Math.random()],
      },
      {
        load: this.load,
        prefixes: this.prefixes,
        linkMs: chain => this.linkMs(chain),
      },
    );
    if (!choice) return undefined;
    const head = choice.chain.stages[0].server;
    this.load.sent(head, rank, costTokens(request), nowMs);
    this.prefixes.noteSent(head, hashes, nowMs);
    return choice.chain;
  }

  override replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    const unusable = this.unusableServers();
    const all = new Set([...excluded, ...unusable]);
    const plan = this.options.plan();
    const found = findReplacement(plan, [], chain, stage, all);
    return found && withStage(chain, stage, found);
  }

  override allowRetry(
    reason: RetryReason,
    ran: RanState,
    retriesForReason: number,
    remainingMs: number,
  ): boolean {
    const nowMs = performance.now();
    // Model steps are safe to repeat: stages answer duplicates from their log.
    const safeToRepeat = true;
    const decision = decideRetry(
      {reason, ran, safeToRepeat, retriesForReason, remainingMs, nowMs},
      this.budget,
    );
    return decision.kind === 'retry';
  }

  /** Takes a retry whose other conditions the caller has checked. */
  takeRetry(reason: RetryReason): boolean {
    if (!RETRY_RULES[reason].costsBudget) return true;
    return this.budget.take(performance.now());
  }

  override recordSuccess(): void {
    this.budget.succeeded(performance.now());
  }

  override noteLeaving(server: ServerId): void {
    this.membership.noteLeaving(server);
  }

  override noteLost(server: ServerId): void {
    this.membership.noteDown(server);
  }

  override withUsableStages(chain: Chain): Chain {
    return chain.stages.reduce((current, {server}, index) => {
      if (index === 0 || this.membership.mayGetNewWork(server)) return current;
      return this.replaceStage(current, index, new Set()) ?? current;
    }, chain);
  }

  /**
   * Falls back to the whole plan when nothing in the subset is usable, and to
   * chains with replaced stages when every chain of the plan has lost one.
   */
  private usableChains(model: ModelId): Chain[] {
    const subset = this.subsets.get(model) ?? [];
    const usable = subset.filter(chain => this.isUsable(chain));
    if (usable.length > 0) return usable;
    const all = this.options.plan().chains.filter(c => c.model === model);
    const whole = all.filter(chain => this.isUsable(chain));
    if (whole.length > 0) return whole;
    return all
      .map(chain => this.withUsableStages(chain))
      .filter(chain => this.isUsable(chain));
  }

  private isUsable({stages}: Chain): boolean {
    return stages.every(({server}) => this.membership.mayGetNewWork(server));
  }

  private unusableServers(): ServerId[] {
    this.refresh();
    return [...this.servers.values()].filter(
      server => !this.membership.mayGetNewWork(server),
    );
  }

  private linkMs({stages}: Chain): number {
    const zones = stages.map(({availabilityZone}) => availabilityZone);
    const hops = [this.options.availabilityZone, ...zones];
    return zones.reduce(
      (sumMs, zone, index) =>
        sumMs + (zone === hops[index] ? SAME_ZONE_MS : OTHER_ZONE_MS),
      0,
    );
  }

  private refresh(): void {
    const plan = this.options.plan();
    if (plan.version === this.planVersion) return;
    this.planVersion = plan.version;
    this.servers = new Map(
      [
        ...plan.chains.flatMap(({stages}) => stages),
        ...Object.values(plan.services).flat(),
      ].map(({address, server}) => [address, server]),
    );
    this.subsets.clear();
    for (const model of new Set(plan.chains.map(chain => chain.model))) {
      const chains = plan.chains.filter(chain => chain.model === model);
      const {region, chainSubsetSize} = this.options;
      const subset = chooseSubset(
        chains,
        this.options,
        () => region,
        chainSubsetSize,
      );
      this.subsets.set(model, subset);
    }
  }
}

function costTokens({prompt, maxTokens}: GenerationRequest): number {
  return prompt.length / CHARS_PER_TOKEN + maxTokens;
}
