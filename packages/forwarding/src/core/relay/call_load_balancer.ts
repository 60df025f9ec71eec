/**
 * Selects the server for a plain call by its calls in flight, its recent
 * latency and its recent failures. Pure; times are arguments.
 */
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';

/** Weight of the newest latency in the moving average. */
const LATENCY_AVERAGE_WEIGHT = 0.3;

/**
 * Half-life of recorded failures and of the difference between a server's
 * average latency and `INITIAL_LATENCY_MS`.
 */
const STATS_HALF_LIFE_MS = 3000;

/** Latency assumed for a server that has not responded yet. */
const INITIAL_LATENCY_MS = 20;

/** Relative increase of a server's score for each recent failure. */
const SCORE_INCREASE_PER_FAILURE = 4;

/** Extra latency assumed for a server in another availability zone. */
const OTHER_ZONE_LATENCY_MS = 2;

interface ServerStats {
  inFlight: number;
  /** Moving average; decays to `INITIAL_LATENCY_MS` over time. */
  latencyMs: number;
  /** Number of failures; decays to 0 over time. */
  failures: number;
  updatedAtMs: number;
}

export class CallLoadBalancer {
  private readonly statsByServer = new Map<ServerAddress, ServerStats>();

  /** Returns the server with the lowest score that is not excluded. */
  select(
    servers: readonly BackendServer[],
    excluded: ReadonlySet<ServerAddress>,
    ownZone: string,
    nowMs: number,
  ): BackendServer | undefined {
    let best: BackendServer | undefined;
    let bestScore = Infinity;
    for (const server of servers) {
      if (excluded.has(server.address)) continue;
      const score = this.score(server, ownZone, nowMs);
      if (score >= bestScore) continue;
      best = server;
      bestScore = score;
    }
    return best;
  }

  recordStart(address: ServerAddress, nowMs: number): void {
    this.currentStats(address, nowMs).inFlight++;
  }

  recordSuccess(
    address: ServerAddress,
    latencyMs: number,
    nowMs: number,
  ): void {
    const stats = this.recordEnd(address, nowMs);
    stats.latencyMs += LATENCY_AVERAGE_WEIGHT * (latencyMs - stats.latencyMs);
  }

  recordFailure(address: ServerAddress, nowMs: number): void {
    this.recordEnd(address, nowMs).failures++;
  }

  /** Records that the caller disconnected, which is no fault of the server. */
  recordCancellation(address: ServerAddress, nowMs: number): void {
    this.recordEnd(address, nowMs);
  }

  /** Records that no response came before the attempt's timeout. */
  recordTimeout(
    address: ServerAddress,
    elapsedMs: number,
    nowMs: number,
  ): void {
    const stats = this.recordEnd(address, nowMs);
    stats.latencyMs = Math.max(stats.latencyMs, elapsedMs);
    stats.failures++;
  }

  /** Drops the statistics of servers not listed that have no call in flight. */
  retainServers(addresses: ReadonlySet<ServerAddress>): void {
    for (const [address, {inFlight}] of this.statsByServer) {
      if (inFlight === 0 && !addresses.has(address)) {
        this.statsByServer.delete(address);
      }
    }
  }

  /** Expected latency, increased for failures; lower is better. */
  private score(
    {address, availabilityZone}: BackendServer,
    ownZone: string,
    nowMs: number,
  ): number {
    const stats = this.currentStats(address, nowMs);
    const zoneMs = availabilityZone === ownZone ? 0 : OTHER_ZONE_LATENCY_MS;
    const busyMs = (stats.inFlight + 1) * stats.latencyMs + zoneMs;
    return busyMs * (1 + SCORE_INCREASE_PER_FAILURE * stats.failures);
  }

  private recordEnd(address: ServerAddress, nowMs: number): ServerStats {
    const stats = this.currentStats(address, nowMs);
    stats.inFlight = Math.max(0, stats.inFlight - 1);
    return stats;
  }

  /** Returns the server's statistics, decayed to the current time. */
  private currentStats(address: ServerAddress, nowMs: number): ServerStats {
    let stats = this.statsByServer.get(address);
    if (!stats) {
      stats = {
        inFlight: 0,
        latencyMs: INITIAL_LATENCY_MS,
        failures: 0,
        updatedAtMs: nowMs,
      };
      this.statsByServer.set(address, stats);
    }
    const elapsedMs = Math.max(0, nowMs - stats.updatedAtMs);
    const decay = 0.5 ** (elapsedMs / STATS_HALF_LIFE_MS);
    stats.failures *= decay;
    stats.latencyMs =
      INITIAL_LATENCY_MS + (stats.latencyMs - INITIAL_LATENCY_MS) * decay;
    stats.updatedAtMs = nowMs;
    return stats;
  }
}
