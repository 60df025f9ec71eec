/**
 * Draining of a side process that leaves (design, section 8). Its states are
 * those of the chart `process`. Model requests and a call may be in flight, the
 * leaving notice may be lost, and the host list may show it late.
 */
import type {Specification, Successors} from '../checker.js';
import {loadChartTransition} from '../chart_transition.js';
import {withChange, insertSorted, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface LeavingState {
  /** State of the chart `process` at the side. */
  sideState: string;
  queued: string[];
  running: string[];
  startedRequests: string[];
  /** Requests that started after the side began to leave. */
  startedWhileLeaving: string[];
  abortedRequests: string[];
  deadlinePassed: boolean;
  /** State of each request at the entry. */
  entryRequests: Record<string, string>;
  /** The entry knows that the side is leaving. */
  entryKnowsLeaving: boolean;
  /** The entry has closed its connection for new work. */
  entryClosed: boolean;
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

const REQUEST_IDS = ['open1', 'open2', 'call1'];
const nextChartState = loadChartTransition('process');
const isLeaving = (state: LeavingState) => state.sideState === 'leaving';

/** The side receives a request on its connection. */
function receive(state: LeavingState, options: LeavingOptions, id: string) {
  state.network = state.network.filter(other => other !== `request ${id}`);
  if (isLeaving(state) && options.refusesNewWork) {
    refuseRequest(state, id);
    if (!options.refusedIsForgotten) insertSorted(state.queued, id);
  } else insertSorted(state.queued, id);
}

function refuseRequest(state: LeavingState, id: string): void {
  send(state.network, `refused ${id}`);
}

function startRequest(state: LeavingState, id: string): void {
  state.queued = state.queued.filter(other => other !== id);
  insertSorted(state.running, id);
  insertSorted(state.startedRequests, id);
  if (isLeaving(state)) insertSorted(state.startedWhileLeaving, id);
}

function finishRequest(state: LeavingState, id: string): void {
  state.running = state.running.filter(other => other !== id);
  send(state.network, `result ${id}`);
}

function startLeaving(state: LeavingState, options: LeavingOptions): void {
  state.sideState = nextChartState(state.sideState, 'stop');
  send(state.network, 'leaving');
  if (!options.refusesQueued) return;
  for (const id of state.queued) refuseRequest(state, id);
  state.queued = [];
}

function stopSide(state: LeavingState, event: 'drained' | 'deadline'): void {
  state.sideState = nextChartState(state.sideState, event);
  state.deadlinePassed = event === 'deadline';
  state.abortedRequests = [...state.running, ...state.queued].sort();
  state.running = [];
  state.queued = [];
}

/** The connection ended before the entry received an answer to `id`. */
function onConnectionEnd(state: LeavingState, id: string): void {
  // A model request can be opened again; a call may have run.
  state.entryRequests[id] = id.startsWith('open') ? 'elsewhere' : 'unknown';
}

function mayDrain(state: LeavingState, options: LeavingOptions): boolean {
  const isIdle = state.running.length + state.queued.length === 0;
  const hasUnread = state.network.some(m => m.startsWith('request '));
  const isClosed = state.entryClosed && !hasUnread;
  return (
    (isIdle || !options.waitsForRunning) &&
    (isClosed || !options.waitsForEntries)
  );
}

type Step = [event: string, change: (draft: LeavingState) => void];

function sideSteps(state: LeavingState, options: LeavingOptions): Step[] {
  const steps: Step[] = [];
  if (state.sideState === 'stopped') return steps;
  if (state.sideState === 'ready') {
    steps.push(['side begins to leave', d => startLeaving(d, options)]);
  }
  for (const id of state.queued) {
    steps.push([`side starts ${id}`, d => startRequest(d, id)]);
  }
  for (const id of state.running) {
    steps.push([`side finishes ${id}`, d => finishRequest(d, id)]);
  }
  if (!isLeaving(state)) return steps;
  steps.push(['drain deadline passes', d => stopSide(d, 'deadline')]);
  if (mayDrain(state, options)) {
    steps.push(['side is drained', d => stopSide(d, 'drained')]);
  }
  return steps;
}

function entrySteps(state: LeavingState): Step[] {
  const steps: Step[] = [];
  const {entryKnowsLeaving, entryClosed: closed, sideState: side} = state;
  const isOpen = !closed && side !== 'stopped';
  for (const id of REQUEST_IDS) {
    const at = state.entryRequests[id];
    if (at === 'waiting' && !entryKnowsLeaving && isOpen) {
      steps.push([`entry sends ${id}`, d => sendRequest(d, id)]);
    }
    const answered = state.network.some(
      m => m === `refused ${id}` || m === `result ${id}`,
    );
    if (at === 'sent' && side === 'stopped' && !answered) {
      steps.push([
        `entry loses the answer of ${id}`,
        d => onConnectionEnd(d, id),
      ]);
    }
  }
  if (!entryKnowsLeaving && side !== 'ready') {
    steps.push(['host list shows leaving', d => (d.entryKnowsLeaving = true)]);
  }
  if (entryKnowsLeaving && !closed) {
    steps.push(['entry closes for new work', d => (d.entryClosed = true)]);
  }
  return steps;
}

function sendRequest(state: LeavingState, id: string): void {
  state.entryRequests[id] = 'sent';
  send(state.network, `request ${id}`);
}

function deliver(state: LeavingState, message: string): void {
  const [type, id] = message.split(' ');
  if (type === 'leaving') state.entryKnowsLeaving = true;
  if (type === 'refused') {
    state.entryKnowsLeaving = true;
    state.entryRequests[id] = 'elsewhere, not run';
  }
  if (type === 'result') state.entryRequests[id] = 'done';
}

function messageSteps(state: LeavingState, options: LeavingOptions): Step[] {
  return state.network.flatMap((message): Step[] => {
    const [type, id] = message.split(' ');
    if (type !== 'request') return [[message, d => deliver(d, message)]];
    if (state.sideState === 'stopped') return [];
    return [[message, d => receive(d, options, id)]];
  });
}

export function buildLeaving(
  overrides: Partial<LeavingOptions>,
): Specification<LeavingState> {
  const options = {...DEFAULTS, ...overrides};
  const successors = (state: LeavingState): Successors<LeavingState> =>
    [
      ...sideSteps(state, options),
      ...entrySteps(state),
      ...messageSteps(state, options),
    ].map(([event, change]) => [event, withChange(state, change)]);
  const all = (state: LeavingState) => Object.entries(state.entryRequests);
  return {
    initial: {
      sideState: nextChartState('starting', 'configured'),
      queued: [],
      running: [],
      startedRequests: [],
      startedWhileLeaving: [],
      abortedRequests: [],
      deadlinePassed: false,
      entryRequests: Object.fromEntries(REQUEST_IDS.map(id => [id, 'waiting'])),
      entryKnowsLeaving: false,
      entryClosed: false,
      network: [],
    },
    successors,
    invariants: {
      [NO_NEW_WORK]: state => state.startedWhileLeaving.length === 0,
      [NOT_ABORTED]: state =>
        state.abortedRequests.length === 0 || state.deadlinePassed,
      [REFUSED_NOT_RUN]: state =>
        all(state).every(
          ([id, at]) =>
            at !== 'elsewhere, not run' || !state.startedRequests.includes(id),
        ),
      [NO_UNKNOWN]: state =>
        state.deadlinePassed || all(state).every(([, at]) => at !== 'unknown'),
    },
  };
}

const NO_NEW_WORK = 'no new work starts after the side has begun to leave';
const NOT_ABORTED = 'no request in flight is cut before the drain deadline';
const REFUSED_NOT_RUN = 'a refused request has not run';
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
        violates: NOT_ABORTED,
      },
      {
        removed: 'a refused request is forgotten by the side',
        options: {refusedIsForgotten: false},
        violates: REFUSED_NOT_RUN,
      },
      {
        removed: 'the side stops only when entries have closed for new work',
        options: {waitsForEntries: false},
        violates: NO_UNKNOWN,
      },
    ],
  }),
];
