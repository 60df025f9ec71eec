/**
 * Moves the sequences of a server that is leaving to servers that hold the
 * same layers, with their caches, so that no layer runs again.
 */
import {
  findReplacement,
  withStage,
  type ChainStage,
  type ImportKv,
  type Imported,
  type Logger,
  type MessageTransport,
  type Metrics,
  type Plan,
  type RequestId,
  type ServerId,
} from '@azurecrank/core';
import type {MigratableSequence, Stage} from '../sequences/stage.js';

export interface HandoverOptions {
  readonly server: ServerId;
  readonly stage: Stage;
  readonly transport: MessageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly plan: () => Plan;
}

/** Time in which the entry has to confirm a move by releasing the sequence. */
const CONFIRM_TIMEOUT_MS = 2000;

/** Caches in transfer at a time, which bounds the memory for them. */
const MAX_MOVING = 4;

export class Handover {
  private readonly moving = new Map<RequestId, NodeJS.Timeout>();
  /** Servers that did not take a sequence, or are leaving too. */
  private readonly unusable = new Set<ServerId>();

  constructor(private readonly options: HandoverOptions) {
    this.unusable.add(options.server);
  }

  noteLeaving(server: ServerId): void {
    this.unusable.add(server);
  }

  /** Starts to move what is at rest; called until nothing is left. */
  moveSome(): void {
    for (const movable of this.options.stage.migratableSequences()) {
      if (this.moving.size >= MAX_MOVING) return;
      const target = this.findTarget(movable);
      if (target) void this.move(movable, target);
    }
  }

  /** The entry has confirmed the move, or the sequence has ended. */
  noteReleased(request: RequestId): void {
    clearTimeout(this.moving.get(request));
    this.moving.delete(request);
  }

  /** Takes a sequence from a leaving server and tells the entry. */
  async take(message: ImportKv): Promise<void> {
    const {request, attempt, stage, entry} = message;
    try {
      if (!(await this.options.stage.importSequence(message))) return;
    } catch (error) {
      return this.warn('sequence could not be imported', request, error);
    }
    this.options.metrics.increment('azurecrank_sequences_imported_total');
    const {server} = this.options;
    const {address} = this.options.transport;
    const imported: Imported = {
      type: 'imported',
      request,
      attempt,
      stage,
      server,
      address,
    };
    this.options.transport.send(entry, imported);
  }

  private findTarget({route}: MigratableSequence): ChainStage | undefined {
    const {chain, stage} = route;
    return findReplacement(
      this.options.plan(),
      [],
      chain,
      stage,
      this.unusable,
    );
  }

  private async move(
    {request, route}: MigratableSequence,
    target: ChainStage,
  ): Promise<void> {
    const timer = setTimeout(
      () => this.giveUp(request, target),
      CONFIRM_TIMEOUT_MS,
    );
    this.moving.set(request, timer);
    try {
      const chain = withStage(route.chain, route.stage, target);
      const message = await this.options.stage.exportSequence(request, chain);
      if (!message) return this.noteReleased(request);
      this.options.transport.send(target.address, message);
      this.options.metrics.increment('azurecrank_sequences_exported_total');
    } catch (error) {
      this.warn('sequence could not be exported', request, error);
      this.giveUp(request, target);
    }
  }

  private giveUp(request: RequestId, target: ChainStage): void {
    this.noteReleased(request);
    this.unusable.add(target.server);
    this.options.stage.resumeSequence(request);
  }

  private warn(message: string, request: RequestId, error: unknown): void {
    const peer = this.options.server;
    const fields = {request, step: 'recover', peer, cause: String(error)};
    this.options.logger.warn(message, fields);
  }
}
