/**
 * Detects which server of a path has failed when streams stall. The first
 * server of a path reports which other server its requests wait for; if it does
 * not respond itself, it counts as failed. A server is queried once on behalf
 * of all streams that wait for it.
 */
import type {Logger, ServiceId} from '@azurecrank/core';
import type {ServerControl, ServerReport} from '../adapter/platform_adapter.js';
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {LeavingServers} from '../fleet/leaving_servers.js';
import type {ServerHolds} from '../limits/server_holds.js';
import {formatPath, type ServerPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {EventIntervalMonitor} from './event_interval_monitor.js';
import {isRefusedConnection} from './upstream.js';

export interface PathFailureDetectorOptions {
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly leavingServers: LeavingServers;
  readonly holds: ServerHolds;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Whether this process itself was recently paused. */
  readonly wasPaused: () => boolean;
  readonly healthPathOf: (service: ServiceId) => string;
  /** Whether a stream through the server had an event since the given time. */
  readonly hasEventSince: (address: ServerAddress, sinceMs: number) => boolean;
  /** Called when a server is found not to respond or to refuse requests. */
  readonly onServerLost: () => void;
  /** Called when nothing listens any more at the address of a server. */
  readonly onServerEnded: (server: BackendServer) => void;
}

/**
 * Minimum interval between queries of a server. Reports lag by about 200 ms,
 * so more frequent queries would return nothing new.
 */
const MIN_QUERY_INTERVAL_MS = 180;

/** Timeout of a report or health check; servers respond within milliseconds. */
const REPORT_TIMEOUT_MS = 350;

/**
 * Minimum interval between queries of all servers of a slow path. It doubles
 * with each time that none of them turned out to be slow.
 */
const MIN_SLOW_PATH_QUERY_INTERVAL_MS = 3000;
const MAX_SLOW_PATH_QUERY_INTERVAL_MS = 48_000;

/**
 * Shows that the connection of a question was closed without a response. A
 * process that ends closes its connections before the socket that listens.
 */
const CONNECTION_LOST = /ECONNRESET|EPIPE|SocketError/;

/** Delay of a question after one whose connection was lost. */
const ENDED_RETRY_DELAY_MS = 20;

/** Questions without a response after which a server has ended. */
const MAX_ENDED_QUESTIONS = 3;

/** Timeout of the reports of all servers on a stalled path. */
const PATH_PROBE_TIMEOUT_MS = 80;

/** Minimum interval between probes of the same path. */
const MIN_PATH_PROBE_INTERVAL_MS = 400;

/**
 * Minimum time without an event after which a server reports a request as
 * stalled.
 */
const MIN_REPORTED_STALL_MS = 100;

/** Interval of the checks of suspected, refusing and slow servers. */
export const MARKED_SERVER_CHECK_INTERVAL_MS = 1000;

/** A first server counts as active for this time after an event. */
const ACTIVE_MS = 400;

/** When the servers of a slow path may be queried again. */
interface SlowPathQuery {
  readonly intervalMs: number;
  readonly nextAtMs: number;
}

/** A time in which events of a first server were at most `ACTIVE_MS` apart. */
interface ActiveSpan {
  readonly sinceMs: number;
  lastEventAtMs: number;
}

/** A question to a server whether it has ended. */
interface EndedQuery {
  readonly answer: Promise<boolean>;
  /** The next question, which is not sent before this one is answered. */
  next: Promise<boolean> | undefined;
}

export class PathFailureDetector {
  private readonly lastQueryAtMs = new Map<ServerAddress, number>();
  private readonly lastPathProbeAtMs = new Map<ServerAddress, number>();
  private readonly slowPathQueries = new Map<ServerAddress, SlowPathQuery>();
  private readonly eventIntervals = new EventIntervalMonitor();
  private readonly activeSpans = new Map<ServerAddress, ActiveSpan>();
  /** Questions that are not answered yet, by server and its start. */
  private readonly endedQueries = new Map<string, EndedQuery>();

  constructor(private readonly options: PathFailureDetectorOptions) {}

  /** Records an event of a stream whose path begins at this server. */
  recordEvent(first: ServerAddress, nowMs: number): void {
    const span = this.activeSpans.get(first);
    const isSameSpan = span && nowMs - span.lastEventAtMs < ACTIVE_MS;
    if (isSameSpan) span.lastEventAtMs = nowMs;
    else this.activeSpans.set(first, {sinceMs: nowMs, lastEventAtMs: nowMs});
  }

  /**
   * Records the interval between two events of a stream on this path. If the
   * path is slow, queries its servers for their slowdown factors.
   */
  recordInterval(model: ModelSpec, path: ServerPath, intervalMs: number): void {
    const first = path[0].server.address;
    if (!this.eventIntervals.record(first, intervalMs)) return;
    if (!this.eventIntervals.isSlow(model, path)) return;
    this.eventIntervals.clear(first);
    const now = this.options.nowMs();
    if (now < (this.slowPathQueries.get(first)?.nextAtMs ?? 0)) return;
    this.slowPathQueries.set(first, this.nextSlowPathQuery(path, now));
    this.options.logger.info('path is slow', {path: formatPath(path)});
    for (const {server} of path) {
      if (!this.isOnHold(server.address)) void this.fetchReport(server.address);
    }
  }

  private nextSlowPathQuery(path: ServerPath, nowMs: number): SlowPathQuery {
    const last = this.slowPathQueries.get(path[0].server.address);
    const {fleet} = this.options;
    const wasInVain =
      last && !path.some(({server}) => fleet.isSlow(server.address));
    const intervalMs = wasInVain
      ? Math.min(2 * last.intervalMs, MAX_SLOW_PATH_QUERY_INTERVAL_MS)
      : MIN_SLOW_PATH_QUERY_INTERVAL_MS;
    return {intervalMs, nextAtMs: nowMs + intervalMs};
  }

  /**
   * Time for which streams whose paths begin at this server have had events
   * without a long pause; 0 if none had one lately.
   */
  activeForMs(first: ServerAddress, nowMs: number): number {
    const span = this.activeSpans.get(first);
    const isActive = span && nowMs - span.lastEventAtMs < ACTIVE_MS;
    return isActive ? nowMs - span.sinceMs : 0;
  }

  /** Requests a server's report, unless it was queried too recently. */
  queryServer(address: ServerAddress): void {
    if (this.tryBeginQuery(address)) void this.fetchReport(address);
  }

  /**
   * Marks a server that did not respond as suspected.
   * @param queriedAtMs when it was queried; events since then show that it is
   *     alive and that only its response was lost
   */
  suspectServer(
    address: ServerAddress,
    cause: string,
    queriedAtMs: number,
  ): void {
    const {fleet, logger, onServerLost, wasPaused} = this.options;
    const server = fleet.findByAddress(address);
    if (server && isRefusedConnection(cause))
      this.options.onServerEnded(server);
    if (wasPaused() || !server) return;
    if (this.options.hasEventSince(address, queriedAtMs)) {
      logger.info('suspicion is not shared by events', {peer: address, cause});
      return;
    }
    if (!fleet.suspect(address)) return;
    logger.warn('server suspected', {peer: address, cause});
    onServerLost();
  }

  /**
   * Checks the health of a server that refused a request. The check tells a
   * server that is draining or failing from one without free KV-cache tokens.
   */
  checkAfterRefusal(address: ServerAddress): void {
    if (!this.tryBeginQuery(address)) return;
    void this.checkHealth(address);
  }

  /**
   * Returns whether this incarnation of a server has ended, as far as the
   * server itself or its host tells. A server that does not respond may have
   * been cut off. The question is sent after the call, as the server may have
   * ended since an earlier one; all calls that wait for it share it.
   */
  async hasEnded(server: BackendServer): Promise<boolean> {
    const running = this.endedQueries.get(incarnationKey(server));
    if (!running) return this.startEndedQuery(server);
    running.next ??= running.answer.then(() => this.startEndedQuery(server));
    return running.next;
  }

  private startEndedQuery(server: BackendServer): Promise<boolean> {
    const key = incarnationKey(server);
    const answer = this.queryEnded(server).finally(() =>
      this.endedQueries.delete(key),
    );
    this.endedQueries.set(key, {answer, next: undefined});
    return answer;
  }

  private async queryEnded(
    server: BackendServer,
    questions = 1,
  ): Promise<boolean> {
    const queriedAtMs = this.options.nowMs();
    const {address, startedAtMs} = server;
    const {control, fleet, leavingServers} = this.options;
    try {
      const report = await control.fetchReport(address, REPORT_TIMEOUT_MS);
      leavingServers.recordReport(server, report);
      if (report.startedAtMs <= startedAtMs) return false;
      fleet.observe({server: server.server, ...report}, queriedAtMs);
      return true;
    } catch (error) {
      const cause = String(error);
      const isLost = CONNECTION_LOST.test(cause);
      if (isLost && questions < MAX_ENDED_QUESTIONS) {
        await delay(ENDED_RETRY_DELAY_MS);
        return this.queryEnded(server, questions + 1);
      }
      if (!isLost && !isRefusedConnection(cause)) return false;
      this.suspectServer(address, cause, queriedAtMs);
      return true;
    }
  }

  /**
   * Clears the marks of servers that have recovered or are gone. Suspected and
   * refusing ones are queried during a hold too, since other entries do not use
   * them for as long as this one reports the mark.
   */
  async checkMarkedServers(): Promise<void> {
    const {fleet} = this.options;
    await Promise.all([
      ...fleet.ownSuspicions().map(address => this.probeSuspected(address)),
      ...fleet.ownRefusing().map(address => this.checkHealth(address)),
      ...fleet
        .ownSlowServers()
        .filter(([address]) => !this.isOnHold(address))
        .map(([address]) => this.fetchReport(address)),
    ]);
  }

  /** Whether the server wants nothing from this entry that can be left out. */
  private isOnHold(address: ServerAddress): boolean {
    const {fleet, holds, nowMs} = this.options;
    const server = fleet.findByAddress(address);
    return server !== undefined && !holds.maySend(server, nowMs());
  }

  /**
   * Probes all servers of a path whose streams stalled together. A server that
   * refuses connections is suspected at once, one that does not respond only
   * after a timeout.
   */
  probePath(path: ServerPath): void {
    const {nowMs, fleet} = this.options;
    const first = path[0].server.address;
    const now = nowMs();
    const lastMs = this.lastPathProbeAtMs.get(first) ?? -Infinity;
    if (now - lastMs < MIN_PATH_PROBE_INTERVAL_MS) return;
    this.lastPathProbeAtMs.set(first, now);
    const servers = path
      .map(({server}) => server.address)
      .filter(address => !fleet.isSuspected(address));
    void this.probeServers(servers);
  }

  /**
   * Suspects a server that does not respond in time while all others do. If
   * several do not respond, this process itself may have been slow, so they
   * are queried again with a longer timeout.
   */
  private async probeServers(servers: readonly ServerAddress[]): Promise<void> {
    const {control, nowMs} = this.options;
    const queriedAtMs = nowMs();
    const failures: Array<{address: ServerAddress; cause: string}> = [];
    const probe = async (address: ServerAddress): Promise<void> => {
      try {
        const report = await control.fetchReport(
          address,
          PATH_PROBE_TIMEOUT_MS,
        );
        this.applyReport(address, report, queriedAtMs);
      } catch (error) {
        const cause = String(error);
        if (isRefusedConnection(cause))
          this.suspectServer(address, cause, queriedAtMs);
        else failures.push({address, cause});
      }
    };
    await Promise.all(servers.map(probe));
    if (failures.length === 1) {
      const [{address, cause}] = failures;
      return this.suspectServer(address, cause, queriedAtMs);
    }
    for (const {address} of failures) void this.fetchReport(address);
  }

  /** Updates the fleet with the layers and slowdown factor of the report. */
  private recordReport(address: ServerAddress, report: ServerReport): void {
    const {fleet, leavingServers, nowMs, logger} = this.options;
    const known = fleet.findByAddress(address);
    if (known) {
      fleet.observe({server: known.server, ...report}, nowMs());
      leavingServers.recordReport(known, report);
    }
    const {slowdownFactor: pace} = report;
    if (!fleet.recordSlowdown(address, pace, nowMs())) return;
    logger.info('server has another pace', {peer: address, pace});
  }

  /** Returns whether the server may be queried now; records it if so. */
  private tryBeginQuery(address: ServerAddress): boolean {
    const {nowMs, fleet} = this.options;
    const now = nowMs();
    if (fleet.isSuspected(address)) return false;
    const lastMs = this.lastQueryAtMs.get(address) ?? -Infinity;
    if (now - lastMs < MIN_QUERY_INTERVAL_MS) return false;
    this.lastQueryAtMs.set(address, now);
    return true;
  }

  private async checkHealth(address: ServerAddress): Promise<void> {
    const {fleet, control, logger, healthPathOf, onServerLost} = this.options;
    const server = fleet.findByAddress(address);
    if (!server) {
      fleet.clearRefusing(address);
      return;
    }
    const path = healthPathOf(server.service);
    const queriedAtMs = this.options.nowMs();
    const health = await control.checkHealth(address, path, REPORT_TIMEOUT_MS);
    switch (health) {
      case 'leaving':
        return this.options.leavingServers.record(server, 'health_check');
      case 'unhealthy':
        if (!fleet.markRefusing(address)) return;
        logger.warn('server refuses requests', {peer: address});
        return onServerLost();
      case 'healthy':
        if (fleet.clearRefusing(address)) {
          logger.info('server takes requests again', {peer: address});
        }
        return void this.fetchReport(address);
      case 'silent':
        return this.suspectServer(
          address,
          'no response to the health check',
          queriedAtMs,
        );
      default:
        return;
    }
  }

  /** Clears the suspicion of a server if it responds or is gone. */
  private async probeSuspected(address: ServerAddress): Promise<void> {
    const {fleet, control, logger} = this.options;
    if (!fleet.findByAddress(address)) {
      fleet.clearSuspicion(address);
      return;
    }
    try {
      const report = await control.fetchReport(address, REPORT_TIMEOUT_MS);
      this.recordReport(address, report);
      if (!fleet.clearSuspicion(address)) return;
      logger.info('server answers again', {peer: address});
    } catch (error) {
      logger.debug('suspected server still does not respond', {
        peer: address,
        cause: String(error),
      });
    }
  }

  private async fetchReport(address: ServerAddress): Promise<void> {
    const {control, nowMs} = this.options;
    const queriedAtMs = nowMs();
    try {
      const report = await control.fetchReport(address, REPORT_TIMEOUT_MS);
      this.applyReport(address, report, queriedAtMs);
    } catch (error) {
      this.suspectServer(address, String(error), queriedAtMs);
    }
  }

  /** Records a report and suspects the servers that requests wait for. */
  private applyReport(
    address: ServerAddress,
    report: ServerReport,
    queriedAtMs: number,
  ): void {
    const {logger} = this.options;
    this.recordReport(address, report);
    const stalledServers = new Set(
      report.stalled.map(stalled => stalled.address),
    );
    for (const other of stalledServers) {
      const cause = `stalls requests that began at ${address}`;
      this.suspectServer(other, cause, queriedAtMs - MIN_REPORTED_STALL_MS);
    }
    if (stalledServers.size > 0) return;
    const {
      isBusy,
      slowdownFactor: pace,
      layers,
      reloadingLayerTokens: reloadingCells,
    } = report;
    const fields = {isBusy, pace, ...layers, reloadingCells};
    logger.debug('queried server reports no stalled requests', {
      peer: address,
      ...fields,
    });
  }
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs).unref());
}

function incarnationKey({server, startedAtMs}: BackendServer): string {
  return `${server} ${startedAtMs}`;
}
