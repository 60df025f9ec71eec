/**
 * Chooses the chain of each model request, and replacements for lost stages,
 * from the plan, the load reports and the membership that this process knows.
 */
import {
  LoadView,
  MembershipView,
  PrefixIndex,
  RETRY_RULES,
  RetryBudget,
  chooseChain,
  chooseChainSubset,
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
  type ExecutionState,
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

/** Estimates the tokens of a prompt that is not tokenized yet. */
const CHARS_PER_TOKEN = 4;

/** One-way latency of a hop within and between availability zones. */
const SAME_ZONE_LATENCY_MS = 0.05;
const CROSS_ZONE_LATENCY_MS = 0.25;

export class ChainRouter extends GenerationPolicy {
  readonly membership = new MembershipView();
  private readonly loadView = new LoadView();
  private readonly prefixIndex = new PrefixIndex();
  private readonly retryBudget = new RetryBudget(performance.now());
  private readonly chainSubsets = new Map<ModelId, Chain[]>();
  private serversByAddress = new Map<PeerAddress, ServerId>();
  private appliedPlanVersion: PlanVersion | undefined;

  constructor(private readonly options: ChainRouterOptions) {
    super();
  }

  /** Addresses of the first servers of the chains in use; they report load. */
  headServerAddresses(): PeerAddress[] {
    this.refreshFromPlan();
    const chains = [...this.chainSubsets.values()].flat();
    return chains.map(({stages}) => stages[0].address);
  }

  /** Returns the server of the plan that listens on this peer address. */
  findServerByAddress(address: PeerAddress): ServerId | undefined {
    this.refreshFromPlan();
    return this.serversByAddress.get(address);
  }

  findAddress(server: ServerId): PeerAddress | undefined {
    this.refreshFromPlan();
    const found = [...this.serversByAddress].find(
      ([, candidate]) => candidate === server,
    );
    return found?.[0];
  }

  /**
   * Addresses of the plan's servers that were unreachable at the last attempt
   * or have announced that they leave. Only the hello message of their next
   * run shows that they are back, so a connection to them is kept up.
   */
  addressesToReconnect(): PeerAddress[] {
    this.refreshFromPlan();
    const absentReasons = new Set(['down', 'notice']);
    return [...this.serversByAddress]
      .filter(([, server]) =>
        absentReasons.has(this.membership.ineligibilityReason(server) ?? ''),
      )
      .map(([address]) => address);
  }

  applyLoadReport(report: LoadReport): void {
    const nowMs = performance.now();
    this.loadView.applyReport(report, nowMs);
    this.prefixIndex.applyReport(report.server, report.prefixes, nowMs);
  }

  override chooseChain(
    request: GenerationRequest,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    this.refreshFromPlan();
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
        load: this.loadView,
        prefixes: this.prefixIndex,
        linkMs: chain => this.pathLatencyMs(chain),
      },
    );
    if (!choice) return undefined;
    const head = choice.chain.stages[0].server;
    this.loadView.recordSent(head, rank, estimateCostTokens(request), nowMs);
    this.prefixIndex.recordSent(head, hashes, nowMs);
    return choice.chain;
  }

  override replaceStage(
    chain: Chain,
    stage: number,
    excluded: ReadonlySet<ServerId>,
  ): Chain | undefined {
    const unusable = this.unusableServers();
    const allExcluded = new Set([...excluded, ...unusable]);
    const plan = this.options.plan();
    const found = findReplacement(plan, [], chain, stage, allExcluded);
    return found && withStage(chain, stage, found);
  }

  override allowRetry(
    reason: RetryReason,
    ran: ExecutionState,
    retriesForReason: number,
    remainingMs: number,
  ): boolean {
    const nowMs = performance.now();
    // Model steps are safe to repeat: a stage answers a duplicate from its
    // activation log.
    const safeToRepeat = true;
    const decision = decideRetry(
      {reason, ran, safeToRepeat, retriesForReason, remainingMs, nowMs},
      this.retryBudget,
    );
    return decision.kind === 'retry';
  }

  /**
   * Charges the retry budget if the reason costs budget; returns false if the
   * budget is used up. The caller checks all other conditions.
   */
  acquireRetry(reason: RetryReason): boolean {
    if (!RETRY_RULES[reason].usesBudget) return true;
    return this.retryBudget.tryAcquire(performance.now());
  }

  override recordSuccess(): void {
    this.retryBudget.recordSuccess(performance.now());
  }

  override recordLeaving(server: ServerId): void {
    this.membership.recordLeaving(server);
  }

  override recordDown(server: ServerId): void {
    this.membership.markDown(server);
  }

  override replaceUnusable(chain: Chain): Chain {
    return chain.stages.reduce((current, {server}, index) => {
      if (index === 0 || this.membership.isEligible(server)) return current;
      return this.replaceStage(current, index, new Set()) ?? current;
    }, chain);
  }

  /**
   * Returns the usable chains of this process's subset. If there are none,
   * returns those of the whole plan, and if every chain of the plan has lost a
   * stage, the chains that are usable after replacing it.
   */
  private usableChains(model: ModelId): Chain[] {
    const subset = this.chainSubsets.get(model) ?? [];
    const usable = subset.filter(chain => this.isUsable(chain));
    if (usable.length > 0) return usable;
    const planned = this.options.plan().chains.filter(c => c.model === model);
    const usablePlanned = planned.filter(chain => this.isUsable(chain));
    if (usablePlanned.length > 0) return usablePlanned;
    return planned
      .map(chain => this.replaceUnusable(chain))
      .filter(chain => this.isUsable(chain));
  }

  private isUsable({stages}: Chain): boolean {
    return stages.every(({server}) => this.membership.isEligible(server));
  }

  private unusableServers(): ServerId[] {
    this.refreshFromPlan();
    return [...this.serversByAddress.values()].filter(
      server => !this.membership.isEligible(server),
    );
  }

  /** Sum of the hop latencies from this process through all stages. */
  private pathLatencyMs({stages}: Chain): number {
    const zones = stages.map(({availabilityZone}) => availabilityZone);
    const previousZones = [this.options.availabilityZone, ...zones];
    return zones.reduce(
      (sumMs, zone, index) =>
        sumMs +
        (zone === previousZones[index]
          ? SAME_ZONE_LATENCY_MS
          : CROSS_ZONE_LATENCY_MS),
      0,
    );
  }

  /** Rebuilds what is derived from the plan if its version has changed. */
  private refreshFromPlan(): void {
    const plan = this.options.plan();
    if (plan.version === this.appliedPlanVersion) return;
    this.appliedPlanVersion = plan.version;
    this.serversByAddress = new Map(
      [
        ...plan.chains.flatMap(({stages}) => stages),
        ...Object.values(plan.services).flat(),
      ].map(({address, server}) => [address, server]),
    );
    this.chainSubsets.clear();
    for (const model of new Set(plan.chains.map(chain => chain.model))) {
      const chains = plan.chains.filter(chain => chain.model === model);
      const {region, chainSubsetSize} = this.options;
      const subset = chooseChainSubset(
        chains,
        this.options,
        () => region,
        chainSubsetSize,
      );
      this.chainSubsets.set(model, subset);
    }
  }
}

/** Prompt tokens, estimated from the text, plus the maximum output. */
function estimateCostTokens({prompt, maxTokens}: GenerationRequest): number {
  return prompt.length / CHARS_PER_TOKEN + maxTokens;
}
