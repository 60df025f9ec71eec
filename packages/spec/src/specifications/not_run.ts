/**
 * Cancelling a call without idempotency key and the answer "not run" (design,
 * section 5). The call is sent on one connection and so reaches one instance of
 * the side process; a cancel may use a newer connection and reach a restarted
 * one.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, insertSorted, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface NotRunState {
  entryState: string;
  /** Answer given to the caller. */
  ran: string;
  side: {instance: number; call: string; cancelled: string[]};
  effectCount: number;
  network: string[];
}

export interface NotRunOptions {
  readonly waitsForCancelled: boolean;
  readonly remembersCancel: boolean;
  readonly remembersCalls: boolean;
  readonly answersUnknownWhileRunning: boolean;
  readonly checksInstance: boolean;
  readonly maxRestarts: number;
}

const DEFAULTS: NotRunOptions = {
  waitsForCancelled: true,
  remembersCancel: true,
  remembersCalls: true,
  answersUnknownWhileRunning: true,
  checksInstance: true,
  maxRestarts: 1,
};

const FIRST_INSTANCE = 1;

function onCall(state: NotRunState, options: NotRunOptions): void {
  const {side} = state;
  if (side.instance !== FIRST_INSTANCE) return;
  if (options.remembersCancel && side.cancelled.length > 0) return;
  if (options.remembersCalls && side.call !== 'none') return;
  side.call = 'queued';
}

function onCancel(state: NotRunState, options: NotRunOptions): void {
  const {side} = state;
  const hasRun = side.call === 'running' || side.call === 'done';
  const ran = hasRun && options.answersUnknownWhileRunning;
  if (!ran) {
    side.call = side.call === 'queued' ? 'none' : side.call;
    insertSorted(side.cancelled, 'call');
  }
  const answer = ran ? 'unknown' : 'not_run';
  send(state.network, `cancelled ${side.instance} ${answer}`);
}

function onCancelled(
  state: NotRunState,
  options: NotRunOptions,
  message: string,
): void {
  const [, instance, ran] = message.split(' ');
  if (state.entryState !== 'cancelling') return;
  const isSame = +instance === FIRST_INSTANCE;
  state.entryState = 'ended';
  state.ran = options.checksInstance && !isSame ? 'unknown' : ran;
}

function deliver(state: NotRunState, options: NotRunOptions, message: string) {
  if (message === 'call') onCall(state, options);
  else if (message === 'cancel') onCancel(state, options);
  else if (message.startsWith('cancelled')) {
    onCancelled(state, options, message);
  } else if (state.entryState !== 'ended') {
    state.entryState = 'ended';
    state.ran = 'ran';
  }
}

function cancelCall(state: NotRunState, options: NotRunOptions): void {
  send(state.network, 'cancel');
  state.entryState = options.waitsForCancelled ? 'cancelling' : 'ended';
  if (!options.waitsForCancelled) state.ran = 'not_run';
}

function successors(
  state: NotRunState,
  options: NotRunOptions,
): Successors<NotRunState> {
  const transitions: Array<readonly [string, NotRunState]> = [];
  const add = (event: string, change: (draft: NotRunState) => void) =>
    transitions.push([event, withChange(state, change)]);
  const {entryState, side} = state;
  if (entryState === 'accepted') {
    add('entry sends the call', d => {
      d.entryState = 'sent';
      send(d.network, 'call');
    });
    add('entry refuses the call', d => {
      d.entryState = 'ended';
      d.ran = 'not_run';
    });
  }
  if (entryState === 'sent') add('entry gives up', d => cancelCall(d, options));
  if (entryState === 'cancelling') {
    add('entry hears nothing', d => {
      d.entryState = 'ended';
      d.ran = 'unknown';
    });
  }
  if (side.call === 'queued') {
    add('side calls the service', d => {
      d.side.call = 'running';
      d.effectCount++;
    });
  }
  if (side.call === 'running') {
    add('service answers', d => {
      d.side.call = 'done';
      send(d.network, 'result');
    });
  }
  if (side.instance <= options.maxRestarts) {
    add('side crashes and restarts', d => {
      const instance = d.side.instance + 1;
      d.side = {instance, call: 'none', cancelled: []};
    });
  }
  for (const message of state.network) {
    add(message, d => deliver(d, options, message));
  }
  return transitions;
}

export function buildNotRun(
  overrides: Partial<NotRunOptions>,
): Specification<NotRunState> {
  const options = {...DEFAULTS, ...overrides};
  return {
    initial: {
      entryState: 'accepted',
      ran: '',
      side: {instance: FIRST_INSTANCE, call: 'none', cancelled: []},
      effectCount: 0,
      network: [],
    },
    successors: state => successors(state, options),
    invariants: {
      [NOT_RUN]: state => state.ran !== 'not_run' || state.effectCount === 0,
      [AT_MOST_ONCE]: state => state.effectCount <= 1,
    },
  };
}

const NOT_RUN = 'a call answered not_run has not run and never will';
const AT_MOST_ONCE = 'a call without key runs at most once';

export const NOT_RUN_CASES: readonly SpecificationCase[] = [
  defineCase<NotRunState, NotRunOptions>({
    name: 'not run: cancel of a call without key',
    build: buildNotRun,
    controls: [
      {
        removed: 'the entry waits for cancelled',
        options: {waitsForCancelled: false},
        violates: NOT_RUN,
      },
      {
        removed: 'the side remembers a cancel that precedes its call',
        options: {remembersCancel: false},
        violates: NOT_RUN,
      },
      {
        removed: 'the side remembers the calls it has seen',
        options: {remembersCalls: false},
        violates: AT_MOST_ONCE,
      },
      {
        removed: 'the side answers unknown for a call that it started',
        options: {answersUnknownWhileRunning: false},
        violates: NOT_RUN,
      },
      {
        removed: 'only the instance that was sent the call confirms not_run',
        options: {checksInstance: false},
        violates: NOT_RUN,
      },
    ],
  }),
];
