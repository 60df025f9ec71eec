/**
 * Servers that should get no work for a reason that entries have observed.
 * Marks of this entry last until it clears them, marks of peers as long as
 * the peers repeat them. Pure; times are arguments.
 */
import type {ServerAddress} from './backend_server.js';

/** A peer's mark that it no longer tells ends after this time. */
const TOLD_MS = 1500;

export class ServerMarks {
  /** End of each mark; infinite for marks of this entry. */
  private readonly untilMs = new Map<ServerAddress, number>();

  has(address: ServerAddress): boolean {
    return this.untilMs.has(address);
  }

  /** Returns whether the server was not marked before. */
  mark(address: ServerAddress): boolean {
    const isNew = !this.has(address);
    this.untilMs.set(address, Infinity);
    return isNew;
  }

  /** Takes the mark of a peer; returns whether the server was not marked. */
  markAsTold(address: ServerAddress, nowMs: number): boolean {
    const isNew = !this.has(address);
    if (this.untilMs.get(address) === Infinity) return false;
    this.untilMs.set(address, nowMs + TOLD_MS);
    return isNew;
  }

  clear(address: ServerAddress): boolean {
    return this.untilMs.delete(address);
  }

  /** Servers that this entry itself has marked. */
  own(): ServerAddress[] {
    return [...this.untilMs]
      .filter(([, untilMs]) => untilMs === Infinity)
      .map(([address]) => address);
  }

  /** Returns whether a mark has ended. */
  expire(nowMs: number): boolean {
    let hasEnded = false;
    for (const [address, untilMs] of this.untilMs) {
      if (untilMs > nowMs) continue;
      this.untilMs.delete(address);
      hasEnded = true;
    }
    return hasEnded;
  }
}
