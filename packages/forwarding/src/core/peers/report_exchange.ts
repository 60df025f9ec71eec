/**
 * Exchanges the reports of the entries over relays. An entry reports to the two
 * relays of its group and goes by what one of them sends it; the relays pass
 * reports on to each other. In a small fleet every entry is a relay, so all
 * report to each other directly. Reports are sent when something has changed,
 * urgent ones at once. Does no I/O; times are arguments.
 */
import {
  encodePart,
  type ConfigVersion,
  type EntryReport,
  type InstanceId,
  type FleetReport,
  type Message,
  type PeerAddress,
  type RelayReport,
  type RelayedReports,
} from '@azurecrank/core';
import {CompleteStates} from './complete_states.js';
import {mergeStates, type EntryState} from './entry_state.js';
import {fromReport, toReport} from './report_codec.js';
import {RelayChoice} from './relay_choice.js';
import {ReportBoard} from './report_board.js';
import {RelayMembers} from './relay_members.js';
import type {RelayPlan} from './relay_plan.js';
import {
  EXCHANGE_TICK_MS,
  REPORT_INTERVAL_MS,
  UNCHANGED_REPORT_INTERVAL_MS,
  isDue,
} from './report_timing.js';

/** Sends messages to other entries; a message may be lost. */
export abstract class ReportTransport {
  /** Sends to an entry that listens at the address. */
  abstract send(address: PeerAddress, message: Message): void;
  /** Sends to the entry that has reported here. */
  abstract reply(node: string, message: Message): void;
}

/** Which part of a state is applied. */
export type StateScope =
  | 'all'
  /** What is urgent; the rest comes from the relay that is gone by. */
  | 'news';

export interface ReportExchangeOptions {
  readonly node: string;
  readonly instance: InstanceId;
  readonly transport: ReportTransport;
  readonly ownState: () => EntryState;
  readonly applyState: (state: EntryState, scope: StateScope) => void;
  readonly configVersion: () => ConfigVersion;
  readonly isStopping: () => boolean;
}

/** Interval of reports to the relay that the entry does not go by. */
const SECONDARY_REPORT_INTERVAL_MS = 1000;

/** Time for which urgent reports are collected before they are passed on. */
const URGENT_DELAY_MS = 15;

/** Minimum time between two passings-on of urgent reports. */
const MIN_URGENT_INTERVAL_MS = 60;

/** Relays up to which each one passes reports on with each tick. */
const MAX_FAST_RELAYS = 10;

/** Time for which a relay that has reported gets the reports of this one. */
const ACTIVE_RELAY_MS = 2000;

/**
 * Time for which reports are collected before they are combined for this entry,
 * as long as none is urgent.
 */
const APPLY_INTERVAL_MS = 50;

export class ReportExchange {
  private readonly board = new ReportBoard();
  private readonly choice = new RelayChoice();
  private readonly members = new RelayMembers();
  private readonly completeStates = new CompleteStates();
  /** Relays that are not in the plan, with the time of their last reports. */
  private readonly activeRelays = new Map<PeerAddress, number>();
  /** Relays that have got all reports which this one passes on. */
  private informedRelays: ReadonlySet<PeerAddress> = new Set();
  private plan: RelayPlan = {
    usesRelays: false,
    isRelay: true,
    candidates: [],
    relays: [],
    direct: [],
  };
  private address = '' as PeerAddress;
  private seq = 0;
  /** Numbers the reports that have none. */
  private directSeq = 0;
  private lastBody: Uint8Array = new Uint8Array();
  private tickedAtMs = -Infinity;
  private passedOnAtMs = -Infinity;
  private ownReportAtMs = -Infinity;
  private directReportAtMs = -Infinity;
  private secondaryReportAtMs = -Infinity;
  private appliedRevision = 0;
  private appliedAtMs = -Infinity;
  private urgentAtMs: number | undefined;
  private urgentFlushedAtMs = -Infinity;
  private lastPrimary: PeerAddress | undefined;
  constructor(private readonly options: ReportExchangeOptions) {}

  /** Time at which `flushUrgent` is due; undefined if nothing is urgent. */
  get urgentDueAtMs(): number | undefined {
    return this.urgentAtMs;
  }

  /** Whether this entry passes on reports of others by plan. */
  get isRelay(): boolean {
    return this.plan.isRelay;
  }

  /** Whether reports go over relays, or each entry reports to all others. */
  get usesRelays(): boolean {
    return this.plan.usesRelays;
  }

  /** Relays that may be asked for what they read from the store. */
  storeRelays(nowMs: number): PeerAddress[] {
    if (this.plan.isRelay) return [];
    return this.choice.alive(this.plan, nowMs);
  }

  setPlan(plan: RelayPlan, address: PeerAddress): void {
    this.plan = plan;
    this.address = address;
  }

  /** Makes the own report go out at once. */
  reportNow(nowMs: number): void {
    this.makeReport(nowMs, true);
    this.sendDirect(nowMs);
    if (!this.plan.isRelay) this.reportToRelays(nowMs, true);
    if (!this.actsAsRelay(nowMs)) return;
    if (this.plan.usesRelays) this.markUrgent(nowMs);
    else this.passOn(nowMs, true);
  }

  /** Sends what is due; to be called each `EXCHANGE_TICK_MS`. */
  tick(nowMs: number): void {
    const {tickedAtMs} = this;
    // Others wait for what a relay passes on, but nobody for a single report.
    const isSkipped =
      !this.plan.isRelay &&
      this.members.size === 0 &&
      !isDue(tickedAtMs, REPORT_INTERVAL_MS, nowMs);
    if (isSkipped) return;
    this.tickedAtMs = nowMs;
    this.board.expire(nowMs);
    this.members.expire(nowMs);
    this.makeReport(nowMs, this.mustRepeatReport(nowMs));
    if (isDue(this.directReportAtMs, REPORT_INTERVAL_MS, nowMs))
      this.sendDirect(nowMs);
    if (!this.plan.isRelay) this.reportToRelays(nowMs, false);
    if (this.isPassOnDue(nowMs)) this.passOn(nowMs, false);
    this.applyBoard(nowMs);
  }

  /** Passes on urgent reports that have arrived. */
  flushUrgent(nowMs: number): void {
    this.urgentAtMs = undefined;
    this.urgentFlushedAtMs = nowMs;
    this.passOn(nowMs, true);
    this.applyBoard(nowMs, true);
  }

  /** Combines what has arrived, if this entry goes by no other relay. */
  applyArrived(nowMs: number): void {
    if (isDue(this.appliedAtMs, APPLY_INTERVAL_MS, nowMs))
      this.applyBoard(nowMs);
  }

  /** Records that an entry cannot be reached. */
  recordDown(address: PeerAddress): void {
    this.choice.recordDown(address);
  }

  /** Handles the report of an entry that uses this one as relay. */
  handleReport(message: RelayReport, nowMs: number): void {
    const {node, isPrimary} = message;
    this.members.recordReport(node, isPrimary, nowMs);
    const report = {...message, ageMs: 0};
    const isNews = this.board.record(report, nowMs, {isPrimary});
    if (isNews && message.isUrgent) this.markUrgent(nowMs);
  }

  /** Handles the reports that another relay passes on. */
  handleRelayed(message: RelayedReports, nowMs: number): void {
    this.activeRelays.set(message.address, nowMs);
    let hasNews = false;
    for (const report of message.reports) {
      if (report.node === this.options.node) continue;
      hasNews = this.board.record(report, nowMs) || hasNews;
    }
    if (hasNews && message.isUrgent) this.markUrgent(nowMs);
  }

  /** Handles the report of a relay on all other entries. */
  handleFleetReport(message: FleetReport, nowMs: number): void {
    const {address, entries, isStopping} = message;
    this.choice.recordAnswer(address, {entries, isStopping});
    if (this.plan.isRelay) return;
    const isPrimary = this.choice.primary(this.plan, nowMs) === address;
    const state = fromReport(message.report, entries);
    if (isPrimary) this.applyIfComplete(state, address, nowMs);
    else this.options.applyState(state, 'news');
  }

  /** Many entries report the loss of the same server within some 100 ms. */
  private markUrgent(nowMs: number): void {
    this.urgentAtMs ??= Math.max(
      nowMs + URGENT_DELAY_MS,
      this.urgentFlushedAtMs + MIN_URGENT_INTERVAL_MS,
    );
  }

  /** Handles the report of an entry of a release that knows no relays. */
  handleDirect(node: string, report: EntryReport, nowMs: number): void {
    const body = encodePart(report);
    const instance = '' as InstanceId;
    const seq = ++this.directSeq;
    this.board.record({node, instance, seq, ageMs: 0, body}, nowMs, {
      isPrimary: true,
    });
  }

  /** Whether the relay has yet to learn of this entry or to answer it. */
  private mustRepeatReport(nowMs: number): boolean {
    const {plan, choice, lastPrimary} = this;
    if (plan.isRelay) return false;
    const primary = choice.primary(plan, nowMs);
    this.lastPrimary = primary;
    if (primary === undefined) return false;
    if (primary !== lastPrimary) return true;
    return (
      choice.isUnanswered(primary, nowMs) &&
      isDue(this.ownReportAtMs, REPORT_INTERVAL_MS, nowMs)
    );
  }

  /**
   * Makes a new report, if one is due.
   * @param isNeeded whether it is due also if it says nothing new
   */
  private makeReport(nowMs: number, isNeeded: boolean): void {
    const {ownState, node, instance, configVersion, isStopping} = this.options;
    if (!isNeeded && !isDue(this.ownReportAtMs, REPORT_INTERVAL_MS, nowMs))
      return;
    const state = ownState();
    const body = encodePart(toReport(state, configVersion(), isStopping()));
    const isUnchanged = Buffer.compare(body, this.lastBody) === 0;
    const isKept =
      !isNeeded &&
      isUnchanged &&
      !isDue(this.ownReportAtMs, UNCHANGED_REPORT_INTERVAL_MS, nowMs);
    if (isKept) return;
    this.lastBody = body;
    this.ownReportAtMs = nowMs;
    this.seq++;
    const report = {node, instance, seq: this.seq, ageMs: 0, body};
    this.board.record(report, nowMs, {isPrimary: true});
  }

  private reportToRelays(nowMs: number, isUrgent: boolean): void {
    const {plan, choice} = this;
    const primary = choice.primary(plan, nowMs);
    const isNew = this.ownReportAtMs === nowMs;
    if (primary !== undefined && primary !== this.address && isNew) {
      choice.recordReport(primary, nowMs);
      this.sendReport(primary, true, isUrgent);
    }
    const isSecondaryDue =
      isUrgent ||
      isDue(this.secondaryReportAtMs, SECONDARY_REPORT_INTERVAL_MS, nowMs);
    if (!isSecondaryDue) return;
    this.secondaryReportAtMs = nowMs;
    for (const relay of choice.relays(plan)) {
      if (relay === primary || relay === this.address) continue;
      choice.recordReport(relay, nowMs);
      this.sendReport(relay, false, isUrgent);
    }
  }

  private sendReport(
    relay: PeerAddress,
    isPrimary: boolean,
    isUrgent: boolean,
  ): void {
    const {node, instance, transport} = this.options;
    transport.send(relay, {
      type: 'relay_report',
      ...this.sender(isUrgent),
      node,
      instance,
      seq: this.seq,
      body: this.lastBody,
      isPrimary,
    });
  }

  private sender(isUrgent: boolean) {
    const {configVersion, isStopping} = this.options;
    return {
      configVersion: configVersion(),
      address: this.address,
      isStopping: isStopping(),
      isUrgent,
    };
  }

  /** Whether others rely on this entry to pass reports on. */
  private actsAsRelay(nowMs: number): boolean {
    const {plan, members, choice} = this;
    return (
      plan.isRelay ||
      members.size > 0 ||
      choice.primary(plan, nowMs) === this.address
    );
  }

  /** The messages between relays grow with the square of their number. */
  private isPassOnDue(nowMs: number): boolean {
    const isFast = this.plan.relays.length < MAX_FAST_RELAYS;
    const intervalMs = isFast ? EXCHANGE_TICK_MS : REPORT_INTERVAL_MS;
    return isDue(this.passedOnAtMs, intervalMs, nowMs);
  }

  private passOn(nowMs: number, isUrgent: boolean): void {
    if (!this.actsAsRelay(nowMs)) return;
    this.passedOnAtMs = nowMs;
    const targets = this.relayTargets(nowMs);
    // A relay that is new to this one lacks what was passed on before.
    const known = targets.filter(relay => this.informedRelays.has(relay));
    const added = targets.filter(relay => !this.informedRelays.has(relay));
    this.informedRelays = new Set(targets);
    const due = this.board.takeUnforwarded(nowMs, isUrgent);
    this.sendRelayed(known, due, isUrgent);
    if (added.length > 0)
      this.sendRelayed(added, this.board.directReports(nowMs), isUrgent);
    this.answerMembers(nowMs, isUrgent);
  }

  private sendRelayed(
    relays: readonly PeerAddress[],
    reports: RelayedReports['reports'],
    isUrgent: boolean,
  ): void {
    if (reports.length === 0) return;
    const message: RelayedReports = {
      type: 'relayed_reports',
      ...this.sender(isUrgent),
      reports,
    };
    for (const relay of relays) this.options.transport.send(relay, message);
  }

  private relayTargets(nowMs: number): PeerAddress[] {
    for (const [relay, atMs] of this.activeRelays) {
      if (nowMs - atMs > ACTIVE_RELAY_MS) this.activeRelays.delete(relay);
    }
    const targets = new Set([...this.plan.relays, ...this.activeRelays.keys()]);
    targets.delete(this.address);
    return [...targets];
  }

  private answerMembers(nowMs: number, isUrgent: boolean): void {
    const {board, members} = this;
    const nodes = members.takeDue(board.revision, isUrgent, nowMs);
    if (nodes.length === 0) return;
    const rest = {state: board.merge(new Set(nodes), nowMs), heardAtMs: nowMs};
    for (const node of nodes) {
      const near = nodes
        .filter(other => other !== node)
        .flatMap(other => board.stateOf(other) ?? []);
      this.answerMember(node, mergeStates([rest, ...near], nowMs), isUrgent);
    }
  }

  private answerMember(
    node: string,
    state: EntryState,
    isUrgent: boolean,
  ): void {
    const {transport, configVersion} = this.options;
    transport.reply(node, {
      type: 'fleet_report',
      ...this.sender(isUrgent),
      entries: state.entries,
      report: toReport(state, configVersion(), false),
    });
  }

  /** Applies what the board says of the others, unless a relay does. */
  private applyBoard(nowMs: number, isUrgent = false): void {
    const {board, plan, choice, address, options} = this;
    const isOwnRelay = plan.isRelay || choice.primary(plan, nowMs) === address;
    if (!isOwnRelay) {
      if (isUrgent) this.applyNews(nowMs);
      return;
    }
    const isUnchanged = this.appliedRevision === board.revision;
    if (isUnchanged && !isDue(this.appliedAtMs, REPORT_INTERVAL_MS, nowMs))
      return;
    this.appliedRevision = board.revision;
    this.appliedAtMs = nowMs;
    const state = board.merge(new Set([options.node]), nowMs);
    this.applyIfComplete(state, address, nowMs);
  }

  /**
   * Applies a state, unless it lacks entries that the last one had.
   * @param source the relay that it is from; this entry's own address if none
   */
  private applyIfComplete(
    state: EntryState,
    source: PeerAddress,
    nowMs: number,
  ): void {
    const {completeStates, options} = this;
    const isComplete = completeStates.accept(state.entries, source, nowMs);
    options.applyState(state, isComplete ? 'all' : 'news');
  }

  /** Applies what entries have reported here that go by this one. */
  private applyNews(nowMs: number): void {
    const {board, options} = this;
    options.applyState(board.merge(new Set([options.node]), nowMs), 'news');
  }

  /** Sends the own report to entries of a release that knows no relays. */
  private sendDirect(nowMs: number): void {
    const {plan, options} = this;
    if (plan.direct.length === 0) return;
    this.directReportAtMs = nowMs;
    const {ownState, configVersion, isStopping, transport} = options;
    const report = toReport(ownState(), configVersion(), isStopping());
    for (const address of plan.direct) transport.send(address, report);
  }
}
