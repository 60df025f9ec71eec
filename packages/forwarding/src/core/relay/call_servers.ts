/**
 * Choice of a server for a plain call: by what it has in flight, how long it
 * recently took and how often it failed. Pure; times are arguments.
 */
import type {BackendServer, ServerAddress} from '../fleet/backend_server.js';

/** Weight of the newest answer in the average of answer times. */
const LATENCY_WEIGHT = 0.3;

/** Failures count half after this time, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 3000;

/** Answer time assumed for a server that has not answered yet. */
const INITIAL_LATENCY_MS = 20;

/** Factor on the score of a server for each recent failure. */
const FAILURE_PENALTY = 4;

/** Extra time assumed for a server in another availability zone. */
const OTHER_ZONE_MS = 2;

interface Record {
  inFlight: number;
  latencyMs: number;
  /** Decaying number of failures. */
  failures: number;
  updatedAtMs: number;
}

export class CallServers {
  private readonly records = new Map<ServerAddress, Record>();

  /** Returns the best server that is not excluded. */
  choose(
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

  began(address: ServerAddress, nowMs: number): void {
    this.record(address, nowMs).inFlight++;
  }

  answered(address: ServerAddress, latencyMs: number, nowMs: number): void {
    const record = this.ended(address, nowMs);
    record.latencyMs += LATENCY_WEIGHT * (latencyMs - record.latencyMs);
  }

  failed(address: ServerAddress, nowMs: number): void {
    this.ended(address, nowMs).failures++;
  }

  /** The call was given up by its caller, which says nothing of the server. */
  abandoned(address: ServerAddress, nowMs: number): void {
    this.ended(address, nowMs);
  }

  /** No answer came in the time in which others answer. */
  timedOut(address: ServerAddress, waitedMs: number, nowMs: number): void {
    const record = this.ended(address, nowMs);
    record.latencyMs = Math.max(record.latencyMs, waitedMs);
    record.failures++;
  }

  /** Drops what is known of servers that are gone. */
  retain(addresses: ReadonlySet<ServerAddress>): void {
    for (const [address, {inFlight}] of this.records) {
      if (inFlight === 0 && !addresses.has(address)) {
        this.records.delete(address);
      }
    }
  }

  private score(
    {address, availabilityZone}: BackendServer,
    ownZone: string,
    nowMs: number,
  ): number {
    const record = this.record(address, nowMs);
    const zoneMs = availabilityZone === ownZone ? 0 : OTHER_ZONE_MS;
    const busyMs = (record.inFlight + 1) * record.latencyMs + zoneMs;
    return busyMs * (1 + FAILURE_PENALTY * record.failures);
  }

  private ended(address: ServerAddress, nowMs: number): Record {
    const record = this.record(address, nowMs);
    record.inFlight = Math.max(0, record.inFlight - 1);
    return record;
  }

  /** The record with failures and times decayed to now. */
  private record(address: ServerAddress, nowMs: number): Record {
    let record = this.records.get(address);
    if (!record) {
      record = {
        inFlight: 0,
        latencyMs: INITIAL_LATENCY_MS,
        failures: 0,
        updatedAtMs: nowMs,
      };
      this.records.set(address, record);
    }
    const elapsedMs = Math.max(0, nowMs - record.updatedAtMs);
    const decay = 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
    record.failures *= decay;
    record.latencyMs =
      INITIAL_LATENCY_MS + (record.latencyMs - INITIAL_LATENCY_MS) * decay;
    record.updatedAtMs = nowMs;
    return record;
  }
}
