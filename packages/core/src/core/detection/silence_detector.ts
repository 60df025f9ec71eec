/**
 * Tells a dead peer from a silent connection and from a pause of this process.
 * One detector watches one connection; the chart `peer` holds the transitions.
 */
import {
  Chart,
  ChartRunner,
  loadChartDefinition,
  type ChartFunctions,
} from '../charts/chart.js';

/** Defaults as in the design, section 7.6. */
export interface SilenceOptions {
  /** Silence, while something is outstanding, after which to probe. */
  readonly suspectAfterMs: number;
  /** Time a probe on a second connection may take. */
  readonly probeTimeoutMs: number;
  /** Period of pings while something is outstanding. */
  readonly busyPingMs: number;
  readonly idlePingMs: number;
  /** Period of probes to a peer that is down. */
  readonly recheckMs: number;
}

export const DEFAULT_SILENCE: SilenceOptions = {
  suspectAfterMs: 600,
  probeTimeoutMs: 300,
  busyPingMs: 200,
  idlePingMs: 2000,
  recheckMs: 2000,
};

export type PeerState = 'up' | 'suspect' | 'down' | 'probing';

interface At {
  readonly nowMs: number;
}

export type PeerEvent =
  | (At & {readonly type: 'received'})
  | (At & {readonly type: 'sent_expecting_answer'})
  | (At & {readonly type: 'settled'})
  | (At & {readonly type: 'tick'})
  | (At & {readonly type: 'probe_answered'})
  | (At & {readonly type: 'probe_failed'})
  /** This process did not run for `pausedMs`, which ended at `nowMs`. */
  | (At & {readonly type: 'paused'; readonly pausedMs: number});

export type PeerDecision =
  /** Open a second connection and send a ping on it. */
  | 'probe'
  /** Move to the probe's connection; no failure is attributed to the peer. */
  | 'replace_connection'
  | 'declare_down'
  | 'send_ping';

export interface PeerContext {
  readonly options: SilenceOptions;
  /** Messages that still await an answer. */
  readonly outstanding: number;
  /** Start of the running silence. */
  readonly silentSinceMs: number;
  /** Start of the running probe, or end of the last one while down. */
  readonly probeAtMs: number;
  readonly pingedAtMs: number;
  /** Decision of the last event. */
  readonly decision?: PeerDecision;
}

type Action = (context: PeerContext, event: PeerEvent) => PeerContext;

/** Silence counts from the first outstanding message, not from before it. */
const noteSent: Action = (context, {nowMs}) => ({
  ...context,
  outstanding: context.outstanding + 1,
  silentSinceMs: context.outstanding === 0 ? nowMs : context.silentSinceMs,
  decision: undefined,
});

const extendPeriods: Action = (context, event) => {
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

/** Functions of the chart `peer`; also used by the model checker. */
export const PEER_FUNCTIONS: ChartFunctions<PeerContext, PeerEvent> = {
  guards: {
    silentTooLong: ({outstanding, silentSinceMs, options}, {nowMs}) =>
      outstanding > 0 && nowMs - silentSinceMs > options.suspectAfterMs,
    // Traffic shows that the connection works, so a busy one is pinged only
    // when an answer is late; but versions travel on pings, so each connection
    // has one in every idle period.
    pingDue: ({outstanding, silentSinceMs, pingedAtMs, options}, {nowMs}) => {
      if (nowMs - pingedAtMs >= options.idlePingMs) return true;
      const quietMs = nowMs - Math.max(silentSinceMs, pingedAtMs);
      return outstanding > 0 && quietMs >= options.busyPingMs;
    },
    isLast: ({outstanding}) => outstanding <= 1,
    probeTimedOut: ({probeAtMs, options}, {nowMs}) =>
      nowMs - probeAtMs > options.probeTimeoutMs,
    recheckDue: ({probeAtMs, options}, {nowMs}) =>
      nowMs - probeAtMs >= options.recheckMs,
  },
  actions: {
    noteReceived: (context, {nowMs}) => ({
      ...context,
      silentSinceMs: nowMs,
      decision: undefined,
    }),
    noteSent,
    noteSettled: context => ({
      ...context,
      outstanding: Math.max(0, context.outstanding - 1),
      decision: undefined,
    }),
    extendPeriods,
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
    noteProbeFailed: (context, {nowMs}) => ({
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

export class SilenceDetector {
  private readonly runner: ChartRunner<PeerContext, PeerEvent>;

  constructor(nowMs: number, options: Partial<SilenceOptions> = {}) {
    this.runner = new ChartRunner(PEER_CHART, {
      options: {...DEFAULT_SILENCE, ...options},
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
   * Applies one event. Before a `tick`, the caller lets `PauseMonitor.tick`
   * report a pause, so that the pause is not taken for the peer's silence.
   */
  handle(event: PeerEvent): PeerDecision | undefined {
    const taken = this.runner.send(event);
    return taken ? this.runner.context.decision : undefined;
  }
}
