/**
 * A request and its attempts on paths of stages (design, sections 4.1 and 4.2).
 * The entry, whose states are those of the chart `request`, drives one request
 * after the other; stages freeze, resume, crash, restart and are replaced.
 */
import type {Specification, Successors} from '../checker.js';
import {loadChartTransition} from '../chart_transition.js';
import {withChange, send} from '../state_tools.js';
import {deliverToStage, type StageOptions} from './request_stage.js';
import {createStage, type RequestState, type Stage} from './request_state.js';

/** Names of the invariants and of the progress property. */
export const RUNS_ONCE =
  'no stage instance runs a position twice or out of order';
export const CORRECT_VALUES =
  'the entry accepts each position once, in order, with the right value';
export const ONLY_OWN_TOKENS = 'no token of another request is accepted';
export const CLEAN_END_ONLY_IF_COMPLETE =
  'a stream ends cleanly only when complete';
export const CAN_COMPLETE = 'the request can always still be completed';

export interface RequestOptions extends StageOptions {
  /** Path of each attempt, in order of attempts. */
  readonly paths: ReadonlyArray<readonly string[]>;
  readonly positionCount: number;
  /** Ids of the requests, in the order in which the entry serves them. */
  readonly requestIds: readonly string[];
  readonly maxFreezes: number;
  /** Stages that may freeze. */
  readonly freezableStages: readonly string[];
  readonly maxCrashes: number;
  readonly maxReloads: number;
  readonly entryChecksRequest: boolean;
  readonly entryChecksAttempt: boolean;
  readonly entryChecksPosition: boolean;
  readonly endsOnlyWhenComplete: boolean;
  /** The entry releases the stages after the last token; otherwise no events follow it. */
  readonly releasesStages: boolean;
  /** A frozen stage may resume; otherwise it stays frozen. */
  readonly frozenStagesResume: boolean;
  /** After a recovery the entry sends the awaited step again in the new attempt. */
  readonly resendsAwaitedStep: boolean;
}

const DEFAULTS: RequestOptions = {
  paths: [
    ['s0', 's1', 's2'],
    ['s0', 'r1', 's2'],
  ],
  positionCount: 2,
  requestIds: ['a'],
  maxFreezes: 0,
  freezableStages: ['s1'],
  maxCrashes: 0,
  maxReloads: 0,
  wholeRunAttempt: 0,
  activationLogLength: 99,
  dropsStaleAttempt: true,
  skipsDuplicates: true,
  answersGap: true,
  replayCarriesPath: true,
  remembersReleased: true,
  wholeRunDiscards: true,
  reloadDiscards: true,
  entryChecksRequest: true,
  entryChecksAttempt: true,
  entryChecksPosition: true,
  endsOnlyWhenComplete: true,
  releasesStages: false,
  frozenStagesResume: true,
  resendsAwaitedStep: true,
};

const nextChartState = loadChartTransition('request');

/** Content of the request that the entry is serving. */
const contentOf = (state: RequestState) => 'abc'[state.servedCount];

function sendStep(state: RequestState, from: number): void {
  const count = state.acceptedValues.length + 1 - from;
  const {requestId, attempt} = state;
  const content = contentOf(state);
  send(
    state.network,
    `run ${requestId} ${attempt} 0 ${from} ${count} ${content}`,
  );
}

function startRequest(state: RequestState, options: RequestOptions): void {
  state.requestId = options.requestIds[state.servedCount];
  state.attempt = 1;
  state.acceptedValues = [];
  state.chartState = nextChartState(
    nextChartState(nextChartState('routing', 'open_sent'), 'granted'),
    'none',
  );
  sendStep(state, 0);
}

function acceptToken(state: RequestState, options: RequestOptions, m: string) {
  const [, request, attempt, position, value] = m.split(' ');
  if (state.chartState !== 'generating') return;
  if (options.entryChecksRequest && request !== state.requestId) return;
  if (options.entryChecksAttempt && +attempt !== state.attempt) return;
  const awaited = state.acceptedValues.length;
  if (options.entryChecksPosition && +position !== awaited) return;
  state.acceptedValues.push(value);
  if (state.acceptedValues.length < options.positionCount) {
    state.chartState = nextChartState(state.chartState, 'token');
    sendStep(state, awaited + 1);
    return;
  }
  state.chartState = nextChartState(state.chartState, 'last_token');
  if (options.releasesStages) releaseStages(state, options);
}

function releaseStages(state: RequestState, options: RequestOptions): void {
  for (const stage of options.paths[state.attempt - 1].keys()) {
    send(state.network, `release ${state.requestId} ${state.attempt} ${stage}`);
  }
}

/** Starts the next attempt, whose path replaces the lost stage. */
function recover(state: RequestState, options: RequestOptions): void {
  if (!options.endsOnlyWhenComplete) {
    state.chartState = nextChartState(state.chartState, 'last_token');
    return;
  }
  const lost = options.paths[state.attempt - 1].findIndex(
    (server, index) => server !== options.paths[state.attempt][index],
  );
  state.attempt++;
  state.chartState = nextChartState(
    nextChartState(state.chartState, 'stage_lost'),
    'rerouted',
  );
  const {requestId: request, attempt} = state;
  if (options.wholeRunAttempt === attempt || lost < 1) {
    sendStep(state, 0);
    return;
  }
  options.paths[attempt - 1].forEach((_, index) => {
    if (index === lost) return;
    send(state.network, `reroute ${request} ${attempt} ${index}`);
  });
  send(state.network, `replay ${request} ${attempt} ${lost - 1} 0`);
  if (options.resendsAwaitedStep) sendStep(state, state.acceptedValues.length);
}

function deliver(state: RequestState, options: RequestOptions, m: string) {
  const [type, request, attempt, stage, next] = m.split(' ');
  if (type === 'token') return acceptToken(state, options, m);
  if (type !== 'gap' || stage !== '-1') {
    return deliverToStage(state, options, m);
  }
  const current = request === state.requestId && +attempt === state.attempt;
  if (current && state.chartState === 'generating') sendStep(state, +next);
}

function faultTransitions(
  state: RequestState,
  options: RequestOptions,
): Successors<RequestState> {
  const transitions: Array<readonly [string, RequestState]> = [];
  const add = (event: string, change: (draft: RequestState) => void) =>
    transitions.push([event, withChange(state, change)]);
  for (const [name, stage] of Object.entries(state.stages)) {
    if (stage.frozen && options.frozenStagesResume)
      add(`resume ${name}`, d => resumeStage(d.stages[name]));
    const mayFreeze = options.freezableStages.includes(name);
    if (mayFreeze && !stage.frozen && state.freezeCount < options.maxFreezes) {
      add(`freeze ${name}`, d => {
        d.freezeCount++;
        d.stages[name].frozen = true;
      });
    }
    if (
      state.crashCount < options.maxCrashes &&
      Object.keys(stage.positionsRun).length
    ) {
      add(`crash and restart ${name}`, d => {
        d.crashCount++;
        d.stages[name] = createStage();
      });
    }
    if (state.reloadCount < options.maxReloads) {
      add(`reload engine of ${name}`, d => reloadEngine(d, options, name));
    }
  }
  return transitions;
}

function resumeStage(stage: Stage): void {
  stage.frozen = false;
}

/** The engine restarts or loads another layer range or model version and loses its KV cache. */
function reloadEngine(
  state: RequestState,
  options: RequestOptions,
  name: string,
) {
  const stage = state.stages[name];
  state.reloadCount++;
  stage.engineGeneration++;
  if (options.reloadDiscards) stage.sequences = {};
  for (const sequence of Object.values(stage.sequences))
    sequence.cacheContent = 'x';
}

function successors(
  state: RequestState,
  options: RequestOptions,
): Successors<RequestState> {
  if (state.chartState === 'complete' && !options.releasesStages) return [];
  const transitions: Array<readonly [string, RequestState]> = [];
  const add = (event: string, change: (draft: RequestState) => void) =>
    transitions.push([event, withChange(state, change)]);
  const running = state.chartState === 'generating';
  if (running && state.attempt < options.paths.length) {
    add('stage lost', d => recover(d, options));
  }
  if (state.servedCount + 1 < options.requestIds.length) {
    add('next request', d => {
      d.servedCount++;
      startRequest(d, options);
    });
  }
  for (const message of state.network) {
    add(message, d => deliver(d, options, message));
  }
  return [...transitions, ...faultTransitions(state, options)];
}

function isRunOnceInOrder(state: RequestState): boolean {
  return Object.values(state.stages).every(stage =>
    Object.values(stage.positionsRun).every(ran =>
      ran.every((p, i) => p === i),
    ),
  );
}

/** Builds the specification; omitted options keep their defaults, with every guard active. */
export function buildRequest(
  overrides: Partial<RequestOptions>,
): Specification<RequestState> {
  const options = {...DEFAULTS, ...overrides};
  const names = [...new Set(options.paths.flat())].sort();
  const initial: RequestState = {
    chartState: 'routing',
    servedCount: 0,
    requestId: '',
    attempt: 1,
    acceptedValues: [],
    stages: Object.fromEntries(names.map(name => [name, createStage()])),
    network: [],
    freezeCount: 0,
    crashCount: 0,
    reloadCount: 0,
  };
  startRequest(initial, options);
  return {
    initial,
    successors: state => successors(state, options),
    invariants: {
      [RUNS_ONCE]: isRunOnceInOrder,
      [CORRECT_VALUES]: state =>
        state.acceptedValues.every(
          (value, index) => value.slice(1) === `${index}`,
        ),
      [ONLY_OWN_TOKENS]: state =>
        state.acceptedValues.every(
          value => value === 'x' || value.startsWith(contentOf(state)),
        ),
      [CLEAN_END_ONLY_IF_COMPLETE]: state =>
        state.chartState !== 'complete' ||
        state.acceptedValues.length === options.positionCount,
    },
    progress: {
      name: CAN_COMPLETE,
      goal: state => state.chartState === 'complete',
    },
  };
}
