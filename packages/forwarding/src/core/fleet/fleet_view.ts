/**
 * Which backend servers may get work: registrations, minus those that leave,
 * minus those that are suspected. Pure; times are arguments.
 */
import type {ServerId, ServiceId} from '@azurecrank/core';
import type {
  BackendServer,
  LayerRange,
  ServerAddress,
} from './backend_server.js';
import {ServerMarks} from './server_marks.js';
import {SlowServers} from './slow_servers.js';

/**
 * Servers that live are back in the directory within 2 s of its return, so an
 * entry that is still missing after this time belongs to a server that is gone.
 */
export const LAPSED_GRACE_MS = 2200;

/** Own observations are told to peers for this time. */
const TELL_MS = 1500;

/** Registrations follow within this time. */
const OBSERVATION_MS = 3000;

/** A registration is never further behind than this while it is written. */
const REGISTRATION_LAG_MS = 6000;

/**
 * Running streams leave a server at this factor: it makes the pauses of all of
 * them too long, while moving costs each one pause.
 */
const VERY_SLOW_PACE = 3;

/** Layers that a server was seen to hold. */
export interface HeldLayers {
  readonly server: ServerId;
  readonly bornAtMs: number;
  /** Orders that the server had accepted since its start. */
  readonly orderSequence: number;
  readonly layers: LayerRange | undefined;
  /** As in `BackendServer`. */
  readonly reloadingCells?: number | undefined;
}

interface Observation extends HeldLayers {
  readonly atMs: number;
  /** Whether this entry itself has asked the server. */
  readonly isOwn: boolean;
  /** What its registration said then. */
  readonly registered: LayerRange | undefined;
}

export class FleetView {
  private readonly servers = new Map<ServerId, BackendServer>();
  /** Servers that do not answer. */
  private readonly silent = new ServerMarks();
  /** Servers that answer, but refuse requests because they leave or fail. */
  private readonly refusing = new ServerMarks();
  private readonly slow = new SlowServers();
  /** Missing since an outage of the directory, with the time they are gone. */
  private readonly lapsed = new Map<ServerId, number>();
  /** Servers that peers have reported as leaving, by start time. */
  private readonly leaving = new Map<ServerId, number>();
  private readonly observations = new Map<ServerId, Observation>();
  /** Last observations that a newer registration has replaced. */
  private readonly superseded = new Map<ServerId, Observation>();
  /** Layers as the registrations tell them. */
  private readonly registered = new Map<ServerId, LayerRange | undefined>();
  private changes = 0;

  /** Rises with each change, so that callers can cache what they derive. */
  get revision(): number {
    return this.changes;
  }

  get size(): number {
    return this.servers.size;
  }

  /**
   * Takes a registration. It follows the server's own reports by a second or
   * two, so an observation counts until the registration says something new.
   */
  put(server: BackendServer, nowMs: number): void {
    const seen = this.observations.get(server.server);
    const isSeenNewer =
      seen?.bornAtMs === server.bornAtMs &&
      isSameRange(seen.registered, server.layers) &&
      nowMs - seen.atMs < REGISTRATION_LAG_MS;
    const layers = isSeenNewer ? seen.layers : server.layers;
    const reloadingCells = isSeenNewer ? seen.reloadingCells : undefined;
    if (seen && !isSeenNewer) {
      this.observations.delete(server.server);
      this.superseded.set(server.server, seen);
    }
    this.registered.set(server.server, server.layers);
    this.servers.set(server.server, {...server, layers, reloadingCells});
    this.lapsed.delete(server.server);
    this.changes++;
  }

  remove(server: ServerId): void {
    this.lapsed.delete(server);
    this.observations.delete(server);
    this.superseded.delete(server);
    this.registered.delete(server);
    if (this.servers.delete(server)) this.changes++;
  }

  /**
   * Takes a complete listing. Servers that are missing after an outage of the
   * directory may only have lapsed with it and are kept for a while.
   */
  replaceAll(
    listed: readonly BackendServer[],
    nowMs: number,
    afterOutage: boolean,
  ): void {
    const ids = new Set(listed.map(({server}) => server));
    for (const server of [...this.servers.keys()]) {
      if (ids.has(server)) continue;
      if (!afterOutage) this.servers.delete(server);
      else if (!this.lapsed.has(server)) {
        this.lapsed.set(server, nowMs + LAPSED_GRACE_MS);
      }
    }
    for (const server of listed) this.put(server, nowMs);
    this.changes++;
  }

  /**
   * Forgets lapsed servers, marks and observations whose time is over.
   * @param isDirectoryLive whether registrations follow; while they do not,
   *     observations are all there is.
   */
  expire(nowMs: number, isDirectoryLive = true): void {
    if (isDirectoryLive) this.expireObservations(nowMs);
    for (const [server, goneAtMs] of this.lapsed) {
      if (goneAtMs <= nowMs) this.remove(server);
    }
    const hasEnded = [this.silent, this.refusing].map(m => m.expire(nowMs));
    hasEnded.push(this.slow.expire(nowMs));
    if (hasEnded.includes(true)) this.changes++;
  }

  /** Takes the pace that a server reports; returns whether it is new. */
  notePace(address: ServerAddress, pace: number, nowMs: number): boolean {
    return this.noteChange(this.slow.note(address, pace, nowMs));
  }

  notePaceAsTold(address: ServerAddress, pace: number, nowMs: number): void {
    this.noteChange(this.slow.noteAsTold(address, pace, nowMs));
  }

  /** Whether streams that run there should move. */
  isVerySlow(address: ServerAddress): boolean {
    return this.slow.paceOf(address) >= VERY_SLOW_PACE;
  }

  /** Servers that told this entry that they are slow, with their pace. */
  ownSlow(): Array<[ServerAddress, number]> {
    return this.slow.own();
  }

  /** Returns whether the server was not suspected before. */
  suspect(address: ServerAddress): boolean {
    return this.noteChange(this.silent.mark(address));
  }

  /** Takes the suspicion of a peer; lasts as long as it is repeated. */
  suspectAsTold(address: ServerAddress, nowMs: number): boolean {
    return this.noteChange(this.silent.markAsTold(address, nowMs));
  }

  clearSuspicion(address: ServerAddress): boolean {
    return this.noteChange(this.silent.clear(address));
  }

  isSuspected(address: ServerAddress): boolean {
    return this.silent.has(address);
  }

  /** Servers that this entry itself has found not to answer. */
  ownSuspicions(): ServerAddress[] {
    return this.silent.own();
  }

  /** The server refuses requests; returns whether that is new. */
  noteRefusing(address: ServerAddress): boolean {
    return this.noteChange(this.refusing.mark(address));
  }

  noteRefusingAsTold(address: ServerAddress, nowMs: number): boolean {
    return this.noteChange(this.refusing.markAsTold(address, nowMs));
  }

  clearRefusing(address: ServerAddress): boolean {
    return this.noteChange(this.refusing.clear(address));
  }

  /** Servers that this entry itself has found to refuse requests. */
  ownRefusing(): ServerAddress[] {
    return this.refusing.own();
  }

  /** Whether the server takes no new requests although it may still live. */
  isEnding(server: BackendServer): boolean {
    return this.isLeaving(server) || this.refusing.has(server.address);
  }

  /** Reports lag, so what nobody confirms yields to the registration. */
  private expireObservations(nowMs: number): void {
    for (const [server, {atMs, isOwn}] of this.observations) {
      if (nowMs - atMs < (isOwn ? OBSERVATION_MS : TELL_MS)) continue;
      this.observations.delete(server);
      const known = this.servers.get(server);
      const layers = this.registered.get(server);
      if (!known) continue;
      this.setHeld(known, layers, undefined);
    }
  }

  private setHeld(
    known: BackendServer,
    layers: LayerRange | undefined,
    reloadingCells: number | undefined,
  ): void {
    const isSame =
      isSameRange(known.layers, layers) &&
      known.reloadingCells === reloadingCells;
    if (isSame) return;
    this.servers.set(known.server, {...known, layers, reloadingCells});
    this.changes++;
  }

  /** Takes what a server has reported to hold. */
  observe(held: HeldLayers, nowMs: number): void {
    this.takeObservation(held, nowMs, true);
  }

  /** Takes what a server has reported to a peer. */
  observeAsTold(held: HeldLayers, nowMs: number): void {
    this.takeObservation(held, nowMs, false);
  }

  private takeObservation(held: HeldLayers, atMs: number, isOwn: boolean) {
    const {server, bornAtMs, layers, orderSequence} = held;
    const known = this.servers.get(server);
    if (!known) return;
    // Another run answers at the address: the registered one has ended.
    if (known.bornAtMs < bornAtMs) this.noteLeaving(server, known.bornAtMs);
    if (known.bornAtMs !== bornAtMs) return;
    // Peers repeat what they saw for a while, also when it has changed.
    const before = this.observations.get(server);
    if (before && orderSequence < before.orderSequence) return;
    const old = this.superseded.get(server);
    const isOld =
      old?.bornAtMs === bornAtMs && orderSequence <= old.orderSequence;
    if (isOld && !isOwn) return;
    const registered = this.registered.get(server);
    this.observations.set(server, {...held, atMs, isOwn, registered});
    this.setHeld(known, layers, held.reloadingCells);
  }

  /** Recent own observations that registrations do not tell, for peers. */
  recentObservations(nowMs: number): HeldLayers[] {
    return [...this.observations.values()].filter(
      ({atMs, isOwn, layers, registered, reloadingCells}) =>
        isOwn &&
        nowMs - atMs < TELL_MS &&
        (!isSameRange(layers, registered) || reloadingCells !== undefined),
    );
  }

  /** A peer has seen that this incarnation of a server leaves. */
  noteLeaving(server: ServerId, bornAtMs: number): void {
    if (this.leaving.get(server) === bornAtMs) return;
    this.leaving.set(server, bornAtMs);
    this.changes++;
  }

  /** Incarnations that are known to leave, for peers. */
  leavingServers(): Array<[ServerId, number]> {
    const draining = [...this.servers.values()]
      .filter(({state}) => state === 'draining')
      .map(({server, bornAtMs}): [ServerId, number] => [server, bornAtMs]);
    return [...new Map([...this.leaving, ...draining])];
  }

  isLeaving(server: BackendServer): boolean {
    const {state, bornAtMs} = server;
    if (state === 'draining') return true;
    return this.leaving.get(server.server) === bornAtMs;
  }

  get(server: ServerId): BackendServer | undefined {
    return this.servers.get(server);
  }

  all(): Iterable<BackendServer> {
    return this.servers.values();
  }

  at(address: ServerAddress): BackendServer | undefined {
    let newest: BackendServer | undefined;
    for (const server of this.servers.values()) {
      if (server.address !== address) continue;
      if (!newest || server.bornAtMs > newest.bornAtMs) newest = server;
    }
    return newest;
  }

  /** Servers of the service that do not leave, also suspected ones. */
  staying(service: ServiceId): BackendServer[] {
    const newest = new Map<ServerAddress, BackendServer>();
    for (const server of this.servers.values()) {
      if (server.service !== service || this.isLeaving(server)) continue;
      // A server that has restarted at once is there under both ids.
      const other = newest.get(server.address);
      if (other && other.bornAtMs > server.bornAtMs) continue;
      newest.set(server.address, server);
    }
    return [...newest.values()];
  }

  /** Servers of the service that may get work. */
  usable(service: ServiceId): BackendServer[] {
    return this.staying(service)
      .filter(
        ({address}) => !this.silent.has(address) && !this.refusing.has(address),
      )
      .map(server => {
        const pace = this.slow.paceOf(server.address);
        return pace === 1 ? server : {...server, pace};
      });
  }

  private noteChange(hasChanged: boolean): boolean {
    if (hasChanged) this.changes++;
    return hasChanged;
  }
}

function isSameRange(
  a: LayerRange | undefined,
  b: LayerRange | undefined,
): boolean {
  return a?.firstLayer === b?.firstLayer && a?.endLayer === b?.endLayer;
}
