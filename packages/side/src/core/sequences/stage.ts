/**
 * One stage of the paths through this server: runs the inputs of each sequence
 * on the engine and sends the outputs to the next stage or to the entry.
 */
import {
  rankIndex,
  type Chain,
  type Engine,
  type EngineInfo,
  type EngineOutput,
  type EngineStep,
  type ImportKv,
  type Logger,
  type MessageTransport,
  type Metrics,
  type PeerAddress,
  type Release,
  type Replay,
  type ReservedShares,
  type RequestId,
  type Reroute,
  type StageOutput,
} from '@azurecrank/core';
import {ActivationLog, type LoggedActivations} from './activation_log.js';
import {
  Sequence,
  type SequenceDecision,
  type SequenceRoute,
} from './sequence_chart.js';
import {ReleasedRequests} from './released_requests.js';
import {
  positionCountOf,
  endPositionOf,
  isSameLayerRange,
  toEngineStep,
  toRoute,
  type StageInput,
} from './stage_input.js';
import {StageRunner} from './stage_runner.js';

/** A sequence that can be migrated to another server. */
export interface MigratableSequence {
  readonly request: RequestId;
  readonly route: SequenceRoute;
}

export interface StageOptions {
  readonly engine: Engine;
  readonly transport: MessageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly node: string;
  readonly activationLogBytes: number;
  readonly orphanTimeoutMs: number;
}

type TokenOutput = Extract<EngineOutput, {kind: 'token'}>;

export class Stage implements Disposable {
  readonly runner: StageRunner;
  private readonly sequences = new Map<RequestId, Sequence>();
  private readonly activationLog: ActivationLog;
  /** Per request, the furthest input received while another was running. */
  private readonly pendingInputs = new Map<RequestId, StageInput>();
  private readonly releasedRequests = new ReleasedRequests();
  private readonly lastTokens = new Map<RequestId, TokenOutput>();
  private engineInfo: EngineInfo | undefined;
  private isDraining = false;

  constructor(private readonly options: StageOptions) {
    this.runner = new StageRunner(options.engine, request =>
      this.reportEngineStall(request),
    );
    this.activationLog = new ActivationLog(options.activationLogBytes);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.runner.setReservedShares(reserved);
  }

  [Symbol.dispose](): void {
    this.runner[Symbol.dispose]();
  }

  /** Number of sequences, each of which has a KV cache in the engine. */
  get sequenceCount(): number {
    return this.sequences.size;
  }

  get activationLogSizeBytes(): number {
    return this.activationLog.sizeBytes;
  }

  /** Updates the engine's layers; discards all sequences if they changed. */
  setEngineInfo(info: EngineInfo): void {
    const {engineInfo: old} = this;
    this.engineInfo = info;
    if (old && !isSameLayerRange(old, info)) this.discardAll();
  }

  /** Refuses new sequences from now on; existing ones continue. */
  startDraining(): void {
    this.isDraining = true;
  }

  handleInput(message: StageInput): void {
    if (this.isForReleasedAttempt(message))
      return this.countDropped('released');
    if (!this.holdsLayersOfStage(message.chain, message.stage)) {
      return this.refuseInput(message, 'wrong_range');
    }
    // An entry that was not connected when `leaving` was broadcast does not
    // know that this server is draining.
    if (this.isDraining && !this.sequences.has(message.request)) {
      return this.refuseInput(message, 'leaving');
    }
    const sequence = this.findOrCreate(message);
    this.stopExpectingAnswer(message.request, sequence.route);
    const decision = sequence.send({
      type: 'input',
      route: toRoute(message),
      position: message.position,
      count: positionCountOf(message),
    });
    this.executeDecision(message.request, sequence, decision, message);
  }

  reroute(message: Reroute): void {
    const sequence = this.sequences.get(message.request);
    if (!sequence) return;
    this.stopExpectingAnswer(message.request, sequence.route);
    this.updateRoute(message, sequence);
  }

  replay(message: Replay): void {
    const sequence = this.sequences.get(message.request);
    if (sequence) this.updateRoute(message, sequence);
    const output = this.activationLog.read(
      message.request,
      message.fromPosition,
    );
    const {request, attempt, stage} = message;
    if (sequence && output) return this.forward(request, sequence, output);
    this.options.metrics.increment('azurecrank_replays_refused_total');
    const entry = sequence?.route.entry;
    if (!entry) return;
    const refusal = {type: 'replay_refused', request, attempt, stage} as const;
    this.options.transport.send(entry, refusal);
  }

  release(message: Release): void {
    this.releasedRequests.add(message.request, message.attempt);
    const sequence = this.sequences.get(message.request);
    if (!sequence) return;
    sequence.send({type: 'release', attempt: message.attempt});
    this.removeIfReleased(message.request, sequence);
  }

  /** Sequences that can be migrated now, because no step of them runs. */
  migratableSequences(): MigratableSequence[] {
    return [...this.sequences]
      .filter(([, sequence]) => sequence.state === 'waiting')
      .map(([request, sequence]) => ({request, route: sequence.route}));
  }

  /**
   * Stops running inputs of a sequence and returns the message that moves its
   * KV cache to the path `chain`. Returns undefined if the sequence is not
   * waiting for input. Throws `EngineError` if the engine does not export it.
   */
  async exportSequence(
    request: RequestId,
    chain: Chain,
  ): Promise<ImportKv | undefined> {
    const sequence = this.sequences.get(request);
    if (!sequence || sequence.state !== 'waiting') return undefined;
    sequence.send({type: 'move'});
    const {nextPosition, engineKey} = sequence;
    const data = await this.options.engine.exportKv(engineKey);
    const lastOutput = this.lastOutput(request);
    const route = {...sequence.route, chain};
    return {
      type: 'import_kv',
      request,
      ...route,
      nextPosition,
      data,
      lastOutput,
    };
  }

  /** Continues a sequence whose migration was not confirmed. */
  resumeSequence(request: RequestId): void {
    this.sequences.get(request)?.send({type: 'resume'});
  }

  /**
   * Imports the KV cache of a migrated sequence. Returns false if this stage
   * cannot accept it; throws `EngineError` if the engine refuses.
   */
  async importSequence(message: ImportKv): Promise<boolean> {
    const {request, attempt, chain, stage} = message;
    if (!this.holdsLayersOfStage(chain, stage)) return false;
    if (this.isDraining || this.sequences.has(request)) return false;
    if (this.releasedRequests.wasReleased(request, attempt)) return false;
    const route = toRoute(message);
    const sequence = new Sequence(request, route, message.nextPosition);
    await this.options.engine.importKv(sequence.engineKey, message.data);
    this.sequences.set(request, sequence);
    const output = message.lastOutput;
    if (output?.kind === 'token') {
      this.lastTokens.set(request, {...output, sequence: request});
    } else if (output) {
      this.activationLog.append(
        request,
        output.position,
        output.count,
        output.data,
      );
    }
    return true;
  }

  /** Releases sequences without a message for the orphan timeout. */
  releaseOrphans(): void {
    this.releasedRequests.removeExpired(performance.now());
    const oldestMs = performance.now() - this.options.orphanTimeoutMs;
    for (const [request, sequence] of this.sequences) {
      if (sequence.lastUsedAtMs > oldestMs) continue;
      this.options.metrics.increment('azurecrank_orphans_released_total');
      const {attempt} = sequence.route;
      this.release({type: 'release', request, attempt});
    }
  }

  /** Reports to the entries that the next stage of their requests failed. */
  reportPeerDown(address: PeerAddress): void {
    for (const [request, {route}] of this.sequences) {
      const stage = route.stage + 1;
      const next = route.chain.stages[stage];
      if (next?.address !== address) continue;
      this.options.transport.send(route.entry, {
        type: 'stage_failed',
        request,
        attempt: route.attempt,
        stage,
        reason: 'stage_lost',
        peer: next.server,
      });
    }
  }

  private lastOutput(request: RequestId): StageOutput | undefined {
    const token = this.lastTokens.get(request);
    if (token) {
      const {text, finished} = token;
      return {kind: 'token', token: token.token, text, finished};
    }
    const output = this.activationLog.readLast(request);
    return output && {kind: 'activation', ...output};
  }

  private holdsLayersOfStage(chain: Chain, stage: number): boolean {
    const info = this.engineInfo;
    const planned = chain.stages[stage];
    return (
      info !== undefined &&
      planned !== undefined &&
      info.model === chain.model &&
      info.modelVersion === chain.modelVersion &&
      info.firstLayer === planned.firstLayer &&
      info.endLayer === planned.endLayer
    );
  }

  /** Reports to the entry that the engine is stalled; this process is not. */
  private reportEngineStall(request: RequestId): void {
    const sequence = this.sequences.get(request);
    if (!sequence) return;
    this.options.metrics.increment('azurecrank_engine_stalls_total');
    const {attempt, stage, entry} = sequence.route;
    this.options.transport.send(entry, {
      type: 'stage_failed',
      request,
      attempt,
      stage,
      reason: 'engine_stalled',
      peer: this.options.node,
    });
  }

  private refuseInput(
    message: StageInput,
    reason: 'wrong_range' | 'leaving',
  ): void {
    if (reason === 'wrong_range') {
      this.options.metrics.increment('azurecrank_wrong_range_total');
    }
    this.options.transport.send(message.entry, {
      type: 'stage_failed',
      request: message.request,
      attempt: message.attempt,
      stage: message.stage,
      reason,
      peer: this.options.node,
    });
  }

  /** Whether the request was released while the message was in transit. */
  private isForReleasedAttempt({request, attempt}: StageInput): boolean {
    return this.releasedRequests.wasReleased(request, attempt);
  }

  private updateRoute(message: Reroute | Replay, sequence: Sequence): void {
    const {attempt, cacheSince, chain, stage} = message;
    const route = {attempt, cacheSince, chain, stage};
    sequence.send({type: 'reroute', route});
  }

  private findOrCreate(message: StageInput): Sequence {
    const {request} = message;
    const existing = this.sequences.get(request);
    if (existing && existing.route.attempt >= message.cacheSince) {
      return existing;
    }
    if (existing) this.discard(request, existing);
    const sequence = new Sequence(request, toRoute(message));
    this.sequences.set(request, sequence);
    return sequence;
  }

  /** Removes a sequence and its KV cache, which is no longer needed. */
  private discard(request: RequestId, sequence: Sequence): void {
    this.stopExpectingAnswer(request, sequence.route);
    this.sequences.delete(request);
    this.lastTokens.delete(request);
    this.pendingInputs.delete(request);
    this.activationLog.remove(request);
    this.releaseInEngine(request, sequence.engineKey);
  }

  /** Discards all sequences: the engine loaded other layers. */
  private discardAll(): void {
    for (const [request, sequence] of [...this.sequences]) {
      this.discard(request, sequence);
    }
  }

  private executeDecision(
    request: RequestId,
    sequence: Sequence,
    decision: SequenceDecision,
    input?: StageInput,
  ): void {
    switch (decision.kind) {
      case 'run':
        if (input) this.run(request, sequence, input, decision.skip);
        return;
      case 'resend':
        return this.resend(request, sequence);
      case 'report_gap':
        return this.reportGap(request, sequence);
      case 'drop_stale':
        return this.countDropped('stale_attempt');
      case 'keep_input':
        if (input) this.keepFurthestInput(request, input);
        return;
      default:
        return;
    }
  }

  private run(
    request: RequestId,
    sequence: Sequence,
    input: StageInput,
    skip: number,
  ): void {
    const {rank} = sequence.route;
    const key = sequence.engineKey;
    const step = toEngineStep(key, input, skip, rankIndex(rank));
    this.runner.submit({
      request,
      rank,
      step,
      onOutput: (output, durationMs) => {
        this.options.metrics.observeMs(
          'azurecrank_engine_batch_ms',
          durationMs,
        );
        this.handleStepOutput(request, sequence, step, output);
      },
    });
  }

  private handleStepOutput(
    request: RequestId,
    sequence: Sequence,
    step: EngineStep,
    output: EngineOutput,
  ): void {
    // The sequence may have been discarded while its step was running.
    if (this.sequences.get(request) !== sequence) return;
    if (output.kind === 'failed') {
      this.options.logger.warn('engine step failed', {
        request,
        step: 'decode',
        peer: this.options.node,
        cause: output.cause,
      });
      this.activationLog.remove(request);
      this.pendingInputs.delete(request);
      this.releaseInEngine(request, sequence.renewEngineKey());
      const decision = sequence.send({type: 'failed'});
      this.executeDecision(request, sequence, decision);
      return this.removeIfReleased(request, sequence);
    }
    sequence.send({type: 'output', count: step.count});
    if (sequence.isReleased) return this.removeIfReleased(request, sequence);
    if (output.kind === 'token') {
      this.lastTokens.set(request, output);
      this.sendToken(request, sequence, output);
    } else {
      const {position, count} = step;
      this.activationLog.append(request, position, count, output.data);
      this.forward(request, sequence, {position, count, data: output.data});
    }
    this.handlePendingInput(request);
  }

  private keepFurthestInput(request: RequestId, input: StageInput): void {
    const kept = this.pendingInputs.get(request);
    const isFurther = !kept || endPositionOf(input) >= endPositionOf(kept);
    if (isFurther) this.pendingInputs.set(request, input);
  }

  private handlePendingInput(request: RequestId): void {
    const input = this.pendingInputs.get(request);
    if (!input) return;
    this.pendingInputs.delete(request);
    this.handleInput(input);
  }

  private resend(request: RequestId, sequence: Sequence): void {
    this.countDropped('duplicate');
    const token = this.lastTokens.get(request);
    if (token) return this.sendToken(request, sequence, token);
    const output = this.activationLog.readLast(request);
    if (output) return this.forward(request, sequence, output);
  }

  private forward(
    request: RequestId,
    {route}: Sequence,
    output: LoggedActivations,
  ): void {
    const stage = route.stage + 1;
    const next = route.chain.stages[stage];
    if (!next) return;
    this.options.transport.sendRepeatable(next.address, request, {
      type: 'activation',
      request,
      ...route,
      stage,
      ...output,
    });
  }

  private sendToken(
    request: RequestId,
    {route, nextPosition}: Sequence,
    {token, text, finished}: TokenOutput,
  ): void {
    this.options.transport.sendRepeatable(route.entry, request, {
      type: 'token',
      request,
      attempt: route.attempt,
      position: nextPosition - 1,
      token,
      text,
      finished,
    });
  }

  private reportGap(request: RequestId, sequence: Sequence): void {
    this.countDropped('gap');
    const {attempt, stage, entry} = sequence.route;
    const {nextPosition} = sequence;
    const gap = {type: 'gap', request, attempt, stage, nextPosition} as const;
    this.options.transport.send(entry, gap);
  }

  /**
   * Stops awaiting an answer to the last output; the next input proves that it
   * arrived.
   */
  private stopExpectingAnswer(request: RequestId, route: SequenceRoute): void {
    const next = route.chain.stages[route.stage + 1];
    this.options.transport.settle(next?.address ?? route.entry, request);
  }

  private removeIfReleased(request: RequestId, sequence: Sequence): void {
    if (!sequence.isReleased) return;
    this.discard(request, sequence);
  }

  private releaseInEngine(request: RequestId, key: string): void {
    this.options.engine.release([key]).catch((error: unknown) => {
      this.options.logger.warn(
        'engine did not release the KV cache of a sequence',
        {
          request,
          step: 'respond',
          peer: this.options.node,
          cause: String(error),
        },
      );
    });
  }

  private countDropped(reason: string): void {
    this.options.metrics.increment('azurecrank_inputs_dropped_total', {reason});
  }
}
