/**
 * Servers that have reported to be slower than their kind. Reports of this
 * entry count until a newer one, those of peers as long as they are repeated.
 * Pure; times are arguments.
 */
import type {ServerAddress} from './backend_server.js';

/** A server at less than this factor is not worth a detour. */
const SLOW_PACE = 1.5;

/** Own reports are renewed each second; after this time they are forgotten. */
const OWN_MS = 3000;

/** What a peer no longer tells is forgotten after this time. */
const TOLD_MS = 1500;

interface Slow {
  readonly pace: number;
  readonly untilMs: number;
  readonly isOwn: boolean;
}

export class SlowServers {
  private readonly servers = new Map<ServerAddress, Slow>();

  /** Takes a report; returns whether another pace is in force now. */
  note(address: ServerAddress, pace: number, nowMs: number): boolean {
    return this.set(address, {pace, untilMs: nowMs + OWN_MS, isOwn: true});
  }

  /** Takes what a peer tells; own reports are newer. */
  noteAsTold(address: ServerAddress, pace: number, nowMs: number): boolean {
    if (this.servers.get(address)?.isOwn) return false;
    return this.set(address, {pace, untilMs: nowMs + TOLD_MS, isOwn: false});
  }

  /** Factor on the times of the server; 1 if it is as fast as its kind. */
  paceOf(address: ServerAddress): number {
    return this.servers.get(address)?.pace ?? 1;
  }

  /** Own reports, for peers and to be renewed. */
  own(): Array<[ServerAddress, number]> {
    return [...this.servers]
      .filter(([, {isOwn}]) => isOwn)
      .map(([address, {pace}]) => [address, pace]);
  }

  /** Returns whether a server is no longer known as slow. */
  expire(nowMs: number): boolean {
    let hasEnded = false;
    for (const [address, {untilMs}] of this.servers) {
      if (untilMs > nowMs) continue;
      this.servers.delete(address);
      hasEnded = true;
    }
    return hasEnded;
  }

  private set(address: ServerAddress, slow: Slow): boolean {
    const before = this.paceOf(address);
    if (slow.pace < SLOW_PACE) return this.servers.delete(address);
    this.servers.set(address, slow);
    return before !== slow.pace;
  }
}
