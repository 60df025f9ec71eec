/**
 * Drives one model request through a chain. The entry process that accepted
 * the request keeps its tokens, attempt number and chain, sends one step
 * message per token to the head (the server of the chain's first stage), and
 * recovers the request when a stage is lost.
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
  type ExecutionState,
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

/** Delay before a preempted or interrupted stream requests a slot again. */
const REOPEN_DELAY_MS = 250;

/**
 * Mean delay before a recovery that the retry budget has denied is tried
 * again. The budget spreads the recoveries after the loss of many servers over
 * time; a denied recovery does not end the stream.
 */
const MEAN_RECOVERY_DELAY_MS = 200;

/** Random delays lie between 0.5 and 1.5 times their mean. */
const MIN_DELAY_FACTOR = 0.5;

/** The step or its token may have been lost on the way after this time. */
const STEP_RESEND_TIMEOUT_MS = 1000;

/**
 * Retry reasons that prove that the server has not run this attempt, even if
 * earlier attempts ran on other servers. A stream that continues after its
 * first token may, for example, be refused by a leaving server.
 */
const NOT_RUN_REASONS: ReadonlySet<RetryReason> = new Set<RetryReason>([
  'server_leaving',
  'refused_elsewhere',
  'connect_failed',
]);

const END_STATES = new Set(['complete', 'refused', 'failed', 'cancelled']);

/** Interval at which a request without a usable chain looks for one. */
const NO_CHAIN_RETRY_INTERVAL_MS = 200;

export class Generation implements Disposable {
  private readonly runner = new ChartRunner<object, ChartEvent>(
    REQUEST_CHART,
    {},
  );
  private readonly excludedServers = new Set<ServerId>();
  private readonly retryCounts = new Map<RetryReason, number>();
  /** Tokens generated so far, in all attempts. */
  private readonly generated: number[] = [];
  private hasSentStep = false;
  private promptTokens: readonly number[] = [];
  private attempt: AttemptId = FIRST_ATTEMPT;
  /** Attempt of the last grant; the KV-cache of earlier attempts is not used. */
  private cacheSince: AttemptId = FIRST_ATTEMPT;
  private chain: Chain | undefined;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private resendTimer: NodeJS.Timeout | undefined;
  private readonly startMs = performance.now();

  constructor(
    readonly spec: GenerationRequest,
    private readonly sink: GenerationSink,
    private readonly deps: GenerationDependencies,
  ) {}

  get isEnded(): boolean {
    return END_STATES.has(this.runner.state);
  }

  /** Chain that works on this request now. */
  get currentChain(): Chain | undefined {
    return this.chain;
  }

  start(): void {
    const remainingMs = this.spec.deadlineAtMs - performance.now();
    this.deadlineTimer = setTimeout(() => this.failAtDeadline(), remainingMs);
    this.open();
  }

  /** Stops the work because the caller has disconnected. */
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
    this.releaseAndDispose();
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

  /** Recovers if the unreachable peer is the head of this request's chain. */
  onHeadDown(address: PeerAddress): void {
    if (this.isEnded || this.chain?.stages[0].address !== address) return;
    if (this.runner.state === 'routing') return;
    if (this.runner.state === 'queued') {
      this.openOnOtherChain('connect_failed');
    } else {
      this.recoverStage(0, 'stage_lost');
    }
  }

  [Symbol.dispose](): void {
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.retryTimer);
    clearTimeout(this.resendTimer);
  }

  private open(): void {
    // The timer of an earlier wait may fire after the request has moved on.
    if (this.runner.state !== 'routing') return;
    const chain = this.deps.policy.chooseChain(this.spec, this.excludedServers);
    if (!chain) return this.waitForChain();
    this.chain = chain;
    this.runner.send({type: 'open_sent'});
    this.sendToHead(this.openMessage(chain));
  }

  /**
   * Servers, and with them chains, may return: waits for a chain while the
   * first-token deadline allows, or until the deadline if a token was sent.
   */
  private waitForChain(): void {
    const remainingMs = this.spec.firstTokenDeadlineAtMs - performance.now();
    const canWait =
      remainingMs > NO_CHAIN_RETRY_INTERVAL_MS || this.generated.length > 0;
    if (!canWait) {
      const options = {ran: this.ranState()};
      return this.fail(refuse('no_chain', 'route', options));
    }
    this.excludedServers.clear();
    this.retryTimer = setTimeout(() => this.open(), NO_CHAIN_RETRY_INTERVAL_MS);
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
    // Servers may have been lost while the request was queued. Replacing them
    // costs nothing here, because no KV-cache exists yet.
    if (this.chain) this.chain = this.deps.policy.replaceUnusable(this.chain);
    this.sendTokensFrom(0);
  }

  private onRefused(message: Refused): void {
    if (message.attempt !== this.attempt) return;
    if (this.runner.state !== 'queued') return;
    const head = this.chain?.stages[0];
    if (head) this.markAnswered(head.address);
    if (message.reason === 'leaving') {
      if (head) this.deps.policy.recordLeaving(head.server);
      return this.openOnOtherChain('server_leaving');
    }
    if (this.generated.length > 0) return this.reopenAfterDelay();
    const mayBeAcceptedElsewhere =
      message.reason === 'queue_full' ||
      message.reason === 'workspace_queue_full' ||
      message.reason === 'starting';
    if (mayBeAcceptedElsewhere && this.excludedServers.size === 0) {
      return this.openOnOtherChain('refused_elsewhere');
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
    if (head) this.markAnswered(head.address);
    this.generated.push(message.token);
    this.retryCounts.clear();
    this.sink.onToken(message.text);
    const hasAllTokens = this.generated.length >= this.spec.maxTokens;
    if (message.finished || hasAllTokens) {
      return this.complete(message.finished ? 'stop' : 'length');
    }
    this.runner.send({type: 'token'});
    this.sendTokensFrom(awaited + 1);
  }

  /** A stage lacks positions: its predecessor sends them again. */
  private onGap(message: Gap): void {
    if (message.attempt !== this.attempt) return;
    this.requestReplay(message.stage, message.nextPosition);
  }

  private onStageFailed(message: StageFailed): void {
    if (message.attempt !== this.attempt) return;
    const lost = this.chain?.stages[message.stage];
    const {policy} = this.deps;
    if (lost && message.reason === 'leaving') policy.recordLeaving(lost.server);
    if (lost && message.reason === 'stage_lost') policy.recordDown(lost.server);
    this.recoverStage(message.stage, toRetryReason(message));
  }

  /**
   * A leaving server has moved its KV-cache to another server, which takes
   * over the stage; no layer runs again.
   */
  private onImported(message: Imported): void {
    const {chain} = this;
    const previousStage = chain?.stages[message.stage];
    if (!chain || !previousStage || message.attempt !== this.attempt) return;
    if (this.runner.state !== 'generating') return;
    const {server, address} = message;
    const {request} = this.spec;
    const {attempt} = this;
    this.markAnswered(chain.stages[0].address);
    this.deps.transport.send(previousStage.address, {
      type: 'release',
      request,
      attempt,
    });
    this.deps.metrics.increment('azurecrank_stages_moved_total');
    const movedStage = {...previousStage, server, address};
    this.switchToChain(withStage(chain, message.stage, movedStage));
    this.sendTokensFrom(this.awaitedPosition);
  }

  private onPreempted(): void {
    if (!this.runner.send({type: 'preempted'})) return;
    this.recordRetry('preempted');
    this.releaseChain();
    this.attempt = nextAttempt(this.attempt);
    this.retryTimer = setTimeout(() => this.open(), REOPEN_DELAY_MS);
  }

  /**
   * Replaces the server of one stage and has the missing positions replayed
   * to it; the other stages keep their KV-cache.
   */
  private recoverStage(stage: number, reason: RetryReason): void {
    const lost = this.chain?.stages[stage];
    if (!this.chain || !lost) return;
    if (!this.runner.send({type: 'stage_lost'})) return;
    this.excludedServers.add(lost.server);
    if (!this.mayRetry(reason)) {
      const delayMs =
        MEAN_RECOVERY_DELAY_MS * (MIN_DELAY_FACTOR + Math.random());
      this.retryTimer = setTimeout(
        () => this.recoverStage(stage, reason),
        delayMs,
      );
      return;
    }
    this.recordRetry(reason);
    this.markAnswered(this.chain.stages[0].address);
    if (reason !== 'stage_lost' && reason !== 'stage_silent') {
      const {attempt} = this;
      const {request} = this.spec;
      const release = {type: 'release', request, attempt} as const;
      this.deps.transport.send(lost.address, release);
    }
    const {policy} = this.deps;
    const chain = policy.replaceStage(this.chain, stage, this.excludedServers);
    if (!chain) return this.rerunFromStart(reason);
    this.switchToChain(chain);
    this.runner.send({type: 'rerouted'});
    this.requestReplay(stage, 0);
    // The awaited step may not have reached the stages before the lost one, so
    // it is sent again.
    if (stage > 0) this.sendTokensFrom(this.awaitedPosition);
  }

  /** Starts a new attempt on the chain; remaining stages keep their KV-cache. */
  private switchToChain(chain: Chain): void {
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

  /** Last position sent, whose output token has not arrived yet. */
  private get awaitedPosition(): number {
    return this.promptTokens.length + this.generated.length - 1;
  }

  private requestReplay(stage: number, fromPosition: number): void {
    if (!this.chain) return;
    if (stage === 0) return this.sendTokensFrom(fromPosition);
    const {request} = this.spec;
    const {attempt} = this;
    const predecessor = this.chain.stages[stage - 1];
    this.sendAwaitingAnswer(predecessor.address, {
      type: 'replay',
      request,
      attempt,
      cacheSince: this.cacheSince,
      chain: this.chain,
      stage: stage - 1,
      fromPosition,
    });
  }

  /** Runs the prompt and the tokens generated so far again on any chain. */
  private rerunFromStart(reason: RetryReason): void {
    this.recordRetry(reason);
    this.releaseChain();
    this.attempt = nextAttempt(this.attempt);
    if (this.runner.state === 'generating') {
      this.runner.send({type: 'stage_lost'});
    }
    this.runner.send({type: 'try_elsewhere'});
    this.open();
  }

  /** A stream that has begun is retried until its deadline. */
  private reopenAfterDelay(): void {
    this.attempt = nextAttempt(this.attempt);
    this.runner.send({type: 'try_elsewhere'});
    this.retryTimer = setTimeout(() => this.open(), REOPEN_DELAY_MS);
  }

  private openOnOtherChain(reason: RetryReason): void {
    const head = this.chain?.stages[0];
    if (head) this.excludedServers.add(head.server);
    if (!this.mayRetry(reason)) {
      return this.fail(refuse('retry_budget_exhausted', 'route'));
    }
    this.recordRetry(reason);
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
      STEP_RESEND_TIMEOUT_MS,
    );
    this.hasSentStep = true;
    const allTokens = [...this.promptTokens, ...this.generated];
    this.sendToHead({
      type: 'step',
      request: this.spec.request,
      attempt: this.attempt,
      position,
      tokens: allTokens.slice(position),
      rank: this.spec.rank,
      entry: this.deps.transport.address,
      cacheSince: this.cacheSince,
      chain,
      stage: 0,
    });
  }

  /** Safe to repeat: a stage that ran the step answers from its activation log. */
  private resendStep(position: number): void {
    if (this.runner.state !== 'generating') return;
    this.deps.metrics.increment('azurecrank_steps_resent_total');
    this.sendTokensFrom(position);
  }

  private sendToHead(message: Message): void {
    const head = this.chain?.stages[0];
    if (head) this.sendAwaitingAnswer(head.address, message);
  }

  private sendAwaitingAnswer(address: PeerAddress, message: Message): void {
    this.deps.transport.sendRepeatable(address, this.spec.request, message);
  }

  /** Stops expecting an answer of the server to this request. */
  private markAnswered(address: PeerAddress): void {
    this.deps.transport.settle(address, this.spec.request);
  }

  private complete(finishReason: 'stop' | 'length'): void {
    this.runner.send({type: 'last_token'});
    this.deps.policy.recordSuccess();
    this.releaseAndDispose();
    this.sink.onEnd(finishReason, this.promptTokens.length);
  }

  private failAtDeadline(): void {
    const step = this.hasSentStep ? 'decode' : 'queue';
    this.fail(refuse('deadline_exceeded', step, {ran: this.ranState()}));
  }

  private fail(refusal: Refusal): void {
    if (this.isEnded) return;
    this.runner.send({type: 'refused'});
    this.releaseAndDispose();
    this.sink.onRefused(refusal);
  }

  private releaseAndDispose(): void {
    this.releaseChain();
    this[Symbol.dispose]();
  }

  private releaseChain(): void {
    const {request} = this.spec;
    const {attempt} = this;
    for (const {address} of this.chain?.stages ?? []) {
      this.markAnswered(address);
      this.deps.transport.send(address, {
        type: 'release',
        request,
        attempt,
      });
    }
    this.chain = undefined;
  }

  /** No engine works on a request before this process has sent a step. */
  private ranState(): ExecutionState {
    if (!this.hasSentStep) return 'not_run';
    return this.generated.length > 0 ? 'ran' : 'unknown';
  }

  private mayRetry(reason: RetryReason): boolean {
    const ran = NOT_RUN_REASONS.has(reason) ? 'not_run' : this.ranState();
    return this.deps.policy.allowRetry(
      reason,
      ran,
      this.retryCounts.get(reason) ?? 0,
      this.spec.deadlineAtMs - performance.now(),
    );
  }

  private recordRetry(reason: RetryReason): void {
    this.retryCounts.set(reason, (this.retryCounts.get(reason) ?? 0) + 1);
    this.deps.metrics.increment('azurecrank_retries_total', {reason});
    const {request, workspace, rank} = this.spec;
    const fields = {request, workspace, rank, step: 'recover', reason};
    this.deps.logger.info('retry', fields);
  }

  /** Records the time since the start of the request. */
  private observe(name: string): void {
    const elapsedMs = performance.now() - this.startMs;
    this.deps.metrics.observeMs(name, elapsedMs, {
      rank: this.spec.rank,
    });
  }
}

function toRetryReason({reason}: StageFailed): RetryReason {
  return reason === 'leaving' ? 'server_leaving' : reason;
}
