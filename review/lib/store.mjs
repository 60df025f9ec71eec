/* global Buffer, URL, clearInterval, clearTimeout, performance, setInterval, setTimeout */
/** Stand-in of the platform's store: keys, prefixes, watches and leases. */
import {createServer} from 'node:http';

const MAX_PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 50;

export class Store {
  constructor() {
    this.items = new Map();
    this.events = [];
    this.revision = 10;
    this.leases = new Map();
    this.nextLease = 100;
    this.waiting = new Set();
    this.watchResponses = new Set();
    this.timer = setInterval(() => this.endLeases(), LEASE_CHECK_MS);
    this.server = createServer((req, res) => this.handle(req, res));
  }

  /** Returns the port on which it listens. */
  async start() {
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    return this.server.address().port;
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes as the operator or a server does; the return is the ack. */
  put(key, value, lease = 0) {
    const raw = Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    const revision = ++this.revision;
    const known = this.items.get(key);
    const item = {
      key,
      value: raw.toString('base64'),
      revision,
      create_rev: known ? known.create_rev : revision,
      lease,
    };
    this.items.set(key, item);
    this.addEvent(item);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.addEvent({key, revision: ++this.revision, deleted: true});
  }

  /** Closes the channels of the watches that wait. */
  cutWatches() {
    for (const res of this.watchResponses) res.destroy();
  }

  addEvent(event) {
    this.events.push(event);
    for (const check of [...this.waiting]) check();
  }

  endLeases() {
    const now = performance.now();
    for (const [id, lease] of this.leases)
      if (lease.endsAt <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    for (const item of [...this.items.values()])
      if (item.lease === id) this.remove(item.key);
  }

  async handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url, 'http://store');
    this.watchResponses.add(res);
    const [status, body] = await this.call(url, text);
    this.watchResponses.delete(res);
    if (res.destroyed) return;
    res.writeHead(status, {'Content-Type': 'application/json'});
    res.end(body === undefined ? '' : JSON.stringify(body));
  }

  async call(url, text) {
    const get = name => url.searchParams.get(name) ?? '';
    const [, , call, id] = url.pathname.split('/');
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(get('key'));
        return item ? [200, {...item, current_rev: this.revision}] : [404];
      }
      case 'kv-range':
        return [200, this.range(get('prefix'), get('after'))];
      case 'kv-watch':
        return this.watch(get('prefix'), Number(get('after')), get('wait_ms'));
      case 'kv-txn':
        return this.transact(JSON.parse(text));
      case 'kv-lease': {
        const ttlMs = Math.max(1000, JSON.parse(text).ttl_ms);
        const lease = this.nextLease++;
        this.leases.set(lease, {ttlMs, endsAt: performance.now() + ttlMs});
        return [200, {lease, ttl_ms: ttlMs}];
      }
      case 'kv-keep': {
        const lease = this.leases.get(Number(id));
        if (!lease) return [404];
        lease.endsAt = performance.now() + lease.ttlMs;
        return [200, {ttl_ms: lease.ttlMs}];
      }
      case 'kv-lease-end':
        this.endLease(Number(id));
        return [200, {}];
      default:
        return [400];
    }
  }

  range(prefix, after) {
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    return {
      items: keys.slice(0, MAX_PAGE_ITEMS).map(key => this.items.get(key)),
      more_pages: keys.length > MAX_PAGE_ITEMS,
      current_rev: this.revision,
    };
  }

  async watch(prefix, after, waitMs) {
    const found = () =>
      this.events.filter(e => e.revision > after && e.key.startsWith(prefix));
    if (found().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer);
          this.waiting.delete(check);
          resolve();
        };
        const check = () => found().length > 0 && end();
        const timer = setTimeout(end, Math.min(Number(waitMs), 30_000));
        this.waiting.add(check);
      });
    }
    return [200, {events: found(), current_rev: this.revision}];
  }

  transact({expected = [], puts = [], remove = []}) {
    const keys = [...puts.map(({key}) => key), ...remove];
    if (keys.some(key => /^(op|servers)\//.test(key))) return [403];
    const isMet = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected.map(
        ({key}) => this.items.get(key) ?? {key, revision: 0},
      );
      return [412, {items}];
    }
    if (puts.some(({lease}) => lease && !this.leases.has(lease))) return [404];
    for (const {key, value, lease} of puts)
      this.put(key, Buffer.from(value, 'base64'), lease);
    for (const key of remove) this.remove(key);
    return [200, {revision: this.revision}];
  }
}
