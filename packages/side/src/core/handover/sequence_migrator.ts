/**
 * Migrates the sequences of a draining server with their KV caches to servers
 * that hold the same layers, so that no layer has to compute a cache again.
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

export interface SequenceMigratorOptions {
  readonly server: ServerId;
  readonly stage: Stage;
  readonly transport: MessageTransport;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly plan: () => Plan;
}

/** The entry confirms a migration by releasing the sequence within this time. */
const MIGRATION_CONFIRM_TIMEOUT_MS = 2000;

/** Bounds the memory for KV caches in transfer. */
const MAX_CONCURRENT_MIGRATIONS = 4;

export class SequenceMigrator {
  /** Timeouts of the migrations that are not confirmed yet. */
  private readonly confirmTimers = new Map<RequestId, NodeJS.Timeout>();
  /** Servers that did not accept a sequence or are draining, too. */
  private readonly excludedServers = new Set<ServerId>();

  constructor(private readonly options: SequenceMigratorOptions) {
    this.excludedServers.add(options.server);
  }

  excludeServer(server: ServerId): void {
    this.excludedServers.add(server);
  }

  /**
   * Starts migrations of sequences without a running step, up to the limit.
   * Called periodically until the server is drained.
   */
  startMigrations(): void {
    for (const sequence of this.options.stage.migratableSequences()) {
      if (this.confirmTimers.size >= MAX_CONCURRENT_MIGRATIONS) return;
      const target = this.findTarget(sequence);
      if (target) void this.migrate(sequence, target);
    }
  }

  /** Called when the entry releases a sequence: it was migrated or has ended. */
  endMigration(request: RequestId): void {
    clearTimeout(this.confirmTimers.get(request));
    this.confirmTimers.delete(request);
  }

  /** Imports a sequence from a draining server and reports it to the entry. */
  async importSequence(message: ImportKv): Promise<void> {
    const {request, attempt, stage, entry} = message;
    try {
      if (!(await this.options.stage.importSequence(message))) return;
    } catch (error) {
      return this.logWarning(
        'KV cache of a sequence could not be imported',
        request,
        error,
      );
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
      this.excludedServers,
    );
  }

  private async migrate(
    {request, route}: MigratableSequence,
    target: ChainStage,
  ): Promise<void> {
    const timer = setTimeout(
      () => this.abortMigration(request, target),
      MIGRATION_CONFIRM_TIMEOUT_MS,
    );
    this.confirmTimers.set(request, timer);
    try {
      const chain = withStage(route.chain, route.stage, target);
      const message = await this.options.stage.exportSequence(request, chain);
      if (!message) return this.endMigration(request);
      this.options.transport.send(target.address, message);
      this.options.metrics.increment('azurecrank_sequences_exported_total');
    } catch (error) {
      this.logWarning(
        'KV cache of a sequence could not be exported; it stays on this server',
        request,
        error,
      );
      this.abortMigration(request, target);
    }
  }

  /** Continues the sequence here and excludes the target from now on. */
  private abortMigration(request: RequestId, target: ChainStage): void {
    this.endMigration(request);
    this.excludedServers.add(target.server);
    this.options.stage.resumeSequence(request);
  }

  private logWarning(
    message: string,
    request: RequestId,
    error: unknown,
  ): void {
    const peer = this.options.server;
    const fields = {request, step: 'recover', peer, cause: String(error)};
    this.options.logger.warn(message, fields);
  }
}
