/**
 * One model request, driven by the entry that accepted it: the entry owns the
 * tokens, the attempt and the chain, and sends one step for each token.
 */
import {
  Chart,
  ChartRunner,
  FIRST_ATTEMPT,
  loadChartDefinition,
  nextAttempt,
  refuse,
  withStage,
  type AttemptId,
  type Chain,
  type ChartEvent,
  type Gap,
  type Granted,
  type Imported,
  type Message,
  type Open,
  type PeerAddress,
  type RanState,
  type Refusal,
  type Refused,
  type RetryReason,
  type ServerId,
  type StageFailed,
  type TokenMessage,
} from '@azurecrank/core';
import type {
  GenerationDependencies,
  GenerationRequest,
  GenerationSink,
} from './generation_types.js';

const REQUEST_CHART = new Chart<object, ChartEvent>(
  loadChartDefinition('request'),
);

/** Pause before a preempted or interrupted stream asks for a slot again. */
const REOPEN_DELAY_MS = 250;

/**
 * Mean pause of a recovery that the retry budget does not allow yet: the
 * budget spreads the recoveries after a large loss and ends no stream.
 */
const RECOVERY_DELAY_MS = 200;

/** A token that takes longer may have been lost on its way. */
const STEP_RESEND_MS = 1000;

/**
 * Reasons by which the server has not run this attempt, whatever ran before
 * elsewhere: a stream that goes on may be refused by a leaving server.
 */
const NOT_RUN_THERE: ReadonlySet<RetryReason> = new Set<RetryReason>([
  'server_leaving',
  'refused_elsewhere',
  'connect_failed',
]);

const ENDED = new Set(['complete', 'refused', 'failed', 'cancelled']);

/** Pause before a request without a chain looks for one again. */
const NO_CHAIN_RETRY_MS = 200;

export class Generation implements Disposable {
  private readonly runner = new ChartRunner<object, ChartEvent>(
    REQUEST_CHART,
    {},
  );
  private readonly excluded = new Set<ServerId>();
  private readonly retries = new Map<RetryReason, number>();
  private readonly generated: number[] = [];
  private hasSentStep = false;
  private promptTokens: readonly number[] = [];
  private attempt: AttemptId = FIRST_ATTEMPT;
  /** Attempt of the last grant: caches from before it are not used. */
  private cacheSince: AttemptId = FIRST_ATTEMPT;
  private chain: Chain | undefined;
  private timer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private resendTimer: NodeJS.Timeout | undefined;
  private readonly startMs = performance.now();

  constructor(
    readonly spec: GenerationRequest,
    private readonly sink: GenerationSink,
    private readonly deps: GenerationDependencies,
  ) {}

  get isEnded(): boolean {
    return ENDED.has(this.runner.state);
  }

  /** Servers that work on this request now. */
  get currentChain(): Chain | undefined {
    return this.chain;
  }

  start(): void {
    const leftMs = this.spec.deadlineAtMs - performance.now();
    this.timer = setTimeout(() => this.failByDeadline(), leftMs);
    this.open();
  }

  /** Stops the work because the caller has gone. */
  cancel(): void {
    if (!this.runner.send({type: 'caller_left'})) return;
    const {request} = this.spec;
    const head = this.chain?.stages[0];
    if (head) {
      const {attempt} = this;
      this.deps.transport.send(head.address, {
        type: 'cancel',
        request,
        attempt,
      });
    }
    this.finish();
  }

  receive(message: Message): void {
    if (this.isEnded) return;
    switch (message.type) {
      case 'granted':
        return this.onGranted(message);
      case 'refused':
        return this.onRefused(message);
      case 'token':
        return this.onToken(message);
      case 'gap':
        return this.onGap(message);
      case 'stage_failed':
        return this.onStageFailed(message);
      case 'replay_refused':
        if (message.attempt === this.attempt) this.rerunFromStart('stage_lost');
        return;
      case 'imported':
        return this.onImported(message);
      case 'preempt':
        if (message.attempt === this.attempt) this.onPreempted();
        return;
      default:
        return;
    }
  }

  /** The server of the head cannot be reached. */
  onHeadDown(address: PeerAddress): void {
    if (this.isEnded || this.chain?.stages[0].address !== address) return;
    if (this.runner.state === 'routing') return;
    if (this.runner.state === 'queued') {
      this.openElsewhere('connect_failed');
    } else {
      this.recover(0, 'stage_lost');
    }
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    clearTimeout(this.retryTimer);
    clearTimeout(this.resendTimer);
  }

  private open(): void {
    // A timer of an earlier wait may fire after the request has gone on.
    if (this.runner.state !== 'routing') return;
    const chain = this.deps.policy.chooseChain(this.spec, this.excluded);
    if (!chain) return this.waitForChain();
    this.chain = chain;
    this.runner.send({type: 'open_sent'});
    this.sendToHead(this.openMessage(chain));
  }

  /** Chains come back when servers do, so the request waits if it has time. */
  private waitForChain(): void {
    const leftMs = this.spec.firstTokenDeadlineAtMs - performance.now();
    const canWait = leftMs > NO_CHAIN_RETRY_MS || this.generated.length > 0;
    if (!canWait) {
      const options = {ran: this.ranState()};
      return this.fail(refuse('no_chain', 'route', options));
    }
    this.excluded.clear();
    this.retryTimer = setTimeout(() => this.open(), NO_CHAIN_RETRY_MS);
  }

  private openMessage(chain: Chain): Open {
    const {deadlineAtMs, firstTokenDeadlineAtMs, ...rest} = this.spec;
    const nowMs = performance.now();
    const hasStarted = this.generated.length > 0;
    const firstTokenAtMs = hasStarted ? deadlineAtMs : firstTokenDeadlineAtMs;
    return {
      type: 'open',
      ...rest,
      attempt: this.attempt,
      generatedTokens: this.generated,
      deadlineMs: Math.max(0, deadlineAtMs - nowMs),
      firstTokenDeadlineMs: Math.max(0, firstTokenAtMs - nowMs),
      chain,
      entry: this.deps.transport.address,
    };
  }

  private onGranted(message: Granted): void {
    if (message.attempt !== this.attempt) return;
    if (!this.runner.send({type: 'granted'})) return;
    this.observe('azurecrank_queue_ms');
    this.promptTokens = message.promptTokens;
    this.cacheSince = this.attempt;
    // Servers may have gone while the request waited; no cache exists yet.
    if (this.chain) this.chain = this.deps.policy.withUsableStages(this.chain);
    this.sendTokensFrom(0);
  }

  private onRefused(message: Refused): void {
    if (message.attempt !== this.attempt) return;
    if (this.runner.state !== 'queued') return;
    const head = this.chain?.stages[0];
    if (head) this.settle(head.address);
    if (message.reason === 'leaving') {
      if (head) this.deps.policy.noteLeaving(head.server);
      return this.openElsewhere('server_leaving');
    }
    if (this.generated.length > 0) return this.openLater();
    const isElsewhere =
      message.reason === 'queue_full' ||
      message.reason === 'workspace_queue_full' ||
      message.reason === 'starting';
    if (isElsewhere && this.excluded.size === 0) {
      return this.openElsewhere('refused_elsewhere');
    }
    const {reason, step, peer, detail, retryAfterMs} = message;
    const ran = this.ranState();
    this.fail(refuse(reason, step, {ran, peer, detail, retryAfterMs}));
  }

  private onToken(message: TokenMessage): void {
    const awaited = this.awaitedPosition;
    const isAwaited =
      message.attempt === this.attempt &&
      message.position === awaited &&
      this.runner.state === 'generating';
    if (!isAwaited) {
      return this.deps.metrics.increment('azurecrank_tokens_dropped_total');
    }
    if (this.generated.length === 0) this.observe('azurecrank_first_token_ms');
    const head = this.chain?.stages[0];
    if (head) this.settle(head.address);
    this.generated.push(message.token);
    this.retries.clear();
    this.sink.onToken(message.text);
    const isFull = this.generated.length >= this.spec.maxTokens;
    if (message.finished || isFull) {
      return this.complete(message.finished ? 'stop' : 'length');
    }
    this.runner.send({type: 'token'});
    this.sendTokensFrom(awaited + 1);
  }

  /** A stage is behind: its predecessor sends the missing positions again. */
  private onGap(message: Gap): void {
    if (message.attempt !== this.attempt) return;
    this.requestReplay(message.stage, message.nextPosition);
  }

  private onStageFailed(message: StageFailed): void {
    if (message.attempt !== this.attempt) return;
    const lost = this.chain?.stages[message.stage];
    const {policy} = this.deps;
    if (lost && message.reason === 'leaving') policy.noteLeaving(lost.server);
    if (lost && message.reason === 'stage_lost') policy.noteLost(lost.server);
    this.recover(message.stage, retryReasonOf(message));
  }

  /** A leaving stage has moved the cache; nothing has to run again. */
  private onImported(message: Imported): void {
    const {chain} = this;
    const left = chain?.stages[message.stage];
    if (!chain || !left || message.attempt !== this.attempt) return;
    if (this.runner.state !== 'generating') return;
    const {server, address} = message;
    const {request} = this.spec;
    const {attempt} = this;
    this.settle(chain.stages[0].address);
    this.deps.transport.send(left.address, {type: 'release', request, attempt});
    this.deps.metrics.increment('azurecrank_stages_moved_total');
    const moved = {...left, server, address};
    this.adoptChain(withStage(chain, message.stage, moved));
    this.sendTokensFrom(this.awaitedPosition);
  }

  private onPreempted(): void {
    if (!this.runner.send({type: 'preempted'})) return;
    this.countRetry('preempted');
    this.releaseChain();
    this.attempt = nextAttempt(this.attempt);
    this.retryTimer = setTimeout(() => this.open(), REOPEN_DELAY_MS);
  }

  /** Replaces one stage; the others keep their caches. */
  private recover(stage: number, reason: RetryReason): void {
    const lost = this.chain?.stages[stage];
    if (!this.chain || !lost) return;
    if (!this.runner.send({type: 'stage_lost'})) return;
    this.excluded.add(lost.server);
    if (!this.mayRetry(reason)) {
      const delayMs = RECOVERY_DELAY_MS * (0.5 + Math.random());
      this.retryTimer = setTimeout(() => this.recover(stage, reason), delayMs);
      return;
    }
    this.countRetry(reason);
    this.settle(this.chain.stages[0].address);
    if (reason !== 'stage_lost' && reason !== 'stage_silent') {
      const {attempt} = this;
      const {request} = this.spec;
      const release = {type: 'release', request, attempt} as const;
      this.deps.transport.send(lost.address, release);
    }
    const {policy} = this.deps;
    const chain = policy.replaceStage(this.chain, stage, this.excluded);
    if (!chain) return this.rerunFromStart(reason);
    this.adoptChain(chain);
    this.runner.send({type: 'rerouted'});
    this.requestReplay(stage, 0);
    // The awaited step may not have reached the stages before the lost one.
    if (stage > 0) this.sendTokensFrom(this.awaitedPosition);
  }

  /** Starts a new attempt in which the stages that remain keep their caches. */
  private adoptChain(chain: Chain): void {
    this.chain = chain;
    this.attempt = nextAttempt(this.attempt);
    const {request} = this.spec;
    const {attempt} = this;
    chain.stages.forEach(({address}, stage) => {
      const {cacheSince} = this;
      const route = {request, attempt, cacheSince, chain, stage};
      this.deps.transport.send(address, {type: 'reroute', ...route});
    });
  }

  /** Last position whose token has not arrived yet. */
  private get awaitedPosition(): number {
    return this.promptTokens.length + this.generated.length - 1;
  }

  private requestReplay(stage: number, fromPosition: number): void {
    if (!this.chain) return;
    if (stage === 0) return this.sendTokensFrom(fromPosition);
    const {request} = this.spec;
    const {attempt} = this;
    const predecessor = this.chain.stages[stage - 1];
    this.sendToHeadOr(predecessor.address, {
      type: 'replay',
      request,
      attempt,
      cacheSince: this.cacheSince,
      chain: this.chain,
      stage: stage - 1,
      fromPosition,
    });
  }

  /** Runs the prompt and the tokens so far again on any chain. */
  private rerunFromStart(reason: RetryReason): void {
    this.countRetry(reason);
    this.releaseChain();
    this.attempt = nextAttempt(this.attempt);
    if (this.runner.state === 'generating') {
      this.runner.send({type: 'stage_lost'});
    }
    this.runner.send({type: 'try_elsewhere'});
    this.open();
  }

  /** A stream that has begun is not given up while its deadline allows. */
  private openLater(): void {
    this.attempt = nextAttempt(this.attempt);
    this.runner.send({type: 'try_elsewhere'});
    this.retryTimer = setTimeout(() => this.open(), REOPEN_DELAY_MS);
  }

  private openElsewhere(reason: RetryReason): void {
    const head = this.chain?.stages[0];
    if (head) this.excluded.add(head.server);
    if (!this.mayRetry(reason)) {
      return this.fail(refuse('retry_budget_exhausted', 'route'));
    }
    this.countRetry(reason);
    this.attempt = nextAttempt(this.attempt);
    this.runner.send({type: 'try_elsewhere'});
    this.open();
  }

  private sendTokensFrom(position: number): void {
    const {chain} = this;
    if (!chain) return;
    clearTimeout(this.resendTimer);
    this.resendTimer = setTimeout(
      () => this.resendStep(position),
      STEP_RESEND_MS,
    );
    this.hasSentStep = true;
    const all = [...this.promptTokens, ...this.generated];
    this.sendToHead({
      type: 'step',
      request: this.spec.request,
      attempt: this.attempt,
      position,
      tokens: all.slice(position),
      rank: this.spec.rank,
      entry: this.deps.transport.address,
      cacheSince: this.cacheSince,
      chain,
      stage: 0,
    });
  }

  /** A stage that has run the step answers from its log. */
  private resendStep(position: number): void {
    if (this.runner.state !== 'generating') return;
    this.deps.metrics.increment('azurecrank_steps_resent_total');
    this.sendTokensFrom(position);
  }

  private sendToHead(message: Message): void {
    const head = this.chain?.stages[0];
    if (head) this.sendToHeadOr(head.address, message);
  }

  private sendToHeadOr(address: PeerAddress, message: Message): void {
    this.deps.transport.sendRepeatable(address, this.spec.request, message);
  }

  private settle(address: PeerAddress): void {
    this.deps.transport.settle(address, this.spec.request);
  }

  private complete(finish: 'stop' | 'length'): void {
    this.runner.send({type: 'last_token'});
    this.deps.policy.recordSuccess();
    this.finish();
    this.sink.onEnd(finish, this.promptTokens.length);
  }

  private failByDeadline(): void {
    const step = this.hasSentStep ? 'decode' : 'queue';
    this.fail(refuse('deadline_exceeded', step, {ran: this.ranState()}));
  }

  private fail(refusal: Refusal): void {
    if (this.isEnded) return;
    this.runner.send({type: 'refused'});
    this.finish();
    this.sink.onRefused(refusal);
  }

  private finish(): void {
    this.releaseChain();
    this[Symbol.dispose]();
  }

  private releaseChain(): void {
    const {request} = this.spec;
    const {attempt} = this;
    for (const {address} of this.chain?.stages ?? []) {
      this.settle(address);
      this.deps.transport.send(address, {type: 'release', request, attempt});
    }
    this.chain = undefined;
  }

  /** No engine works on a request before this entry has sent a step. */
  private ranState(): RanState {
    if (!this.hasSentStep) return 'not_run';
    return this.generated.length > 0 ? 'ran' : 'unknown';
  }

  private mayRetry(reason: RetryReason): boolean {
    const ran = NOT_RUN_THERE.has(reason) ? 'not_run' : this.ranState();
    return this.deps.policy.allowRetry(
      reason,
      ran,
      this.retries.get(reason) ?? 0,
      this.spec.deadlineAtMs - performance.now(),
    );
  }

  private countRetry(reason: RetryReason): void {
    this.retries.set(reason, (this.retries.get(reason) ?? 0) + 1);
    this.deps.metrics.increment('azurecrank_retries_total', {reason});
    const {request, workspace, rank} = this.spec;
    const fields = {request, workspace, rank, step: 'recover', reason};
    this.deps.logger.info('retry', fields);
  }

  private observe(name: string): void {
    const elapsedMs = performance.now() - this.startMs;
    this.deps.metrics.observeMs(name, elapsedMs, {rank: this.spec.rank});
  }
}

function retryReasonOf({reason}: StageFailed): RetryReason {
  return reason === 'leaving' ? 'server_leaving' : reason;
}
