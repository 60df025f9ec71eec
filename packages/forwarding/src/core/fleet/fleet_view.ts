/**
 * Tracks which backend servers may get requests: those that are registered, and
 * neither leave nor are suspected nor refuse requests. Combines registrations
 * with the observations of this entry and of its peers. Pure; times are
 * arguments.
 */
import type {ServerId, ServiceId} from '@azurecrank/core';
import {
  isSameIncarnation,
  isSameRange,
  type BackendServer,
  type LayerRange,
  type ServerAddress,
} from './backend_server.js';
import {LeavingIncarnations} from './leaving_incarnations.js';
import {RegistrationHistory} from './registration_history.js';
import {ServerExclusions} from './server_exclusions.js';
import {SlowServers} from './slow_servers.js';

/**
 * Servers whose registrations expired in an outage of the store register again
 * within 2 s of its return; one that is missing for longer has ended.
 */
export const MISSING_REGISTRATION_GRACE_MS = 2200;

/**
 * Observations of a peer expire after this time unless they are repeated. Own
 * observations are sent to peers for as long.
 */
const PEER_TTL_MS = 1500;

/**
 * Own observations expire after this time if registrations can be read; the
 * registration shows the same layers by then.
 */
const OWN_TTL_MS = 3000;

/**
 * A server that keeps its registration up to date is never further behind with
 * it, so a registration after this time overrules an observation.
 */
const MAX_REGISTRATION_LAG_MS = 6000;

/**
 * Slowdown factor from which running streams are moved off a server: its
 * events come too late on all of them, while a move delays each stream once.
 */
const MIN_VERY_SLOW_FACTOR = 3;

/** Layers that a server has reported to hold. */
export interface HeldLayers {
  readonly server: ServerId;
  readonly startedAtMs: number;
  /** Number of orders that the server had accepted since its start. */
  readonly orderSequence: number;
  readonly layers: LayerRange | undefined;
  /** As in `BackendServer`. */
  readonly reloadingLayerTokens?: number | undefined;
}

interface Observation extends HeldLayers {
  readonly observedAtMs: number;
  /** Whether the server reported to this entry, and not to a peer. */
  readonly isOwn: boolean;
  /** Layers in the registration at the time of the observation. */
  readonly registeredLayers: LayerRange | undefined;
}

export class FleetView {
  private readonly servers = new Map<ServerId, BackendServer>();
  private readonly registrations = new RegistrationHistory();
  /** Servers that do not answer. */
  private readonly suspicions = new ServerExclusions();
  /** Servers that answer, but refuse requests because they leave or fail. */
  private readonly refusals = new ServerExclusions();
  private readonly slowServers = new SlowServers();
  /**
   * Servers without a registration since an outage of the store, with the time
   * at which they are removed.
   */
  private readonly missingServers = new Map<ServerId, number>();
  private readonly leaving = new LeavingIncarnations();
  private readonly observations = new Map<ServerId, Observation>();
  /** Last observation of each server that a registration has replaced. */
  private readonly supersededObservations = new Map<ServerId, Observation>();
  private readonly registeredLayers = new Map<
    ServerId,
    LayerRange | undefined
  >();
  private changeCount = 0;

  /** Rises with each change, so that callers can cache what they derive. */
  get revision(): number {
    return this.changeCount;
  }

  get size(): number {
    return this.servers.size;
  }

  /**
   * Applies a registration. Registrations lag behind the reports of the server
   * by one to two seconds, so an observation takes precedence until the
   * registered layers change. Older registrations are ignored for a while after
   * a restore of the store.
   */
  put(server: BackendServer, nowMs: number): void {
    this.missingServers.delete(server.server);
    if (!this.registrations.record(server, nowMs)) return;
    const observed = this.observations.get(server.server);
    const isObservedNewer =
      observed?.startedAtMs === server.startedAtMs &&
      isSameRange(observed.registeredLayers, server.layers) &&
      nowMs - observed.observedAtMs < MAX_REGISTRATION_LAG_MS;
    const layers = isObservedNewer ? observed.layers : server.layers;
    const reloadingLayerTokens = isObservedNewer
      ? observed.reloadingLayerTokens
      : undefined;
    if (observed && !isObservedNewer) {
      this.observations.delete(server.server);
      this.supersededObservations.set(server.server, observed);
    }
    this.registeredLayers.set(server.server, server.layers);
    const next = {...server, layers, reloadingLayerTokens};
    const known = this.servers.get(server.server);
    // Each heartbeat of a server is a registration, mostly without a change.
    if (known && isSameServer(known, next)) return;
    this.servers.set(server.server, next);
    this.changeCount++;
  }

  remove(server: ServerId): void {
    this.registrations.end(server);
    this.missingServers.delete(server);
    this.observations.delete(server);
    this.supersededObservations.delete(server);
    this.registeredLayers.delete(server);
    if (this.servers.delete(server)) this.changeCount++;
  }

  /**
   * Records that the store was restored from an older copy, before its
   * registrations are applied.
   */
  recordRestore(nowMs: number): void {
    this.registrations.recordRestore(nowMs);
  }

  /**
   * Applies a complete list of registrations. After an outage or a restore of
   * the store, registrations may be missing only because they expired or were
   * lost; their servers are kept for `MISSING_REGISTRATION_GRACE_MS`.
   * @param afterOutage whether the list is the first since one of these
   */
  replaceAll(
    listed: readonly BackendServer[],
    nowMs: number,
    afterOutage: boolean,
  ): void {
    this.registrations.clearIgnored();
    const ids = new Set(listed.map(({server}) => server));
    for (const server of [...this.servers.keys()]) {
      if (ids.has(server)) continue;
      if (!afterOutage) this.remove(server);
      else if (!this.missingServers.has(server)) {
        this.missingServers.set(server, nowMs + MISSING_REGISTRATION_GRACE_MS);
      }
    }
    for (const server of listed) this.put(server, nowMs);
    this.changeCount++;
  }

  /**
   * Removes servers whose registration stayed missing, and expired exclusions,
   * slowdowns and observations.
   * @param isStoreConnected whether registrations can be read. Observations do
   *     not expire otherwise, as there is nothing to replace them.
   */
  expire(nowMs: number, isStoreConnected = true): void {
    if (isStoreConnected) this.expireObservations(nowMs);
    for (const [server, removeAtMs] of this.missingServers) {
      if (removeAtMs <= nowMs) this.remove(server);
    }
    for (const server of this.registrations.takeLeftOver(nowMs))
      this.put(server, nowMs);
    this.leaving.expire(server => this.servers.has(server), nowMs);
    const hasExpired = [this.suspicions, this.refusals].map(e =>
      e.expire(nowMs),
    );
    hasExpired.push(this.slowServers.expire(nowMs));
    if (hasExpired.includes(true)) this.changeCount++;
  }

  /**
   * Records the slowdown factor that a server reports; returns whether the
   * factor in force has changed.
   */
  recordSlowdown(
    address: ServerAddress,
    slowdownFactor: number,
    nowMs: number,
  ): boolean {
    return this.countChange(
      this.slowServers.record(address, slowdownFactor, nowMs),
    );
  }

  /** Records a slowdown factor that is reported by a peer. */
  recordSlowdownFromPeer(
    address: ServerAddress,
    slowdownFactor: number,
    nowMs: number,
  ): void {
    this.countChange(
      this.slowServers.recordFromPeer(address, slowdownFactor, nowMs),
    );
  }

  /** Whether running streams should be moved off the server. */
  isVerySlow(address: ServerAddress): boolean {
    return this.slowServers.slowdownFactorOf(address) >= MIN_VERY_SLOW_FACTOR;
  }

  /** Whether the server is known to be slower than others of its kind. */
  isSlow(address: ServerAddress): boolean {
    return this.slowServers.slowdownFactorOf(address) > 1;
  }

  /** Servers that reported to this entry to be slow, with their factors. */
  ownSlowServers(): Array<[ServerAddress, number]> {
    return this.slowServers.ownReports();
  }

  /** Returns whether the server was not suspected before. */
  suspect(address: ServerAddress): boolean {
    return this.countChange(this.suspicions.add(address));
  }

  /**
   * Applies a suspicion that is reported by a peer; it expires when the peer no
   * longer repeats it. Returns whether the server was not suspected before.
   */
  suspectFromPeer(address: ServerAddress, nowMs: number): boolean {
    return this.countChange(this.suspicions.addFromPeer(address, nowMs));
  }

  clearSuspicion(address: ServerAddress): boolean {
    return this.countChange(this.suspicions.remove(address));
  }

  isSuspected(address: ServerAddress): boolean {
    return this.suspicions.has(address);
  }

  /** Servers that this entry itself suspects. */
  ownSuspicions(): ServerAddress[] {
    return this.suspicions.ownServers();
  }

  /** Marks a server that refuses requests; returns whether that is new. */
  markRefusing(address: ServerAddress): boolean {
    return this.countChange(this.refusals.add(address));
  }

  /** As `markRefusing`, but reported by a peer. */
  markRefusingFromPeer(address: ServerAddress, nowMs: number): boolean {
    return this.countChange(this.refusals.addFromPeer(address, nowMs));
  }

  clearRefusing(address: ServerAddress): boolean {
    return this.countChange(this.refusals.remove(address));
  }

  /** Servers that this entry itself has found to refuse requests. */
  ownRefusing(): ServerAddress[] {
    return this.refusals.ownServers();
  }

  /** Whether the server takes no new requests, although it may still run. */
  takesNoNewRequests(server: BackendServer): boolean {
    return this.isLeaving(server) || this.refusals.has(server.address);
  }

  /**
   * Replaces expired observations by the registration. Reports can be out of
   * date, so an observation does not count for long without a new report.
   */
  private expireObservations(nowMs: number): void {
    for (const [server, {observedAtMs, isOwn}] of this.observations) {
      if (nowMs - observedAtMs < (isOwn ? OWN_TTL_MS : PEER_TTL_MS)) continue;
      this.observations.delete(server);
      const known = this.servers.get(server);
      const layers = this.registeredLayers.get(server);
      if (!known) continue;
      this.setHeldLayers(known, layers, undefined);
    }
  }

  private setHeldLayers(
    known: BackendServer,
    layers: LayerRange | undefined,
    reloadingLayerTokens: number | undefined,
  ): void {
    const isSame =
      isSameRange(known.layers, layers) &&
      known.reloadingLayerTokens === reloadingLayerTokens;
    if (isSame) return;
    this.servers.set(known.server, {...known, layers, reloadingLayerTokens});
    this.changeCount++;
  }

  /** Applies a report of the server to this entry. */
  observe(held: HeldLayers, nowMs: number): void {
    this.applyObservation(held, nowMs, true);
  }

  /** Applies a report of the server to a peer. */
  observeFromPeer(held: HeldLayers, nowMs: number): void {
    this.applyObservation(held, nowMs, false);
  }

  private applyObservation(
    held: HeldLayers,
    observedAtMs: number,
    isOwn: boolean,
  ) {
    const {server, startedAtMs, layers, orderSequence} = held;
    const known = this.servers.get(server);
    if (!known) return;
    // A later incarnation answers, so the registered one has ended.
    if (known.startedAtMs < startedAtMs)
      this.markLeaving(server, known.startedAtMs);
    if (known.startedAtMs !== startedAtMs) return;
    // Peers repeat an observation for a while, even if it is out of date.
    const previous = this.observations.get(server);
    if (previous && orderSequence < previous.orderSequence) return;
    const superseded = this.supersededObservations.get(server);
    const isSuperseded =
      superseded?.startedAtMs === startedAtMs &&
      orderSequence <= superseded.orderSequence;
    if (isSuperseded && !isOwn) return;
    const registeredLayers = this.registeredLayers.get(server);
    this.observations.set(server, {
      ...held,
      observedAtMs,
      isOwn,
      registeredLayers,
    });
    this.setHeldLayers(known, layers, held.reloadingLayerTokens);
  }

  /** Recent own observations that registrations do not show, for peers. */
  recentObservations(nowMs: number): HeldLayers[] {
    return [...this.observations.values()].filter(
      ({observedAtMs, isOwn, layers, registeredLayers, reloadingLayerTokens}) =>
        isOwn &&
        nowMs - observedAtMs < PEER_TTL_MS &&
        (!isSameRange(layers, registeredLayers) ||
          reloadingLayerTokens !== undefined),
    );
  }

  /**
   * Records that this incarnation of a server takes no new requests. Returns
   * whether that takes a registered server out of use.
   */
  markLeaving(server: ServerId, startedAtMs: number): boolean {
    if (!this.leaving.mark(server, startedAtMs)) return false;
    const registered = this.servers.get(server);
    this.changeCount++;
    return (
      registered?.startedAtMs === startedAtMs && registered.state === 'ready'
    );
  }

  /** Leaving servers with the start time of the incarnation, for peers. */
  leavingServers(): Array<[ServerId, number]> {
    const draining = [...this.servers.values()]
      .filter(server => server.state === 'draining' && !this.isMarked(server))
      .map(({server, startedAtMs}): [ServerId, number] => [
        server,
        startedAtMs,
      ]);
    return [...this.leaving.reported(), ...draining];
  }

  isLeaving(server: BackendServer): boolean {
    return server.state === 'draining' || this.isMarked(server);
  }

  private isMarked({server, startedAtMs}: BackendServer): boolean {
    return this.leaving.has(server, startedAtMs);
  }

  get(server: ServerId): BackendServer | undefined {
    return this.servers.get(server);
  }

  all(): Iterable<BackendServer> {
    return this.servers.values();
  }

  /** Returns the newest server that is registered with the address. */
  findByAddress(address: ServerAddress): BackendServer | undefined {
    let newest: BackendServer | undefined;
    for (const server of this.servers.values()) {
      if (server.address !== address) continue;
      if (!newest || server.startedAtMs > newest.startedAtMs) newest = server;
    }
    return newest;
  }

  /** Tells what is registered at the address of an incarnation. */
  stateOf(server: BackendServer): 'registered' | 'replaced' | 'missing' {
    const registered = this.findByAddress(server.address);
    if (!registered) return 'missing';
    return isSameIncarnation(registered, server) ? 'registered' : 'replaced';
  }

  /**
   * Returns the servers of the service that are not leaving, including those
   * that are suspected or refuse requests.
   */
  nonLeaving(service: ServiceId): BackendServer[] {
    const newest = new Map<ServerAddress, BackendServer>();
    for (const server of this.servers.values()) {
      if (server.service !== service || this.isLeaving(server)) continue;
      // A server that restarted quickly is still registered under its old id.
      const other = newest.get(server.address);
      if (other && other.startedAtMs > server.startedAtMs) continue;
      newest.set(server.address, server);
    }
    return [...newest.values()];
  }

  /** Returns the servers of the service that may get requests. */
  usable(service: ServiceId): BackendServer[] {
    return this.nonLeaving(service)
      .filter(
        ({address}) =>
          !this.suspicions.has(address) && !this.refusals.has(address),
      )
      .map(server => {
        const slowdownFactor = this.slowServers.slowdownFactorOf(
          server.address,
        );
        return slowdownFactor === 1 ? server : {...server, slowdownFactor};
      });
  }

  /** Whether the server may get requests and is as it was when it was listed. */
  isUsableAs(listed: BackendServer): boolean {
    const {address} = listed;
    const server = this.servers.get(listed.server);
    return (
      server !== undefined &&
      !this.isLeaving(server) &&
      !this.suspicions.has(address) &&
      !this.refusals.has(address) &&
      isSameServer(server, listed) &&
      this.slowServers.slowdownFactorOf(address) ===
        (listed.slowdownFactor ?? 1)
    );
  }

  private countChange(hasChanged: boolean): boolean {
    if (hasChanged) this.changeCount++;
    return hasChanged;
  }
}

/** Whether both describe the same state of a server. */
function isSameServer(a: BackendServer, b: BackendServer): boolean {
  return (
    isSameIncarnation(a, b) &&
    a.service === b.service &&
    a.address === b.address &&
    a.availabilityZone === b.availabilityZone &&
    a.state === b.state &&
    a.accelerator === b.accelerator &&
    a.reloadingLayerTokens === b.reloadingLayerTokens &&
    isSameRange(a.layers, b.layers)
  );
}
