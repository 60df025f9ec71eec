/**
 * State machine for the inputs of one request at a stage (chart `sequence`).
 * Each position runs once and in order, even if messages are duplicated,
 * delayed or reordered.
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

/** Routing fields that every input of a sequence carries. */
export interface SequenceRoute {
  readonly attempt: AttemptId;
  /** First attempt whose KV cache is still valid. */
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
  /** The KV cache is being migrated to another server. */
  | {readonly type: 'move'}
  | {readonly type: 'resume'}
  | {readonly type: 'release'; readonly attempt: AttemptId};

/** What the stage has to do after the last event. */
export type SequenceDecision =
  | {readonly kind: 'none'}
  | {readonly kind: 'drop_stale'}
  /** Keep the input until the running step has ended. */
  | {readonly kind: 'keep_input'}
  | {
      readonly kind: 'run';
      readonly position: number;
      readonly count: number;
      /** Number of positions at the start of the input that ran already. */
      readonly skip: number;
    }
  /** Send the last output again. */
  | {readonly kind: 'resend'}
  /** Report the next expected position to the entry. */
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

function endPositionOf(event: SequenceEvent): number {
  return event.type === 'input' ? event.position + event.count : 0;
}

const guards: Record<string, Guard> = {
  is_stale: ({route}, event) => attemptOf(event) < route.attempt,
  is_newer: ({route}, event) => attemptOf(event) > route.attempt,
  is_current_or_newer: ({route}, event) => attemptOf(event) >= route.attempt,
  has_new_positions: ({nextPosition}, event) =>
    event.type === 'input' &&
    event.position <= nextPosition &&
    endPositionOf(event) > nextPosition,
  is_duplicate: ({nextPosition}, event) => endPositionOf(event) <= nextPosition,
};

const withDecision =
  (decision: SequenceDecision): Action =>
  context => ({...context, decision});

const actions: Record<string, Action> = {
  ignore: withDecision({kind: 'none'}),
  drop_stale: withDecision({kind: 'drop_stale'}),
  keep_input: withDecision({kind: 'keep_input'}),
  resend_output: withDecision({kind: 'resend'}),
  report_gap: withDecision({kind: 'report_gap'}),
  update_route: (context, event) => {
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
  advance_position: (context, event) => {
    const count = event.type === 'output' ? event.count : 0;
    return {...context, nextPosition: context.nextPosition + count};
  },
  forward_output: context => ({
    ...context,
    decision: {kind: 'forward', position: context.nextPosition},
  }),
  reset: context => ({...context, nextPosition: 0}),
};

/** Chart `sequence`, bound to its guards and actions. */
export const SEQUENCE_CHART = new Chart<SequenceContext, SequenceEvent>(
  loadChartDefinition('sequence'),
  {guards, actions},
);

/** State of one request at a stage. */
export class Sequence {
  /** Key of the sequence's KV cache in the engine; changes at each reset. */
  engineKey: string;
  private resetCount = 0;

  private readonly runner: ChartRunner<SequenceContext, SequenceEvent>;

  /** Time of the last event, from `performance.now()`. */
  lastUsedAtMs = performance.now();

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
   * Switches to a new KV cache in the engine and returns the key of the old
   * one, which is unusable: a run without an answer may have changed it, so its
   * position is unknown.
   */
  renewEngineKey(): string {
    const old = this.engineKey;
    const {cacheSince} = this.route;
    this.engineKey = `${this.request}#${cacheSince}.${++this.resetCount}`;
    return old;
  }

  /** Applies `event`. Returns `none` if the state has no transition for it. */
  send(event: SequenceEvent): SequenceDecision {
    this.lastUsedAtMs = performance.now();
    const wasHandled = this.runner.send(event);
    return wasHandled ? this.runner.context.decision : {kind: 'none'};
  }
}
