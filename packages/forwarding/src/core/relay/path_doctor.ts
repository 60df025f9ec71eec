/**
 * Finds out why streams are silent. The first server of a path reports which
 * other server its requests wait for; if it does not answer itself, it is the
 * one at fault. Asks each server once for all streams that wait for it.
 */
import type {Logger, ServiceId} from '@azurecrank/core';
import type {ServerControl, ServerReport} from '../adapter/wire_codec.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {describePath, type ServerPath} from '../paths/server_path.js';
import type {ModelSpec} from '../routing/routing_table.js';
import {PathSpeeds} from './path_speeds.js';

export interface PathDoctorOptions {
  readonly control: ServerControl;
  readonly fleet: FleetView;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Whether this process itself did not run for a while just now. */
  readonly wasPaused: () => boolean;
  readonly healthPathOf: (service: ServiceId) => string;
  /** Whether a stream through the server had an event since then. */
  readonly hasProgress: (address: ServerAddress, sinceMs: number) => boolean;
  /** A server was found not to answer, or to refuse requests. */
  readonly onServerLost: () => void;
}

/** Reports lag by some 200 ms, so asking more often shows nothing new. */
const MIN_PERIOD_MS = 180;

/** Time for a report; servers answer within a few milliseconds. */
const REPORT_TIMEOUT_MS = 350;

/** Least time between questions to all servers of a path that is slow. */
const PACE_PERIOD_MS = 3000;

/** Nothing listens at the address, whatever the state of the links is. */
const REFUSED = 'ECONNREFUSED';

/** Time for answers of all servers on a silent path. */
const PATH_PROBE_TIMEOUT_MS = 80;

/** Least time between probes of the same path. */
const PATH_PROBE_PERIOD_MS = 400;

/** Requests that wait for a server had no event for at least this time. */
const STALLED_MS = 100;

/** Period of probes to suspected servers. */
export const PROBE_PERIOD_MS = 1000;

/** Streams of a server count as moving for this time after an event. */
const ACTIVE_MS = 400;

export class PathDoctor {
  private readonly askedAtMs = new Map<ServerAddress, number>();
  private readonly pathProbedAtMs = new Map<ServerAddress, number>();
  private readonly paceAskedAtMs = new Map<ServerAddress, number>();
  private readonly speeds = new PathSpeeds();
  private readonly activeAtMs = new Map<ServerAddress, number>();

  constructor(private readonly options: PathDoctorOptions) {}

  /** An event came from a stream that begins at this server. */
  noteEvent(first: ServerAddress, nowMs: number): void {
    this.activeAtMs.set(first, nowMs);
  }

  /** Two events of a stream on this path came that long after each other. */
  noteInterval(model: ModelSpec, path: ServerPath, intervalMs: number): void {
    const first = path[0].server.address;
    if (!this.speeds.note(first, intervalMs)) return;
    if (!this.speeds.isSlow(model, path)) return;
    this.speeds.forget(first);
    const now = this.options.nowMs();
    const lastMs = this.paceAskedAtMs.get(first) ?? -Infinity;
    if (now - lastMs < PACE_PERIOD_MS) return;
    this.paceAskedAtMs.set(first, now);
    this.options.logger.info('path is slow', {path: describePath(path)});
    for (const {server} of path) void this.ask(server.address);
  }

  /** Whether other streams of this server get events. */
  isActive(first: ServerAddress, nowMs: number): boolean {
    return nowMs - (this.activeAtMs.get(first) ?? -Infinity) < ACTIVE_MS;
  }

  /** Asks a server about its streams and itself, at most once a period. */
  examine(address: ServerAddress): void {
    if (this.mayAsk(address)) void this.ask(address);
  }

  /**
   * Records a server that gave no answer.
   * @param askedAtMs when it was asked: events that came since then show that
   *     it lives, and only the answer was lost
   */
  suspect(address: ServerAddress, cause: string, askedAtMs: number): void {
    const {fleet, logger, onServerLost, wasPaused} = this.options;
    if (wasPaused() || !fleet.at(address)) return;
    if (this.options.hasProgress(address, askedAtMs)) {
      logger.info('suspicion is not shared by events', {peer: address, cause});
      return;
    }
    if (!fleet.suspect(address)) return;
    logger.warn('server suspected', {peer: address, cause});
    onServerLost();
  }

  /**
   * A server has refused a request: because it leaves or fails, which its
   * health shows, or because it is short of memory.
   */
  examineRefusal(address: ServerAddress): void {
    if (!this.mayAsk(address)) return;
    void this.checkHealth(address);
  }

  /** Ends marks of servers that are well again or gone. */
  async probeMarked(): Promise<void> {
    const {fleet} = this.options;
    await Promise.all([
      ...fleet.ownSuspicions().map(address => this.probe(address)),
      ...fleet.ownRefusing().map(address => this.checkHealth(address)),
      ...fleet.ownSlow().map(([address]) => this.ask(address)),
    ]);
  }

  /**
   * Streams on this path fell silent together: asks all of its servers at
   * once. A server that refuses connections is lost for certain; one that
   * does not answer at all is given a little time.
   */
  probePath(path: ServerPath): void {
    const {nowMs, fleet} = this.options;
    const first = path[0].server.address;
    const now = nowMs();
    const lastMs = this.pathProbedAtMs.get(first) ?? -Infinity;
    if (now - lastMs < PATH_PROBE_PERIOD_MS) return;
    this.pathProbedAtMs.set(first, now);
    const servers = path
      .map(({server}) => server.address)
      .filter(address => !fleet.isSuspected(address));
    void this.probeAll(servers);
  }

  /**
   * One server that does not answer quickly while the others do is lost. Where
   * several do not, this process may have been slow: they get more time.
   */
  private async probeAll(servers: readonly ServerAddress[]): Promise<void> {
    const {control, nowMs} = this.options;
    const askedAtMs = nowMs();
    const failures: Array<{address: ServerAddress; cause: string}> = [];
    const probe = async (address: ServerAddress): Promise<void> => {
      try {
        const report = await control.report(address, PATH_PROBE_TIMEOUT_MS);
        this.takeReport(address, report, askedAtMs);
      } catch (error) {
        const cause = String(error);
        if (cause.includes(REFUSED)) this.suspect(address, cause, askedAtMs);
        else failures.push({address, cause});
      }
    };
    await Promise.all(servers.map(probe));
    if (failures.length === 1) {
      const [{address, cause}] = failures;
      return this.suspect(address, cause, askedAtMs);
    }
    for (const {address} of failures) void this.ask(address);
  }

  private observe(address: ServerAddress, report: ServerReport): void {
    const {fleet, nowMs, logger} = this.options;
    const server = fleet.at(address)?.server;
    if (server) fleet.observe({server, ...report}, nowMs());
    const {pace} = report;
    if (!fleet.notePace(address, pace, nowMs())) return;
    logger.info('server has another pace', {peer: address, pace});
  }

  private mayAsk(address: ServerAddress): boolean {
    const {nowMs, fleet} = this.options;
    const now = nowMs();
    if (fleet.isSuspected(address)) return false;
    const lastMs = this.askedAtMs.get(address) ?? -Infinity;
    if (now - lastMs < MIN_PERIOD_MS) return false;
    this.askedAtMs.set(address, now);
    return true;
  }

  private async checkHealth(address: ServerAddress): Promise<void> {
    const {fleet, control, logger, healthPathOf, onServerLost} = this.options;
    const server = fleet.at(address);
    if (!server) {
      fleet.clearRefusing(address);
      return;
    }
    const path = healthPathOf(server.service);
    const askedAtMs = this.options.nowMs();
    const health = await control.health(address, path, REPORT_TIMEOUT_MS);
    switch (health) {
      case 'unhealthy':
        if (!fleet.noteRefusing(address)) return;
        logger.warn('server refuses requests', {peer: address});
        return onServerLost();
      case 'healthy':
        if (fleet.clearRefusing(address)) {
          logger.info('server takes requests again', {peer: address});
        }
        return void this.ask(address);
      case 'silent':
        return this.suspect(address, 'no answer about its health', askedAtMs);
      default:
        return;
    }
  }

  private async probe(address: ServerAddress): Promise<void> {
    const {fleet, control, logger} = this.options;
    if (!fleet.at(address)) {
      fleet.clearSuspicion(address);
      return;
    }
    try {
      const report = await control.report(address, REPORT_TIMEOUT_MS);
      this.observe(address, report);
      if (!fleet.clearSuspicion(address)) return;
      logger.info('server answers again', {peer: address});
    } catch (error) {
      logger.debug('suspected server is silent', {
        peer: address,
        cause: String(error),
      });
    }
  }

  private async ask(address: ServerAddress): Promise<void> {
    const {control, nowMs} = this.options;
    const askedAtMs = nowMs();
    try {
      const report = await control.report(address, REPORT_TIMEOUT_MS);
      this.takeReport(address, report, askedAtMs);
    } catch (error) {
      this.suspect(address, String(error), askedAtMs);
    }
  }

  private takeReport(
    address: ServerAddress,
    report: ServerReport,
    askedAtMs: number,
  ): void {
    const {logger} = this.options;
    this.observe(address, report);
    const silent = new Set(report.stalled.map(stalled => stalled.address));
    for (const other of silent) {
      const cause = `requests at ${address} wait for it`;
      this.suspect(other, cause, askedAtMs - STALLED_MS);
    }
    if (silent.size > 0) return;
    const {isBusy, pace, layers, reloadingCells} = report;
    const fields = {isBusy, pace, ...layers, reloadingCells};
    logger.debug('silent server answers', {peer: address, ...fields});
  }
}
