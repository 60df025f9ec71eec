/** The stage that this side process and its engine form in model chains. */
import {
  rankIndex,
  type Activation,
  type Chain,
  type Engine,
  type EngineInfo,
  type EngineOutput,
  type EngineStep,
  type Logger,
  type Message,
  type Metrics,
  type PeerAddress,
  type Release,
  type Replay,
  type ReservedShares,
  type RequestId,
  type Reroute,
  type StepMessage,
} from '@azurecrank/core';
import {ActivationLog, type LoggedOutput} from './activation_log.js';
import {
  Sequence,
  type SequenceDecision,
  type SequenceRoute,
} from './sequence_chart.js';
import {StageRunner} from './stage_runner.js';

/** How the stage reaches other processes. */
export abstract class StageTransport {
  /** Sends, and expects that the receiver shows signs of life until settled. */
  abstract sendExpecting(
    address: PeerAddress,
    key: string,
    message: Message,
  ): void;
  abstract settle(address: PeerAddress, key: string): void;
  abstract send(address: PeerAddress, message: Message): void;
}

export interface StageOptions {
  readonly engine: Engine;
  readonly transport: StageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly node: string;
  readonly activationLogBytes: number;
  readonly orphanTimeoutMs: number;
}

type Input = StepMessage | Activation;

type TokenOutput = Extract<EngineOutput, {kind: 'token'}>;

export class Stage {
  readonly runner: StageRunner;
  private readonly sequences = new Map<RequestId, Sequence>();
  private readonly log: ActivationLog;
  /** The furthest input that came while an earlier one was running. */
  private readonly pending = new Map<RequestId, Input>();
  private readonly lastTokens = new Map<RequestId, TokenOutput>();
  private info: EngineInfo | undefined;

  constructor(private readonly options: StageOptions) {
    this.runner = new StageRunner(options.engine);
    this.log = new ActivationLog(options.activationLogBytes);
  }

  setReservedShares(reserved: ReservedShares): void {
    this.runner.setReservedShares(reserved);
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
    this.info = info;
  }

  takeInput(message: Input): void {
    if (!this.holdsLayersOf(message.chain, message.stage)) {
      return this.reportWrongRange(message);
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
    const {attempt, chain, stage} = message;
    sequence.send({type: 'reroute', route: {attempt, chain, stage}});
  }

  replay(message: Replay): void {
    const sequence = this.sequences.get(message.request);
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
    const sequence = this.sequences.get(message.request);
    if (!sequence) return;
    sequence.send({type: 'release', attempt: message.attempt});
    this.removeIfReleased(message.request, sequence);
  }

  /** Frees sequences whose entry has sent nothing for the orphan timeout. */
  releaseOrphans(): void {
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

  private reportWrongRange(message: Input): void {
    this.options.metrics.increment('azurecrank_wrong_range_total');
    this.options.transport.send(message.entry, {
      type: 'stage_failed',
      request: message.request,
      attempt: message.attempt,
      stage: message.stage,
      reason: 'wrong_range',
      peer: this.options.node,
    });
  }

  private findOrCreate(message: Input): Sequence {
    const existing = this.sequences.get(message.request);
    if (existing) return existing;
    const sequence = new Sequence(toRoute(message));
    this.sequences.set(message.request, sequence);
    return sequence;
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
    const step = toEngineStep(request, input, skip, rankIndex(rank));
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
    if (output.kind === 'failed') {
      this.options.logger.warn('engine step failed', {
        request,
        step: 'decode',
        peer: this.options.node,
        cause: output.cause,
      });
      this.log.remove(request);
      this.pending.delete(request);
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
    this.options.transport.sendExpecting(next.address, request, {
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
    this.options.transport.sendExpecting(route.entry, request, {
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
    this.settle(request, sequence.route);
    this.sequences.delete(request);
    this.lastTokens.delete(request);
    this.pending.delete(request);
    this.log.remove(request);
    this.options.engine.release([request]).catch((error: unknown) => {
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

function countOf(input: Input): number {
  return input.type === 'step' ? input.tokens.length : input.count;
}

function endOf(input: Input): number {
  return input.position + countOf(input);
}

function toRoute(message: Input): SequenceRoute {
  const {attempt, chain, stage, entry, rank} = message;
  return {attempt, chain, stage, entry, rank};
}

function toEngineStep(
  request: RequestId,
  input: Input,
  skip: number,
  priority: number,
): EngineStep {
  const position = input.position + skip;
  if (input.type === 'step') {
    const tokens = input.tokens.slice(skip);
    return {
      sequence: request,
      position,
      count: tokens.length,
      tokens,
      priority,
    };
  }
  const bytesPerPosition = input.data.length / input.count;
  const data = input.data.subarray(skip * bytesPerPosition);
  return {
    sequence: request,
    position,
    count: input.count - skip,
    data,
    priority,
  };
}
