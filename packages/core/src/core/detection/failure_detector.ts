/**
 * Failure detector for one peer connection. It distinguishes a failed peer from
 * a broken connection and from a pause of this process. The state chart `peer`
 * defines the transitions.
 */
import {
  Chart,
  ChartRunner,
  loadChartDefinition,
  type ChartFunctions,
} from '../charts/chart.js';

/** Defaults as in the design, section 7.6. */
export interface FailureDetectorOptions {
  /** Time without messages, while an answer is outstanding, before a probe. */
  readonly suspectAfterMs: number;
  /** Time after which a probe on a second connection has failed. */
  readonly probeTimeoutMs: number;
  /** Interval of pings while an answer is outstanding. */
  readonly busyPingIntervalMs: number;
  /** Highest interval of pings on any connection. */
  readonly idlePingIntervalMs: number;
  /** Interval of probes to a peer that is down. */
  readonly downProbeIntervalMs: number;
}

export const DEFAULT_FAILURE_DETECTOR_OPTIONS: FailureDetectorOptions = {
  suspectAfterMs: 600,
  probeTimeoutMs: 300,
  busyPingIntervalMs: 200,
  idlePingIntervalMs: 2000,
  downProbeIntervalMs: 2000,
};

export type PeerState = 'up' | 'suspect' | 'down' | 'probing';

interface TimedEvent {
  readonly nowMs: number;
}

export type PeerEvent =
  | (TimedEvent & {readonly type: 'received'})
  | (TimedEvent & {readonly type: 'sent_expecting_answer'})
  | (TimedEvent & {readonly type: 'settled'})
  | (TimedEvent & {readonly type: 'tick'})
  | (TimedEvent & {readonly type: 'probe_answered'})
  | (TimedEvent & {readonly type: 'probe_failed'})
  /** This process did not run for `pausedMs`, which ended at `nowMs`. */
  | (TimedEvent & {readonly type: 'paused'; readonly pausedMs: number});

export type PeerDecision =
  /** Open a second connection and send a ping on it. */
  | 'probe'
  /** Use the probe's connection from now on; the peer has not failed. */
  | 'replace_connection'
  | 'declare_down'
  | 'send_ping';

export interface PeerContext {
  readonly options: FailureDetectorOptions;
  /** Number of sent messages without an answer. */
  readonly outstanding: number;
  /** Start of the time without messages from the peer. */
  readonly silentSinceMs: number;
  /** Start of the running probe; while down, the end of the last one. */
  readonly probeAtMs: number;
  readonly pingedAtMs: number;
  /** Decision on the last event. */
  readonly decision?: PeerDecision;
}

type Action = (context: PeerContext, event: PeerEvent) => PeerContext;

/** Silence starts with the first outstanding message, not before it. */
const recordSent: Action = (context, {nowMs}) => ({
  ...context,
  outstanding: context.outstanding + 1,
  silentSinceMs: context.outstanding === 0 ? nowMs : context.silentSinceMs,
  decision: undefined,
});

/** Shifts the starts of silence and probe, so that a pause does not count. */
const excludePause: Action = (context, event) => {
  if (event.type !== 'paused') return context;
  const extend = (atMs: number) =>
    Math.max(atMs, Math.min(event.nowMs, atMs + event.pausedMs));
  return {
    ...context,
    silentSinceMs: extend(context.silentSinceMs),
    probeAtMs: extend(context.probeAtMs),
    decision: undefined,
  };
};

/** Guards and actions of the chart `peer`, also used by the model checker. */
export const PEER_FUNCTIONS: ChartFunctions<PeerContext, PeerEvent> = {
  guards: {
    silenceTimedOut: ({outstanding, silentSinceMs, options}, {nowMs}) =>
      outstanding > 0 && nowMs - silentSinceMs > options.suspectAfterMs,
    // Received messages show that the connection works, so while answers are
    // outstanding a ping is sent only after silence. Pings also carry versions,
    // so each connection sends one per idle interval in any case.
    pingDue: ({outstanding, silentSinceMs, pingedAtMs, options}, {nowMs}) => {
      if (nowMs - pingedAtMs >= options.idlePingIntervalMs) return true;
      const quietMs = nowMs - Math.max(silentSinceMs, pingedAtMs);
      return outstanding > 0 && quietMs >= options.busyPingIntervalMs;
    },
    isLastOutstanding: ({outstanding}) => outstanding <= 1,
    probeTimedOut: ({probeAtMs, options}, {nowMs}) =>
      nowMs - probeAtMs > options.probeTimeoutMs,
    downProbeDue: ({probeAtMs, options}, {nowMs}) =>
      nowMs - probeAtMs >= options.downProbeIntervalMs,
  },
  actions: {
    recordReceived: (context, {nowMs}) => ({
      ...context,
      silentSinceMs: nowMs,
      decision: undefined,
    }),
    recordSent: recordSent,
    recordSettled: context => ({
      ...context,
      outstanding: Math.max(0, context.outstanding - 1),
      decision: undefined,
    }),
    excludePause: excludePause,
    startProbe: (context, {nowMs}) => ({
      ...context,
      probeAtMs: nowMs,
      decision: 'probe',
    }),
    sendPing: (context, {nowMs}) => ({
      ...context,
      pingedAtMs: nowMs,
      decision: 'send_ping',
    }),
    replaceConnection: (context, {nowMs}) => ({
      ...context,
      silentSinceMs: nowMs,
      decision: 'replace_connection',
    }),
    declareDown: (context, {nowMs}) => ({
      ...context,
      probeAtMs: nowMs,
      decision: 'declare_down',
    }),
    recordProbeFailed: (context, {nowMs}) => ({
      ...context,
      probeAtMs: nowMs,
      decision: undefined,
    }),
  },
};

export const PEER_CHART = new Chart<PeerContext, PeerEvent>(
  loadChartDefinition('peer'),
  PEER_FUNCTIONS,
);

export class FailureDetector {
  private readonly runner: ChartRunner<PeerContext, PeerEvent>;

  constructor(nowMs: number, options: Partial<FailureDetectorOptions> = {}) {
    this.runner = new ChartRunner(PEER_CHART, {
      options: {...DEFAULT_FAILURE_DETECTOR_OPTIONS, ...options},
      outstanding: 0,
      silentSinceMs: nowMs,
      probeAtMs: nowMs,
      pingedAtMs: nowMs,
    });
  }

  get state(): PeerState {
    return this.runner.state as PeerState;
  }

  get outstanding(): number {
    return this.runner.context.outstanding;
  }

  /**
   * Applies one event and returns the decision on it. Before a `tick`, the
   * caller calls `PauseMonitor.tick`, which reports a pause of this process, so
   * that the pause does not count as silence of the peer.
   */
  handle(event: PeerEvent): PeerDecision | undefined {
    const wasHandled = this.runner.send(event);
    return wasHandled ? this.runner.context.decision : undefined;
  }
}
