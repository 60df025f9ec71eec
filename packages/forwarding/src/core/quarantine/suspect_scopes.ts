/**
 * Scopes of the requests among a set of suspects. An entry computes the digest
 * of a whole body only for a request whose scope is among them. Pure.
 */
import type {RequestScope} from './request_digest.js';
import {requestScopeOf, type SuspectKey} from './suspect_key.js';

export class SuspectScopes {
  private readonly counts = new Map<RequestScope, number>();

  get isEmpty(): boolean {
    return this.counts.size === 0;
  }

  has(scope: RequestScope): boolean {
    return this.counts.has(scope);
  }

  /** Adds a suspect that was not in the set. */
  add(key: SuspectKey): void {
    const scope = requestScopeOf(key);
    if (scope === undefined) return;
    this.counts.set(scope, (this.counts.get(scope) ?? 0) + 1);
  }

  /** Removes a suspect that was in the set. */
  remove(key: SuspectKey): void {
    const scope = requestScopeOf(key);
    if (scope === undefined) return;
    const count = (this.counts.get(scope) ?? 0) - 1;
    if (count > 0) this.counts.set(scope, count);
    else this.counts.delete(scope);
  }
}
