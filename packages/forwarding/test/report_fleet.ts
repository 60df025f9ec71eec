/**
 * Entries that exchange reports over simulated links, which delay, lose and
 * block messages. Time is simulated.
 */
import type {
  ConfigVersion,
  InstanceId,
  Message,
  PeerAddress,
  ServerId,
} from '@azurecrank/core';
import {
  EMPTY_STATE,
  EXCHANGE_TICK_MS,
  ReportExchange,
  ReportTransport,
  fromReport,
  planRelays,
  toReport,
  type EntryState,
  type RegisteredEntry,
  type StateScope,
} from '@azurecrank/forwarding';

const STEP_MS = 5;

const ZONES = ['a', 'b', 'c', 'd', 'e'];

/** First server of the only chain, whose tokens the entries use. */
export const CHAIN = '10.9.0.1:80';

/** Delivers a message from one entry to another, or loses it. */
export type LinkRule = (from: ReportEntry, to: ReportEntry) => boolean;

interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

export interface ReportFleetOptions {
  readonly entries: number;
  readonly random: () => number;
  /** Entries of the earlier release, which report to each one directly. */
  readonly earlierReleases?: number;
}

export class ReportFleet {
  nowMs = 0;
  sentMessages = 0;
  /** Whether a message arrives; all do by default. */
  passes: LinkRule = () => true;
  readonly entries: ReportEntry[];
  private deliveries: Delivery[] = [];

  constructor(private readonly options: ReportFleetOptions) {
    const {entries, earlierReleases = 0} = options;
    this.entries = Array.from(
      {length: entries},
      (_, i) => new ReportEntry(i, this, i < earlierReleases),
    );
    this.updateDirectories();
  }

  get alive(): ReportEntry[] {
    return this.entries.filter(({isRunning}) => isRunning);
  }

  random(): number {
    return this.options.random();
  }

  /** Makes all entries learn which ones run. */
  updateDirectories(): void {
    const registered = this.alive.map(entry => entry.registration);
    for (const entry of this.alive) entry.setDirectory(registered);
  }

  send(from: ReportEntry, to: ReportEntry | undefined, message: Message): void {
    this.sentMessages++;
    if (!to || !this.passes(from, to)) return;
    const delayMs = 1 + Math.floor(this.random() * 4);
    const {incarnation} = to;
    this.deliveries.push({
      atMs: this.nowMs + delayMs,
      deliver: () => {
        if (to.isRunning && to.incarnation === incarnation)
          to.receive(from, message);
      },
    });
  }

  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      const due = this.deliveries.filter(({atMs}) => atMs <= this.nowMs);
      this.deliveries = this.deliveries.filter(({atMs}) => atMs > this.nowMs);
      for (const {deliver} of due) deliver();
      for (const entry of this.alive) entry.step();
    }
  }

  /** Lets time pass until the condition holds; returns how long it took. */
  advanceUntil(maxMs: number, condition: () => boolean): number {
    const beganMs = this.nowMs;
    while (!condition() && this.nowMs - beganMs < maxMs) this.advance(STEP_MS);
    return this.nowMs - beganMs;
  }

  /** Entries that know of this many tokens in use by others. */
  knowing(tokensOf: (entry: ReportEntry) => number): ReportEntry[] {
    return this.alive.filter(entry => entry.knownTokens === tokensOf(entry));
  }
}

export class ReportEntry {
  readonly availabilityZone: string;
  readonly address: PeerAddress;
  readonly node: string;
  isRunning = true;
  incarnation = 1;
  /** What this entry reports. */
  state: EntryState;
  /** What this entry knows of all others. */
  known: EntryState = EMPTY_STATE;
  readonly knownSuspects = new Set<string>();
  private exchange: ReportExchange;
  private directory: readonly RegisteredEntry[] = [];
  private nextTickMs: number;

  constructor(
    readonly index: number,
    private readonly fleet: ReportFleet,
    private readonly isEarlierRelease: boolean,
  ) {
    this.availabilityZone = ZONES[index % ZONES.length];
    this.address = `10.0.${index % ZONES.length}.${index}:7340` as PeerAddress;
    this.node = `entry-${index}`;
    this.state = {...EMPTY_STATE, usedTokens: {[CHAIN]: 1}};
    this.nextTickMs = fleet.nowMs + ((index * 37) % EXCHANGE_TICK_MS);
    this.exchange = this.createExchange();
  }

  get registration(): RegisteredEntry {
    const availabilityZone = this.isEarlierRelease
      ? undefined
      : this.availabilityZone;
    return {address: this.address, availabilityZone};
  }

  get knownTokens(): number {
    return this.known.usedTokens[CHAIN] ?? 0;
  }

  get isRelay(): boolean {
    return this.exchange.isRelay;
  }

  setDirectory(registered: readonly RegisteredEntry[]): void {
    this.directory = registered;
    const {address, availabilityZone} = this;
    this.exchange.setPlan(
      planRelays({address, availabilityZone}, registered),
      address,
    );
  }

  stop(): void {
    this.isRunning = false;
  }

  /** Starts again without any memory. */
  restart(): void {
    this.isRunning = true;
    this.incarnation++;
    this.known = EMPTY_STATE;
    this.knownSuspects.clear();
    this.exchange = this.createExchange();
    this.setDirectory(this.directory);
    this.nextTickMs = this.fleet.nowMs;
  }

  suspect(address: string): void {
    const suspected = [...this.state.suspected, address];
    this.state = {...this.state, suspected};
    if (!this.isEarlierRelease) this.exchange.reportNow(this.fleet.nowMs);
  }

  leave(server: string): void {
    this.state = {...this.state, leaving: [[server as ServerId, 1]]};
  }

  step(): void {
    const {nowMs} = this.fleet;
    if (nowMs >= (this.exchange.urgentDueAtMs ?? Infinity))
      this.exchange.flushUrgent(nowMs);
    if (nowMs < this.nextTickMs) return;
    this.nextTickMs += EXCHANGE_TICK_MS;
    if (!this.isEarlierRelease) return this.exchange.tick(nowMs);
    // An entry of the earlier release sends to all others, each 200 ms.
    if (this.nextTickMs % (2 * EXCHANGE_TICK_MS) < EXCHANGE_TICK_MS) return;
    const report = toReport(this.state, 0 as ConfigVersion, false);
    for (const {address} of this.directory) {
      const to = this.findEntry(address);
      if (to !== this) this.fleet.send(this, to, report);
    }
  }

  receive(from: ReportEntry, message: Message): void {
    const {nowMs} = this.fleet;
    if (this.isEarlierRelease) {
      if (message.type === 'shares') this.apply(fromReport(message), 'all');
      return;
    }
    switch (message.type) {
      case 'relay_report':
        this.exchange.handleReport(message, nowMs);
        break;
      case 'relayed_reports':
        this.exchange.handleRelayed(message, nowMs);
        break;
      case 'fleet_report':
        this.exchange.handleFleetReport(message, nowMs);
        break;
      case 'shares':
        this.exchange.handleDirect(from.node, message, nowMs);
        break;
      default:
    }
    this.exchange.applyArrived(nowMs);
  }

  private createExchange(): ReportExchange {
    const {fleet, node, incarnation} = this;
    return new ReportExchange({
      node,
      instance: `${node}/${incarnation}` as InstanceId,
      transport: new FleetTransport(this, fleet),
      ownState: () => this.state,
      applyState: (state, scope) => this.apply(state, scope),
      configVersion: () => 0 as ConfigVersion,
      isStopping: () => false,
    });
  }

  private apply(state: EntryState, scope: StateScope): void {
    if (scope === 'all') this.known = state;
    for (const address of state.suspected) this.knownSuspects.add(address);
  }

  private findEntry(address: PeerAddress): ReportEntry | undefined {
    return this.fleet.entries.find(entry => entry.address === address);
  }
}

class FleetTransport extends ReportTransport {
  constructor(
    private readonly from: ReportEntry,
    private readonly fleet: ReportFleet,
  ) {
    super();
  }

  override send(address: PeerAddress, message: Message): void {
    const to = this.fleet.entries.find(entry => entry.address === address);
    this.fleet.send(this.from, to, message);
  }

  override reply(node: string, message: Message): void {
    const to = this.fleet.entries.find(entry => entry.node === node);
    this.fleet.send(this.from, to, message);
  }
}
