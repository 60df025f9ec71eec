/**
 * In-memory stand-in for the key-value service, with compare-and-swap writes,
 * leases and watches.
 */
import type {KeyValueEntry} from '@azurecrank/core';
import {
  StandinServer,
  parseJson,
  type StandinResponse,
  type StandinRequest,
} from '../http/standin_server.js';

interface StoredEntry extends KeyValueEntry {
  readonly lease?: string;
}

interface StoredLease {
  readonly ttlMs: number;
  readonly fence: number;
  expiresAtMs: number;
}

/** A watch request that waits for the next change of its key. */
interface Watcher {
  readonly afterRevision: number;
  complete(entry: KeyValueEntry | undefined): void;
}

const MAX_VALUE_BYTES = 1024 * 1024;
const LEASE_EXPIRY_INTERVAL_MS = 50;

export class KeyValueStandin extends StandinServer {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<string, StoredLease>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private lastRevision = 0;
  private lastFence = 0;
  private readCount = 0;
  private writeCount = 0;
  private readonly leaseExpiryTimer: NodeJS.Timeout;

  constructor() {
    super();
    this.leaseExpiryTimer = setInterval(
      () => this.expireLeases(),
      LEASE_EXPIRY_INTERVAL_MS,
    );
    this.leaseExpiryTimer.unref();
    this.addKeyRoutes();
    this.addLeaseRoutes();
    this.route('GET', '/counts', async () => ({
      status: 200,
      body: {reads: this.readCount, writes: this.writeCount},
    }));
  }

  override [Symbol.dispose](): void {
    clearInterval(this.leaseExpiryTimer);
    super[Symbol.dispose]();
  }

  private addKeyRoutes(): void {
    this.route('GET', '/kv', async ({query}) => {
      this.readCount++;
      const prefix = query.get('prefix') ?? '';
      const entries = [...this.entries.values()].filter(entry =>
        entry.key.startsWith(prefix),
      );
      return {status: 200, body: {entries}};
    });
    this.route('GET', '/kv/:key', async ({params}) => {
      this.readCount++;
      const entry = this.entries.get(decodeURIComponent(params.key));
      return entry ? {status: 200, body: entry} : {status: 404};
    });
    this.route('PUT', '/kv/:key', async request => this.putEntry(request));
    this.route('DELETE', '/kv/:key', async request =>
      this.deleteEntry(request),
    );
    this.route('GET', '/watch/:key', async ({params, query}) => {
      this.readCount++;
      const key = decodeURIComponent(params.key);
      const after = Number(query.get('after'));
      return this.waitForChange(key, after, Number(query.get('timeoutMs')));
    });
  }

  private addLeaseRoutes(): void {
    this.route('POST', '/leases', async request => {
      this.writeCount++;
      const {ttlMs} = parseJson<{ttlMs: number}>(request);
      const fence = ++this.lastFence;
      const lease = `lease-${fence}`;
      const expiresAtMs = performance.now() + ttlMs;
      this.leases.set(lease, {ttlMs, fence, expiresAtMs});
      return {status: 201, body: {lease, fence, ttlMs}};
    });
    this.route('POST', '/leases/:lease/keepalive', async ({params}) => {
      this.writeCount++;
      this.expireLeases();
      const lease = this.leases.get(params.lease);
      if (!lease) return {status: 404};
      lease.expiresAtMs = performance.now() + lease.ttlMs;
      return {status: 200, body: {}};
    });
    this.route('DELETE', '/leases/:lease', async ({params}) => {
      this.writeCount++;
      this.removeLease(params.lease);
      return {status: 204};
    });
  }

  private putEntry(request: StandinRequest): StandinResponse {
    this.writeCount++;
    this.expireLeases();
    const key = decodeURIComponent(request.params.key);
    const {value, lease} = parseJson<{value: string; lease?: string}>(request);
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return {status: 413, body: {error: 'value exceeds 1 MB'}};
    }
    if (lease && !this.leases.has(lease)) return this.conflictResponse(key);
    if (!this.hasExpectedRevision(key, request))
      return this.conflictResponse(key);
    const revision = ++this.lastRevision;
    this.entries.set(key, {key, value, revision, lease});
    this.notifyWatchers(key);
    return {status: 200, body: {revision}};
  }

  private deleteEntry(request: StandinRequest): StandinResponse {
    this.writeCount++;
    const key = decodeURIComponent(request.params.key);
    if (!this.hasExpectedRevision(key, request))
      return this.conflictResponse(key);
    this.removeEntry(key);
    return {status: 200, body: {revision: this.lastRevision}};
  }

  /** Compares the entry's revision with `expected`; 0 means no entry. */
  private hasExpectedRevision(key: string, {query}: StandinRequest): boolean {
    const current = this.entries.get(key)?.revision ?? 0;
    return current === Number(query.get('expected'));
  }

  private conflictResponse(key: string): StandinResponse {
    return {status: 409, body: {current: this.entries.get(key)}};
  }

  private removeEntry(key: string): void {
    this.lastRevision++;
    this.entries.delete(key);
    this.notifyWatchers(key);
  }

  /** Responds with 204 on timeout, and when the entry was deleted. */
  private waitForChange(
    key: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<StandinResponse> {
    const entry = this.entries.get(key);
    if ((entry?.revision ?? 0) !== afterRevision) {
      return Promise.resolve(toWatchResponse(entry));
    }
    return new Promise(resolve => {
      const watchers = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, watchers);
      const watcher: Watcher = {
        afterRevision,
        complete: changed => {
          clearTimeout(timer);
          watchers.delete(watcher);
          resolve(toWatchResponse(changed));
        },
      };
      const timer = setTimeout(() => watcher.complete(undefined), timeoutMs);
      watchers.add(watcher);
    });
  }

  private notifyWatchers(key: string): void {
    const entry = this.entries.get(key);
    for (const watcher of [...(this.watchers.get(key) ?? [])]) {
      watcher.complete(entry);
    }
  }

  private expireLeases(): void {
    const nowMs = performance.now();
    for (const [name, lease] of this.leases) {
      if (lease.expiresAtMs <= nowMs) this.removeLease(name);
    }
  }

  private removeLease(name: string): void {
    this.leases.delete(name);
    for (const entry of [...this.entries.values()]) {
      if (entry.lease === name) this.removeEntry(entry.key);
    }
  }
}

function toWatchResponse(entry: KeyValueEntry | undefined): StandinResponse {
  return entry ? {status: 200, body: entry} : {status: 204};
}
