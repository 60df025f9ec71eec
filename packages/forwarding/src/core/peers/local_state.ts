/**
 * Collects the state of this entry for its reports, and applies the state of the
 * others to the modules that use it.
 */
import type {Logger} from '@azurecrank/core';
import type {ChainLoads} from '../admission/chain_loads.js';
import type {PeerQueues, ServiceQueues} from '../admission/peer_queues.js';
import type {ServerAddress} from '../fleet/backend_server.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {SharedServerLimits} from '../limits/shared_server_limits.js';
import type {RequestQuarantine} from '../quarantine/request_quarantine.js';
import type {SharedRetryBudget} from '../retry/shared_retry_budget.js';
import type {EntryState} from './entry_state.js';
import type {StateScope} from './report_exchange.js';

export interface LocalStateOptions {
  readonly loads: ChainLoads;
  readonly retryBudget: SharedRetryBudget;
  readonly quarantine: RequestQuarantine;
  readonly limits: SharedServerLimits;
  readonly fleet: FleetView;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly peerQueues: PeerQueues;
  /** Requests that wait at this entry. */
  readonly queues: () => readonly ServiceQueues[];
  /** Whether a stream through the server had an event since the given time. */
  readonly hasEventSince: (address: ServerAddress, sinceMs: number) => boolean;
  /** Called when a peer reports a server as unusable that was usable here. */
  readonly onServerLost: () => void;
  readonly layoutFence: () => number;
  readonly onLayoutFence: (fence: number) => void;
}

/** Name under which the state of all other entries is applied. */
const ALL_PEERS = 'peers';

/**
 * A suspicion reported by a peer is ignored if a stream through the server had
 * an event within this time. The streams of a live server together have one
 * every few milliseconds.
 */
const RECENT_EVENT_MS = 120;

export class LocalState {
  constructor(private readonly options: LocalStateOptions) {}

  collect(): EntryState {
    const {loads, retryBudget, fleet, quarantine, limits, nowMs} = this.options;
    const now = nowMs();
    return {
      entries: 1,
      usedTokens: loads.ownUsedTokens(),
      queues: this.options.queues(),
      leaving: fleet.leavingServers(),
      suspected: fleet.ownSuspicions(),
      refusing: fleet.ownRefusing(),
      held: fleet.recentObservations(now),
      slow: fleet.ownSlowServers(),
      retries: retryBudget.report(now),
      quarantine: quarantine.report(now),
      limits: limits.report(now),
      layoutFence: this.options.layoutFence(),
    };
  }

  /** Replaces the state of all other entries, or adds what is urgent of it. */
  apply(state: EntryState, scope: StateScope): void {
    if (scope === 'all') this.applyCounts(state);
    this.options.quarantine.applyPeerReport(
      state.quarantine,
      this.options.nowMs(),
    );
    this.applyServers(state);
    this.options.onLayoutFence(state.layoutFence);
  }

  private applyCounts(state: EntryState): void {
    const {loads, peerQueues, retryBudget, limits, nowMs} = this.options;
    const {entries, usedTokens, queues, retries} = state;
    const now = nowMs();
    loads.setPeerUsage(ALL_PEERS, usedTokens, now);
    peerQueues.setQueues(ALL_PEERS, queues, now);
    retryBudget.setPeerCounts(ALL_PEERS, retries, now, entries);
    limits.setPeerReport(ALL_PEERS, state.limits, now, entries);
  }

  private applyServers(state: EntryState): void {
    const {fleet, nowMs, logger, onServerLost, hasEventSince} = this.options;
    const now = nowMs();
    const source = ALL_PEERS;
    for (const [server, startedAtMs] of state.leaving) {
      if (!fleet.markLeaving(server, startedAtMs)) continue;
      const peer = fleet.get(server)?.address;
      logger.info('server leaves', {peer, server, source});
      onServerLost();
    }
    // Not passed on: only own observations are reported.
    for (const held of state.held) fleet.observeFromPeer(held, now);
    for (const address of state.refusing) {
      if (!fleet.markRefusingFromPeer(address, now)) continue;
      logger.info('server refuses requests', {peer: address, source});
      onServerLost();
    }
    for (const [address, slowdownFactor] of state.slow) {
      fleet.recordSlowdownFromPeer(address, slowdownFactor, now);
    }
    for (const address of state.suspected) {
      // The network link between the peer and the server may be at fault.
      if (hasEventSince(address, now - RECENT_EVENT_MS)) continue;
      if (!fleet.suspectFromPeer(address, now)) continue;
      logger.info('server suspected', {peer: address, source});
      onServerLost();
    }
  }
}
