/** The stage that this side process and its engine form in model chains. */
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
import {ActivationLog, type LoggedOutput} from './activation_log.js';
import {
  Sequence,
  type SequenceDecision,
  type SequenceRoute,
} from './sequence_chart.js';
import {ReleasedRequests} from './released_requests.js';
import {
  countOf,
  endOf,
  isSameRange,
  toEngineStep,
  toRoute,
  type Input,
} from './stage_input.js';
import {StageRunner} from './stage_runner.js';

/** A sequence that may be moved to another server. */
export interface Movable {
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
  private readonly log: ActivationLog;
  /** The furthest input that came while an earlier one was running. */
  private readonly pending = new Map<RequestId, Input>();
  private readonly released = new ReleasedRequests();
  private readonly lastTokens = new Map<RequestId, TokenOutput>();
  private info: EngineInfo | undefined;
  private isLeaving = false;

  constructor(private readonly options: StageOptions) {
    this.runner = new StageRunner(options.engine, request =>
      this.reportStalled(request),
    );
    this.log = new ActivationLog(options.activationLogBytes);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.runner.setReservedShares(reserved);
  }

  [Symbol.dispose](): void {
    this.runner[Symbol.dispose]();
  }

  /** Sequences that hold a cache in the engine. */
  get size(): number {
    return this.sequences.size;
  }

  get logBytes(): number {
    return this.log.sizeBytes;
  }

  /** The range of layers that the engine holds now. */
  setInfo(info: EngineInfo): void {
    const {info: old} = this;
    this.info = info;
    if (old && !isSameRange(old, info)) this.discardAll();
  }

  /** Takes no new sequence; those that are here go on. */
  leave(): void {
    this.isLeaving = true;
  }

  takeInput(message: Input): void {
    if (this.wasReleased(message)) return this.countDropped('released');
    if (!this.holdsLayersOf(message.chain, message.stage)) {
      return this.refuseInput(message, 'wrong_range');
    }
    // Entries need not be connected to this stage when its notice goes out.
    if (this.isLeaving && !this.sequences.has(message.request)) {
      return this.refuseInput(message, 'leaving');
    }
    const sequence = this.findOrCreate(message);
    this.settle(message.request, sequence.route);
    const decision = sequence.send({
      type: 'input',
      route: toRoute(message),
      position: message.position,
      count: countOf(message),
    });
    this.carryOut(message.request, sequence, decision, message);
  }

  reroute(message: Reroute): void {
    const sequence = this.sequences.get(message.request);
    if (!sequence) return;
    this.settle(message.request, sequence.route);
    this.adopt(message, sequence);
  }

  replay(message: Replay): void {
    const sequence = this.sequences.get(message.request);
    if (sequence) this.adopt(message, sequence);
    const output = this.log.read(message.request, message.fromPosition);
    const {request, attempt, stage} = message;
    if (sequence && output) return this.forward(request, sequence, output);
    this.options.metrics.increment('azurecrank_replays_refused_total');
    const entry = sequence?.route.entry;
    if (!entry) return;
    const refusal = {type: 'replay_refused', request, attempt, stage} as const;
    this.options.transport.send(entry, refusal);
  }

  release(message: Release): void {
    this.released.add(message.request, message.attempt);
    const sequence = this.sequences.get(message.request);
    if (!sequence) return;
    sequence.send({type: 'release', attempt: message.attempt});
    this.removeIfReleased(message.request, sequence);
  }

  /** Sequences that can be moved now: their cache is at rest. */
  movable(): Movable[] {
    return [...this.sequences]
      .filter(([, sequence]) => sequence.state === 'waiting')
      .map(([request, sequence]) => ({request, route: sequence.route}));
  }

  /**
   * Takes no more inputs of a sequence and returns its cache for `chain`.
   * Throws `EngineError` if the engine does not export it.
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

  /** Goes on with a sequence whose move has not been confirmed. */
  resumeSequence(request: RequestId): void {
    this.sequences.get(request)?.send({type: 'resume'});
  }

  /** Takes over a sequence; throws `EngineError` if the engine refuses. */
  async importSequence(message: ImportKv): Promise<boolean> {
    const {request, attempt, chain, stage} = message;
    if (!this.holdsLayersOf(chain, stage)) return false;
    if (this.isLeaving || this.sequences.has(request)) return false;
    if (this.released.covers(request, attempt)) return false;
    const route = toRoute(message);
    const sequence = new Sequence(request, route, message.nextPosition);
    await this.options.engine.importKv(sequence.engineKey, message.data);
    this.sequences.set(request, sequence);
    const output = message.lastOutput;
    if (output?.kind === 'token') {
      this.lastTokens.set(request, {...output, sequence: request});
    } else if (output) {
      this.log.append(request, output.position, output.count, output.data);
    }
    return true;
  }

  /** Frees sequences whose entry has sent nothing for the orphan timeout. */
  releaseOrphans(): void {
    this.released.expire(performance.now());
    const oldestMs = performance.now() - this.options.orphanTimeoutMs;
    for (const [request, sequence] of this.sequences) {
      if (sequence.lastUsedMs > oldestMs) continue;
      this.options.metrics.increment('azurecrank_orphans_released_total');
      const {attempt} = sequence.route;
      this.release({type: 'release', request, attempt});
    }
  }

  /** Tells each entry that the next stage of its requests is gone. */
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
    const output = this.log.readLast(request);
    return output && {kind: 'activation', ...output};
  }

  private holdsLayersOf(chain: Chain, stage: number): boolean {
    const info = this.info;
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

  /** Tells the entry that the engine hangs although this process is well. */
  private reportStalled(request: RequestId): void {
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

  private refuseInput(message: Input, reason: 'wrong_range' | 'leaving'): void {
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

  /** A message that was under way when its request was released. */
  private wasReleased({request, attempt}: Input): boolean {
    return this.released.covers(request, attempt);
  }

  private adopt(message: Reroute | Replay, sequence: Sequence): void {
    const {attempt, cacheSince, chain, stage} = message;
    const route = {attempt, cacheSince, chain, stage};
    sequence.send({type: 'reroute', route});
  }

  private findOrCreate(message: Input): Sequence {
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

  /** Forgets a sequence whose cache is of no use any more. */
  private discard(request: RequestId, sequence: Sequence): void {
    this.settle(request, sequence.route);
    this.sequences.delete(request);
    this.lastTokens.delete(request);
    this.pending.delete(request);
    this.log.remove(request);
    this.releaseInEngine(request, sequence.engineKey);
  }

  /** The engine has loaded other layers, so all caches are gone. */
  private discardAll(): void {
    for (const [request, sequence] of [...this.sequences]) {
      this.discard(request, sequence);
    }
  }

  private carryOut(
    request: RequestId,
    sequence: Sequence,
    decision: SequenceDecision,
    input?: Input,
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
      case 'wait':
        if (input) this.keepPending(request, input);
        return;
      default:
        return;
    }
  }

  private run(
    request: RequestId,
    sequence: Sequence,
    input: Input,
    skip: number,
  ): void {
    const {rank} = sequence.route;
    const key = sequence.engineKey;
    const step = toEngineStep(key, input, skip, rankIndex(rank));
    this.runner.submit({
      request,
      rank,
      step,
      done: (output, durationMs) => {
        this.options.metrics.observeMs(
          'azurecrank_engine_batch_ms',
          durationMs,
        );
        this.finish(request, sequence, step, output);
      },
    });
  }

  private finish(
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
      this.log.remove(request);
      this.pending.delete(request);
      this.releaseInEngine(request, sequence.renewEngineKey());
      const decision = sequence.send({type: 'failed'});
      this.carryOut(request, sequence, decision);
      return this.removeIfReleased(request, sequence);
    }
    sequence.send({type: 'output', count: step.count});
    if (sequence.isReleased) return this.removeIfReleased(request, sequence);
    if (output.kind === 'token') {
      this.lastTokens.set(request, output);
      this.sendToken(request, sequence, output);
    } else {
      const {position, count} = step;
      this.log.append(request, position, count, output.data);
      this.forward(request, sequence, {position, count, data: output.data});
    }
    this.takePending(request);
  }

  private keepPending(request: RequestId, input: Input): void {
    const kept = this.pending.get(request);
    const isFurther = !kept || endOf(input) >= endOf(kept);
    if (isFurther) this.pending.set(request, input);
  }

  private takePending(request: RequestId): void {
    const input = this.pending.get(request);
    if (!input) return;
    this.pending.delete(request);
    this.takeInput(input);
  }

  private resend(request: RequestId, sequence: Sequence): void {
    this.countDropped('duplicate');
    const token = this.lastTokens.get(request);
    if (token) return this.sendToken(request, sequence, token);
    const output = this.log.readLast(request);
    if (output) return this.forward(request, sequence, output);
  }

  private forward(
    request: RequestId,
    {route}: Sequence,
    output: LoggedOutput,
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

  /** The next input shows that what was sent before has arrived. */
  private settle(request: RequestId, route: SequenceRoute): void {
    const next = route.chain.stages[route.stage + 1];
    this.options.transport.settle(next?.address ?? route.entry, request);
  }

  private removeIfReleased(request: RequestId, sequence: Sequence): void {
    if (!sequence.isReleased) return;
    this.discard(request, sequence);
  }

  private releaseInEngine(request: RequestId, key: string): void {
    this.options.engine.release([key]).catch((error: unknown) => {
      this.options.logger.warn('engine did not release a sequence', {
        request,
        step: 'respond',
        peer: this.options.node,
        cause: String(error),
      });
    });
  }

  private countDropped(reason: string): void {
    this.options.metrics.increment('azurecrank_inputs_dropped_total', {reason});
  }
}
