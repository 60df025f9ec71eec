/** Stand-in for the key-value service: compare-and-swap, leases, watches. */
import type {KeyValueEntry} from '@azurecrank/core';
import {
  StandinServer,
  parseJson,
  type StandinAnswer,
  type StandinRequest,
} from '../http/standin_server.js';

interface StoredEntry extends KeyValueEntry {
  readonly lease?: string;
}

interface StoredLease {
  readonly ttlMs: number;
  readonly fence: number;
  expiresMs: number;
}

interface Watcher {
  readonly afterRevision: number;
  wake(entry: KeyValueEntry | undefined): void;
}

const MAX_VALUE_BYTES = 1024 * 1024;
const LEASE_SWEEP_MS = 50;

export class KeyValueStandin extends StandinServer {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<string, StoredLease>();
  private readonly watchers = new Map<string, Set<Watcher>>();
  private revision = 0;
  private fence = 0;
  private readCount = 0;
  private writeCount = 0;
  private readonly sweep: NodeJS.Timeout;

  constructor() {
    super();
    this.sweep = setInterval(() => this.expireLeases(), LEASE_SWEEP_MS);
    this.sweep.unref();
    this.addKeyRoutes();
    this.addLeaseRoutes();
    this.route('GET', '/counts', async () => ({
      status: 200,
      body: {reads: this.readCount, writes: this.writeCount},
    }));
  }

  override [Symbol.dispose](): void {
    clearInterval(this.sweep);
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
    this.route('PUT', '/kv/:key', async request => this.put(request));
    this.route('DELETE', '/kv/:key', async request => this.delete(request));
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
      const fence = ++this.fence;
      const lease = `lease-${fence}`;
      const expiresMs = performance.now() + ttlMs;
      this.leases.set(lease, {ttlMs, fence, expiresMs});
      return {status: 201, body: {lease, fence, ttlMs}};
    });
    this.route('POST', '/leases/:lease/keepalive', async ({params}) => {
      this.writeCount++;
      this.expireLeases();
      const lease = this.leases.get(params.lease);
      if (!lease) return {status: 404};
      lease.expiresMs = performance.now() + lease.ttlMs;
      return {status: 200, body: {}};
    });
    this.route('DELETE', '/leases/:lease', async ({params}) => {
      this.writeCount++;
      this.endLease(params.lease);
      return {status: 204};
    });
  }

  private put(request: StandinRequest): StandinAnswer {
    this.writeCount++;
    this.expireLeases();
    const key = decodeURIComponent(request.params.key);
    const {value, lease} = parseJson<{value: string; lease?: string}>(request);
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return {status: 413, body: {error: 'value exceeds 1 MB'}};
    }
    if (lease && !this.leases.has(lease)) return this.conflict(key);
    if (!this.isAt(key, request)) return this.conflict(key);
    const revision = ++this.revision;
    this.entries.set(key, {key, value, revision, lease});
    this.notify(key);
    return {status: 200, body: {revision}};
  }

  private delete(request: StandinRequest): StandinAnswer {
    this.writeCount++;
    const key = decodeURIComponent(request.params.key);
    if (!this.isAt(key, request)) return this.conflict(key);
    this.removeKey(key);
    return {status: 200, body: {revision: this.revision}};
  }

  private isAt(key: string, {query}: StandinRequest): boolean {
    const current = this.entries.get(key)?.revision ?? 0;
    return current === Number(query.get('expected'));
  }

  private conflict(key: string): StandinAnswer {
    return {status: 409, body: {current: this.entries.get(key)}};
  }

  private removeKey(key: string): void {
    this.revision++;
    this.entries.delete(key);
    this.notify(key);
  }

  private waitForChange(
    key: string,
    afterRevision: number,
    timeoutMs: number,
  ): Promise<StandinAnswer> {
    const entry = this.entries.get(key);
    if ((entry?.revision ?? 0) !== afterRevision) {
      return Promise.resolve(toAnswer(entry));
    }
    return new Promise(resolve => {
      const watchers = this.watchers.get(key) ?? new Set();
      this.watchers.set(key, watchers);
      const watcher: Watcher = {
        afterRevision,
        wake: changed => {
          clearTimeout(timer);
          watchers.delete(watcher);
          resolve(toAnswer(changed));
        },
      };
      const timer = setTimeout(() => watcher.wake(undefined), timeoutMs);
      watchers.add(watcher);
    });
  }

  private notify(key: string): void {
    const entry = this.entries.get(key);
    for (const watcher of [...(this.watchers.get(key) ?? [])]) {
      watcher.wake(entry);
    }
  }

  private expireLeases(): void {
    const nowMs = performance.now();
    for (const [name, lease] of this.leases) {
      if (lease.expiresMs <= nowMs) this.endLease(name);
    }
  }

  private endLease(name: string): void {
    this.leases.delete(name);
    for (const entry of [...this.entries.values()]) {
      if (entry.lease === name) this.removeKey(entry.key);
    }
  }
}

function toAnswer(entry: KeyValueEntry | undefined): StandinAnswer {
  return entry ? {status: 200, body: entry} : {status: 204};
}
