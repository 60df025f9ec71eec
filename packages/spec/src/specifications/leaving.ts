/**
 * Leaving (design, section 8): a side whose states are those of the chart
 * `process`, with a model request and a plain call that may be in flight, a
 * notice that may be lost and a host list that lags.
 */
import type {Specification, Successors} from '../checker.js';
import {loadChartTransition} from '../chart_steps.js';
import {withChange, insertSorted, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface LeavingState {
  /** State of the chart `process` at the side. */
  side: string;
  queued: string[];
  running: string[];
  ran: string[];
  /** Requests started after the side had begun to leave. */
  startedLate: string[];
  cut: string[];
  deadlinePassed: boolean;
  /** What the entry knows of each request. */
  requests: Record<string, string>;
  /** The entry has learnt that the side leaves. */
  noticed: boolean;
  /** The entry has closed its connection for new work. */
  closed: boolean;
  network: string[];
}

export interface LeavingOptions {
  readonly refusesNewWork: boolean;
  readonly refusesQueued: boolean;
  readonly waitsForRunning: boolean;
  readonly waitsForEntries: boolean;
  readonly refusedIsForgotten: boolean;
}

const DEFAULTS: LeavingOptions = {
  refusesNewWork: true,
  refusesQueued: true,
  waitsForRunning: true,
  waitsForEntries: true,
  refusedIsForgotten: true,
};

const REQUESTS = ['open1', 'open2', 'call1'];
const step = loadChartTransition('process');
const isLeaving = (state: LeavingState) => state.side === 'leaving';

/** The side takes a request from its connection. */
function receive(state: LeavingState, options: LeavingOptions, id: string) {
  state.network = state.network.filter(other => other !== `request ${id}`);
  if (isLeaving(state) && options.refusesNewWork) {
    refuse(state, id);
    if (!options.refusedIsForgotten) insertSorted(state.queued, id);
  } else insertSorted(state.queued, id);
}

function refuse(state: LeavingState, id: string): void {
  send(state.network, `refused ${id}`);
}

function start(state: LeavingState, id: string): void {
  state.queued = state.queued.filter(other => other !== id);
  insertSorted(state.running, id);
  insertSorted(state.ran, id);
  if (isLeaving(state)) insertSorted(state.startedLate, id);
}

function finish(state: LeavingState, id: string): void {
  state.running = state.running.filter(other => other !== id);
  send(state.network, `result ${id}`);
}

function leave(state: LeavingState, options: LeavingOptions): void {
  state.side = step(state.side, 'stop');
  send(state.network, 'leaving');
  if (!options.refusesQueued) return;
  for (const id of state.queued) refuse(state, id);
  state.queued = [];
}

function stop(state: LeavingState, event: 'drained' | 'deadline'): void {
  state.side = step(state.side, event);
  state.deadlinePassed = event === 'deadline';
  state.cut = [...state.running, ...state.queued].sort();
  state.running = [];
  state.queued = [];
}

/** The entry sees the connection end without an answer to `id`. */
function loseAnswer(state: LeavingState, id: string): void {
  // A model request can be opened again; a call may have run.
  state.requests[id] = id.startsWith('open') ? 'elsewhere' : 'unknown';
}

function mayDrain(state: LeavingState, options: LeavingOptions): boolean {
  const isIdle = state.running.length + state.queued.length === 0;
  const hasUnread = state.network.some(m => m.startsWith('request '));
  const isClosed = state.closed && !hasUnread;
  return (
    (isIdle || !options.waitsForRunning) &&
    (isClosed || !options.waitsForEntries)
  );
}

type Step = [event: string, change: (draft: LeavingState) => void];

function sideSteps(state: LeavingState, options: LeavingOptions): Step[] {
  const steps: Step[] = [];
  if (state.side === 'stopped') return steps;
  if (state.side === 'ready') {
    steps.push(['side begins to leave', d => leave(d, options)]);
  }
  for (const id of state.queued) {
    steps.push([`side starts ${id}`, d => start(d, id)]);
  }
  for (const id of state.running) {
    steps.push([`side finishes ${id}`, d => finish(d, id)]);
  }
  if (!isLeaving(state)) return steps;
  steps.push(['drain deadline passes', d => stop(d, 'deadline')]);
  if (mayDrain(state, options)) {
    steps.push(['side is drained', d => stop(d, 'drained')]);
  }
  return steps;
}

function entrySteps(state: LeavingState): Step[] {
  const steps: Step[] = [];
  const {noticed, closed, side} = state;
  const isOpen = !closed && side !== 'stopped';
  for (const id of REQUESTS) {
    const at = state.requests[id];
    if (at === 'waiting' && !noticed && isOpen) {
      steps.push([`entry sends ${id}`, d => sendRequest(d, id)]);
    }
    const answered = state.network.some(
      m => m === `refused ${id}` || m === `result ${id}`,
    );
    if (at === 'sent' && side === 'stopped' && !answered) {
      steps.push([`entry loses the answer of ${id}`, d => loseAnswer(d, id)]);
    }
  }
  if (!noticed && side !== 'ready') {
    steps.push(['host list shows leaving', d => (d.noticed = true)]);
  }
  if (noticed && !closed) {
    steps.push(['entry closes for new work', d => (d.closed = true)]);
  }
  return steps;
}

function sendRequest(state: LeavingState, id: string): void {
  state.requests[id] = 'sent';
  send(state.network, `request ${id}`);
}

function deliver(state: LeavingState, message: string): void {
  const [type, id] = message.split(' ');
  if (type === 'leaving') state.noticed = true;
  if (type === 'refused') {
    state.noticed = true;
    state.requests[id] = 'elsewhere, not run';
  }
  if (type === 'result') state.requests[id] = 'done';
}

function messageSteps(state: LeavingState, options: LeavingOptions): Step[] {
  return state.network.flatMap((message): Step[] => {
    const [type, id] = message.split(' ');
    if (type !== 'request') return [[message, d => deliver(d, message)]];
    if (state.side === 'stopped') return [];
    return [[message, d => receive(d, options, id)]];
  });
}

export function buildLeaving(
  given: Partial<LeavingOptions>,
): Specification<LeavingState> {
  const options = {...DEFAULTS, ...given};
  const successors = (state: LeavingState): Successors<LeavingState> =>
    [
      ...sideSteps(state, options),
      ...entrySteps(state),
      ...messageSteps(state, options),
    ].map(([event, change]) => [event, withChange(state, change)]);
  const all = (state: LeavingState) => Object.entries(state.requests);
  return {
    initial: {
      side: step('starting', 'configured'),
      queued: [],
      running: [],
      ran: [],
      startedLate: [],
      cut: [],
      deadlinePassed: false,
      requests: Object.fromEntries(REQUESTS.map(id => [id, 'waiting'])),
      noticed: false,
      closed: false,
      network: [],
    },
    successors,
    invariants: {
      [NO_NEW_WORK]: state => state.startedLate.length === 0,
      [NOT_CUT]: state => state.cut.length === 0 || state.deadlinePassed,
      [REFUSED]: state =>
        all(state).every(
          ([id, at]) => at !== 'elsewhere, not run' || !state.ran.includes(id),
        ),
      [NO_UNKNOWN]: state =>
        state.deadlinePassed || all(state).every(([, at]) => at !== 'unknown'),
    },
  };
}

const NO_NEW_WORK = 'no new work starts after the side has begun to leave';
const NOT_CUT = 'no request in flight is cut before the drain deadline';
const REFUSED = 'a refused request has not run';
const NO_UNKNOWN = 'no call ends as unknown before the drain deadline';

export const LEAVING_CASES: readonly SpecificationCase[] = [
  defineCase<LeavingState, LeavingOptions>({
    name: 'leaving: lost notice, lagging list, drain',
    build: buildLeaving,
    controls: [
      {
        removed: 'a leaving side refuses new requests',
        options: {refusesNewWork: false},
        violates: NO_NEW_WORK,
      },
      {
        removed: 'a leaving side refuses the requests in its queue',
        options: {refusesQueued: false},
        violates: NO_NEW_WORK,
      },
      {
        removed: 'the side stops only when nothing is in flight',
        options: {waitsForRunning: false},
        violates: NOT_CUT,
      },
      {
        removed: 'a refused request is forgotten by the side',
        options: {refusedIsForgotten: false},
        violates: REFUSED,
      },
      {
        removed: 'the side stops only when entries have closed for new work',
        options: {waitsForEntries: false},
        violates: NO_UNKNOWN,
      },
    ],
  }),
];
