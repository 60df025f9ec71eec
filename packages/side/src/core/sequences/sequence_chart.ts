/**
 * Rules by which a stage takes the inputs of one request (chart `sequence`).
 * Each position runs once and in order, whatever is repeated, late or crossed.
 */
import {
  Chart,
  ChartRunner,
  loadChartDefinition,
  type AttemptId,
  type Chain,
  type PeerAddress,
  type Rank,
  type RequestId,
} from '@azurecrank/core';

/** Fields that every message for a sequence carries. */
export interface SequenceRoute {
  readonly attempt: AttemptId;
  /** First attempt whose cache is still valid. */
  readonly cacheSince: AttemptId;
  readonly chain: Chain;
  readonly stage: number;
  readonly entry: PeerAddress;
  readonly rank: Rank;
}

export interface InputEvent {
  readonly type: 'input';
  readonly route: SequenceRoute;
  readonly position: number;
  readonly count: number;
}

export type SequenceEvent =
  | InputEvent
  | {
      readonly type: 'reroute';
      readonly route: Omit<SequenceRoute, 'entry' | 'rank'>;
    }
  | {readonly type: 'output'; readonly count: number}
  | {readonly type: 'failed'}
  | {readonly type: 'reset'}
  /** The cache is being moved to another server. */
  | {readonly type: 'move'}
  | {readonly type: 'resume'}
  | {readonly type: 'release'; readonly attempt: AttemptId};

/** What the stage does with the event that was taken last. */
export type SequenceDecision =
  | {readonly kind: 'none'}
  | {readonly kind: 'drop_stale'}
  | {readonly kind: 'wait'}
  | {
      readonly kind: 'run';
      readonly position: number;
      readonly count: number;
      /** Positions at the start of the input that have run already. */
      readonly skip: number;
    }
  | {readonly kind: 'resend'}
  | {readonly kind: 'report_gap'}
  | {readonly kind: 'forward'; readonly position: number};

export interface SequenceContext {
  readonly route: SequenceRoute;
  readonly nextPosition: number;
  readonly decision: SequenceDecision;
}

type Guard = (context: SequenceContext, event: SequenceEvent) => boolean;
type Action = (
  context: SequenceContext,
  event: SequenceEvent,
) => SequenceContext;

function attemptOf(event: SequenceEvent): number {
  if (event.type === 'input' || event.type === 'reroute') {
    return event.route.attempt;
  }
  return event.type === 'release' ? event.attempt : 0;
}

function endOf(event: SequenceEvent): number {
  return event.type === 'input' ? event.position + event.count : 0;
}

const guards: Record<string, Guard> = {
  is_stale: ({route}, event) => attemptOf(event) < route.attempt,
  is_newer: ({route}, event) => attemptOf(event) > route.attempt,
  is_current: ({route}, event) => attemptOf(event) >= route.attempt,
  has_new_positions: ({nextPosition}, event) =>
    event.type === 'input' &&
    event.position <= nextPosition &&
    endOf(event) > nextPosition,
  is_duplicate: ({nextPosition}, event) => endOf(event) <= nextPosition,
};

const decide =
  (decision: SequenceDecision): Action =>
  context => ({...context, decision});

const actions: Record<string, Action> = {
  ignore: decide({kind: 'none'}),
  drop_stale: decide({kind: 'drop_stale'}),
  wait: decide({kind: 'wait'}),
  resend: decide({kind: 'resend'}),
  report_gap: decide({kind: 'report_gap'}),
  adopt: (context, event) => {
    if (event.type !== 'input' && event.type !== 'reroute') return context;
    const route = {...context.route, ...event.route};
    return {...context, route, decision: {kind: 'none'}};
  },
  run: (context, event) => {
    if (event.type !== 'input') return context;
    const skip = context.nextPosition - event.position;
    const count = event.count - skip;
    const position = context.nextPosition;
    return {...context, decision: {kind: 'run', position, count, skip}};
  },
  advance: (context, event) => {
    const count = event.type === 'output' ? event.count : 0;
    return {...context, nextPosition: context.nextPosition + count};
  },
  forward: context => ({
    ...context,
    decision: {kind: 'forward', position: context.nextPosition},
  }),
  reset: context => ({...context, nextPosition: 0}),
};

/** The chart `sequence` with its guards and actions. */
export const SEQUENCE_CHART = new Chart<SequenceContext, SequenceEvent>(
  loadChartDefinition('sequence'),
  {guards, actions},
);

/** State of one request at this stage. */
export class Sequence {
  /** Cache of the sequence in the engine; a new one after each reset. */
  engineKey: string;
  private resets = 0;

  private readonly runner: ChartRunner<SequenceContext, SequenceEvent>;

  /** Time of the last message, from `performance.now()`. */
  lastUsedMs = performance.now();

  constructor(
    private readonly request: RequestId,
    route: SequenceRoute,
    nextPosition = 0,
  ) {
    this.engineKey = `${request}#${route.cacheSince}`;
    const decision = {kind: 'none'} as const;
    const context = {route, nextPosition, decision};
    this.runner = new ChartRunner(SEQUENCE_CHART, context);
  }

  get state(): string {
    return this.runner.state;
  }

  get route(): SequenceRoute {
    return this.runner.context.route;
  }

  get nextPosition(): number {
    return this.runner.context.nextPosition;
  }

  get isReleased(): boolean {
    return this.state === 'released';
  }

  /**
   * Names a new cache in the engine. The old one may be at any position: a run
   * that was not answered may have taken effect.
   */
  renewEngineKey(): string {
    const old = this.engineKey;
    const {cacheSince} = this.route;
    this.engineKey = `${this.request}#${cacheSince}.${++this.resets}`;
    return old;
  }

  /** Applies `event`; `none` if the chart does not take it. */
  send(event: SequenceEvent): SequenceDecision {
    this.lastUsedMs = performance.now();
    const taken = this.runner.send(event);
    return taken ? this.runner.context.decision : {kind: 'none'};
  }
}
