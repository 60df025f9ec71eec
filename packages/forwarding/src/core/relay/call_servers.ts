/** Selects the servers for one plain call. Times are arguments. */
import type {RefusalReason, ServiceId} from '@azurecrank/core';
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {ServerHolds} from '../limits/server_holds.js';
import type {SharedServerLimits} from '../limits/shared_server_limits.js';
import type {CallLoadBalancer} from './call_load_balancer.js';

export interface CallServersOptions {
  readonly availabilityZone: string;
  readonly fleet: FleetView;
  readonly balancer: CallLoadBalancer;
  readonly limits: SharedServerLimits;
  readonly holds: ServerHolds;
}

/** Why no server can be selected. */
export interface NoServer {
  readonly detail: string;
  readonly reason: RefusalReason;
  /** Undefined if it is not known when a server can be selected. */
  readonly retryAfterMs?: number;
}

export class CallServers {
  /** Servers that are not selected again. */
  private readonly tried = new Set<ServerAddress>();
  private readonly triedBefore = new Set<ServerAddress>();

  constructor(
    private readonly service: ServiceId,
    private readonly options: CallServersOptions,
  ) {}

  /**
   * Prefers usable servers; falls back to suspected or refusing ones. Leaves out
   * servers that take no more requests for now, and those that were tried.
   */
  select(nowMs: number): BackendServer | undefined {
    const {fleet, balancer, availabilityZone, limits, holds} = this.options;
    const select = (candidates: BackendServer[]) =>
      balancer.select(
        candidates.filter(
          server =>
            holds.maySend(server, nowMs) &&
            limits.maySend(server.address, server.service, nowMs),
        ),
        this.tried,
        availabilityZone,
        nowMs,
      );
    return (
      select(fleet.usable(this.service)) ??
      select(fleet.nonLeaving(this.service))
    );
  }

  recordAttempt(server: BackendServer, nowMs: number): void {
    const {limits, holds, balancer} = this.options;
    this.tried.add(server.address);
    this.triedBefore.add(server.address);
    limits.recordSend(server.address, nowMs);
    holds.recordSend(server, nowMs);
    balancer.recordStart(server.address, nowMs);
  }

  /** Whether the call has been sent to the server. */
  wasTried({address}: BackendServer): boolean {
    return this.triedBefore.has(address);
  }

  /** Lets a server be selected that was tried. */
  allowAgain({address}: BackendServer): void {
    this.tried.delete(address);
  }

  /**
   * Time until an untried server takes requests again, if all of them are on
   * hold: 0 while only trials are awaited. Undefined if one is not on hold, or
   * if there is none.
   */
  untriedHeldForMs(nowMs: number): number | undefined {
    const {fleet, holds} = this.options;
    const untried = this.untried(fleet.nonLeaving(this.service));
    const isHeld =
      untried.length > 0 &&
      !untried.some(server => holds.maySend(server, nowMs));
    return isHeld ? this.shortestHoldMs(untried, nowMs) : undefined;
  }

  /** Time until any server takes requests; 0 if one does or there is none. */
  heldForMs(nowMs: number): number {
    const servers = this.options.fleet.nonLeaving(this.service);
    return servers.length > 0 ? this.shortestHoldMs(servers, nowMs) : 0;
  }

  /** Explains why no server was selected. */
  explainNone(nowMs: number): NoServer {
    const {fleet, limits, holds} = this.options;
    const untried = this.untried(fleet.usable(this.service));
    if (untried.length === 0)
      return {detail: 'no untried server is available', reason: 'no_server'};
    const limited = untried.filter(server => holds.maySend(server, nowMs));
    if (limited.length === 0)
      return {detail: 'all servers are on hold', reason: 'server_backoff'};
    return {
      detail: 'all servers have reached the limits that they name',
      reason: 'server_limit_reached',
      retryAfterMs: Math.min(
        ...limited.map(({address}) => limits.retryAfterMs(address, nowMs)),
      ),
    };
  }

  private untried(servers: BackendServer[]): BackendServer[] {
    return servers.filter(({address}) => !this.tried.has(address));
  }

  private shortestHoldMs(
    servers: readonly BackendServer[],
    nowMs: number,
  ): number {
    const {holds} = this.options;
    return Math.min(...servers.map(s => holds.remainingMs(s, nowMs)));
  }
}
