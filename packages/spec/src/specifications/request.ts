/**
 * Request and attempts over a chain of stages (design, sections 4.1 and 4.2).
 * The entry, whose states are those of the chart `request`, drives one request
 * after the other; stages freeze, resume, crash, restart and are replaced.
 */
import type {Specification, Successors} from '../checker.js';
import {loadChartTransition} from '../chart_steps.js';
import {withChange, send} from '../state_tools.js';
import {deliverToStage, type StageOptions} from './request_stage.js';
import {createStage, type RequestState, type Stage} from './request_state.js';

/** Names of the invariants. */
export const RUNS_ONCE =
  'no stage instance runs a position twice or out of order';
export const RIGHT_VALUE =
  'the entry accepts each position once, in order, with the right value';
export const OWN_TOKEN = 'no token of another request is accepted';
export const CLEAN_END = 'a stream ends cleanly only when complete';
export const COMPLETES = 'the request can always still be completed';

export interface RequestOptions extends StageOptions {
  /** Chain of each attempt, the first attempt first. */
  readonly chains: ReadonlyArray<readonly string[]>;
  readonly positions: number;
  /** Ids that the entry gives to the requests it serves in turn. */
  readonly requestIds: readonly string[];
  readonly freezes: number;
  /** Stages that may freeze. */
  readonly freezable: readonly string[];
  readonly crashes: number;
  readonly reloads: number;
  readonly entryChecksRequest: boolean;
  readonly entryChecksAttempt: boolean;
  readonly entryChecksPosition: boolean;
  readonly endsOnlyWhenComplete: boolean;
  /** The entry releases the stages; otherwise a run ends when complete. */
  readonly releases: boolean;
  /** A frozen stage resumes; otherwise it stays silent. */
  readonly resumes: boolean;
  /** After a recovery the entry repeats the awaited step in the new attempt. */
  readonly resendsAwaitedStep: boolean;
}

const DEFAULTS: RequestOptions = {
  chains: [
    ['s0', 's1', 's2'],
    ['s0', 'r1', 's2'],
  ],
  positions: 2,
  requestIds: ['a'],
  freezes: 0,
  freezable: ['s1'],
  crashes: 0,
  reloads: 0,
  wholeRunAttempt: 0,
  logLength: 99,
  dropsStaleAttempt: true,
  skipsDuplicates: true,
  answersGap: true,
  replayCarriesChain: true,
  remembersReleased: true,
  wholeRunDiscards: true,
  reloadDiscards: true,
  entryChecksRequest: true,
  entryChecksAttempt: true,
  entryChecksPosition: true,
  endsOnlyWhenComplete: true,
  releases: false,
  resumes: true,
  resendsAwaitedStep: true,
};

const step = loadChartTransition('request');

/** Content of the request the entry is serving. */
const contentOf = (state: RequestState) => 'abc'[state.served];

function sendStep(state: RequestState, from: number): void {
  const count = state.accepted.length + 1 - from;
  const {request, attempt} = state;
  const content = contentOf(state);
  send(
    state.network,
    `run ${request} ${attempt} 0 ${from} ${count} ${content}`,
  );
}

function startRequest(state: RequestState, options: RequestOptions): void {
  state.request = options.requestIds[state.served];
  state.attempt = 1;
  state.accepted = [];
  state.chart = step(step(step('routing', 'open_sent'), 'granted'), 'none');
  sendStep(state, 0);
}

function acceptToken(state: RequestState, options: RequestOptions, m: string) {
  const [, request, attempt, position, value] = m.split(' ');
  if (state.chart !== 'generating') return;
  if (options.entryChecksRequest && request !== state.request) return;
  if (options.entryChecksAttempt && +attempt !== state.attempt) return;
  const awaited = state.accepted.length;
  if (options.entryChecksPosition && +position !== awaited) return;
  state.accepted.push(value);
  if (state.accepted.length < options.positions) {
    state.chart = step(state.chart, 'token');
    sendStep(state, awaited + 1);
    return;
  }
  state.chart = step(state.chart, 'last_token');
  if (options.releases) release(state, options);
}

function release(state: RequestState, options: RequestOptions): void {
  for (const stage of options.chains[state.attempt - 1].keys()) {
    send(state.network, `release ${state.request} ${state.attempt} ${stage}`);
  }
}

/** Replaces the stage in which this attempt's chain differs from the next. */
function recover(state: RequestState, options: RequestOptions): void {
  if (!options.endsOnlyWhenComplete) {
    state.chart = step(state.chart, 'last_token');
    return;
  }
  const lost = options.chains[state.attempt - 1].findIndex(
    (server, index) => server !== options.chains[state.attempt][index],
  );
  state.attempt++;
  state.chart = step(step(state.chart, 'stage_lost'), 'rerouted');
  const {request, attempt} = state;
  if (options.wholeRunAttempt === attempt || lost < 1) {
    sendStep(state, 0);
    return;
  }
  options.chains[attempt - 1].forEach((_, index) => {
    if (index === lost) return;
    send(state.network, `reroute ${request} ${attempt} ${index}`);
  });
  send(state.network, `replay ${request} ${attempt} ${lost - 1} 0`);
  if (options.resendsAwaitedStep) sendStep(state, state.accepted.length);
}

function deliver(state: RequestState, options: RequestOptions, m: string) {
  const [type, request, attempt, stage, next] = m.split(' ');
  if (type === 'token') return acceptToken(state, options, m);
  if (type !== 'gap' || stage !== '-1') {
    return deliverToStage(state, options, m);
  }
  const current = request === state.request && +attempt === state.attempt;
  if (current && state.chart === 'generating') sendStep(state, +next);
}

function faults(
  state: RequestState,
  options: RequestOptions,
): Successors<RequestState> {
  const found: Array<readonly [string, RequestState]> = [];
  const add = (event: string, change: (draft: RequestState) => void) =>
    found.push([event, withChange(state, change)]);
  for (const [name, stage] of Object.entries(state.stages)) {
    if (stage.frozen && options.resumes)
      add(`resume ${name}`, d => resume(d.stages[name]));
    const mayFreeze = options.freezable.includes(name);
    if (mayFreeze && !stage.frozen && state.freezes < options.freezes) {
      add(`freeze ${name}`, d => {
        d.freezes++;
        d.stages[name].frozen = true;
      });
    }
    if (state.crashes < options.crashes && Object.keys(stage.ran).length) {
      add(`crash and restart ${name}`, d => {
        d.crashes++;
        d.stages[name] = createStage();
      });
    }
    if (state.reloads < options.reloads) {
      add(`reload engine of ${name}`, d => reload(d, options, name));
    }
  }
  return found;
}

function resume(stage: Stage): void {
  stage.frozen = false;
}

/** The engine restarts or loads another range or version: its cache is lost. */
function reload(state: RequestState, options: RequestOptions, name: string) {
  const stage = state.stages[name];
  state.reloads++;
  stage.engine++;
  if (options.reloadDiscards) stage.sequences = {};
  for (const sequence of Object.values(stage.sequences)) sequence.cache = 'x';
}

function successors(
  state: RequestState,
  options: RequestOptions,
): Successors<RequestState> {
  if (state.chart === 'complete' && !options.releases) return [];
  const found: Array<readonly [string, RequestState]> = [];
  const add = (event: string, change: (draft: RequestState) => void) =>
    found.push([event, withChange(state, change)]);
  const running = state.chart === 'generating';
  if (running && state.attempt < options.chains.length) {
    add('stage lost', d => recover(d, options));
  }
  if (state.served + 1 < options.requestIds.length) {
    add('next request', d => {
      d.served++;
      startRequest(d, options);
    });
  }
  for (const message of state.network) {
    add(message, d => deliver(d, options, message));
  }
  return [...found, ...faults(state, options)];
}

function isRunOnceInOrder(state: RequestState): boolean {
  return Object.values(state.stages).every(stage =>
    Object.values(stage.ran).every(ran => ran.every((p, i) => p === i)),
  );
}

/** Builds the specification; options left out have their safe values. */
export function buildRequest(
  given: Partial<RequestOptions>,
): Specification<RequestState> {
  const options = {...DEFAULTS, ...given};
  const names = [...new Set(options.chains.flat())].sort();
  const initial: RequestState = {
    chart: 'routing',
    served: 0,
    request: '',
    attempt: 1,
    accepted: [],
    stages: Object.fromEntries(names.map(name => [name, createStage()])),
    network: [],
    freezes: 0,
    crashes: 0,
    reloads: 0,
  };
  startRequest(initial, options);
  return {
    initial,
    successors: state => successors(state, options),
    invariants: {
      [RUNS_ONCE]: isRunOnceInOrder,
      [RIGHT_VALUE]: state =>
        state.accepted.every((value, index) => value.slice(1) === `${index}`),
      [OWN_TOKEN]: state =>
        state.accepted.every(
          value => value === 'x' || value.startsWith(contentOf(state)),
        ),
      [CLEAN_END]: state =>
        state.chart !== 'complete' ||
        state.accepted.length === options.positions,
    },
    progress: {
      name: COMPLETES,
      goal: state => state.chart === 'complete',
    },
  };
}
