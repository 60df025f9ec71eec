/**
 * At-most-once claims (design, section 5). Each handler is one delivery of a
 * call with the same idempotency key, at any side: a first call and retries
 * through other entries. A paused handler is one whose next step is not taken.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {
  defineCase,
  type Control,
  type SpecificationCase,
} from '../specification_case.js';

interface Handler {
  /** Next step of the handler, or how it ended. */
  phase: string;
  /** Page revision that its compare-and-swap expects. */
  expectedRevision: number;
  deadlinePassed: boolean;
  effectCount: number;
  answer: string;
}

interface ClaimState {
  page: {revision: number; claim: string; holder: string};
  handlers: Record<string, Handler>;
  /** Writes that may still arrive at the key-value service. */
  network: string[];
  /** Answers to compare-and-swaps that may still arrive. */
  answers: string[];
  crashCount: number;
}

export interface ClaimOptions {
  readonly handlerCount: number;
  readonly maxCrashes: number;
  /** Number of handlers, counted from the first, whose deadline may pass. */
  readonly handlersWithDeadline: number;
  readonly claimsBeforeCall: boolean;
  /** If false, the write before the call already records the outcome. */
  readonly recordsDoneAfterCall: boolean;
  readonly readsBackAfterLostAnswer: boolean;
  readonly swapsOnRevision: boolean;
  readonly neverTakesOver: boolean;
  readonly refusesWhenStoreIsDown: boolean;
  readonly recordsNotRunOnlyBeforeCall: boolean;
  readonly stopsAfterNotRun: boolean;
  /** A read that finds the handler's own nonce continues with that claim. */
  readonly recognisesOwnNonce: boolean;
  /** A write may arrive several times at the key-value service. */
  readonly duplicatesWrites: boolean;
}

const DEFAULTS: ClaimOptions = {
  handlerCount: 3,
  maxCrashes: 1,
  handlersWithDeadline: 1,
  claimsBeforeCall: true,
  recordsDoneAfterCall: true,
  readsBackAfterLostAnswer: true,
  swapsOnRevision: true,
  neverTakesOver: true,
  refusesWhenStoreIsDown: true,
  recordsNotRunOnlyBeforeCall: true,
  stopsAfterNotRun: true,
  recognisesOwnNonce: true,
  duplicatesWrites: false,
};

const isClaimable = (claim: string) => claim === 'none' || claim === 'not_run';

/** Reads the claim page, then claims the key, replays the stored answer or answers unknown. */
function readClaim(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): void {
  const {page} = state;
  const handler = state.handlers[name];
  handler.expectedRevision = page.revision;
  const isMine = page.holder === name && page.claim === 'running';
  if (options.recognisesOwnNonce && isMine) handler.phase = 'claimed';
  else if (!options.claimsBeforeCall) handler.phase = 'claimed';
  else if (isClaimable(page.claim)) {
    sendClaimWrite(
      state,
      name,
      options.recordsDoneAfterCall ? 'running' : 'done',
    );
  } else if (page.claim === 'done') endHandler(handler, 'replayed');
  else if (!options.neverTakesOver) sendClaimWrite(state, name, 'running');
  else endHandler(handler, 'unknown');
}

function sendClaimWrite(state: ClaimState, name: string, claim: string): void {
  const handler = state.handlers[name];
  handler.phase = `write ${claim}`;
  send(state.network, `swap ${name} ${handler.expectedRevision} ${claim}`);
}

function endHandler(handler: Handler, answer: string): void {
  handler.phase = 'ended';
  if (handler.answer === '') handler.answer = answer;
}

/** The key-value service executes a compare-and-swap. */
function applyClaimWrite(
  state: ClaimState,
  options: ClaimOptions,
  message: string,
): void {
  const [, name, expected, claim] = message.split(' ');
  if (!options.duplicatesWrites) {
    state.network = state.network.filter(other => other !== message);
  }
  const matches = state.page.revision === +expected;
  if (matches || !options.swapsOnRevision) {
    state.page = {revision: state.page.revision + 1, claim, holder: name};
    send(state.answers, `${name} ${claim} ok`);
    return;
  }
  send(state.answers, `${name} ${claim} conflict`);
}

function onAnswer(state: ClaimState, answer: string): void {
  const [name, claim, outcome] = answer.split(' ');
  const handler = state.handlers[name];
  state.answers = state.answers.filter(other => other !== answer);
  if (handler.phase !== `write ${claim}`) return;
  if (claim !== 'running') endHandler(handler, 'unknown');
  else if (outcome === 'conflict') handler.phase = 'read';
  else markClaimed(handler);
}

function markClaimed(handler: Handler): void {
  handler.phase = 'claimed';
  handler.expectedRevision++;
}

/** The handler stops waiting for the answer of its write. */
function onLostAnswer(state: ClaimState, options: ClaimOptions, name: string) {
  const handler = state.handlers[name];
  if (handler.phase !== 'write running') return endHandler(handler, 'unknown');
  const isMine = state.page.holder === name && state.page.claim === 'running';
  if (!options.readsBackAfterLostAnswer || isMine) return markClaimed(handler);
  handler.phase = 'read';
}

/** The deadline check immediately before the call. */
function checkDeadline(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): void {
  const handler = state.handlers[name];
  if (!handler.deadlinePassed) {
    handler.phase = 'call';
    return;
  }
  handler.answer = 'not_run';
  sendClaimWrite(state, name, 'not_run');
  if (!options.stopsAfterNotRun) handler.phase = 'call';
}

function executeCall(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): void {
  const handler = state.handlers[name];
  handler.effectCount++;
  const wrong = handler.deadlinePassed && !options.recordsNotRunOnlyBeforeCall;
  if (handler.answer === '') handler.answer = wrong ? 'not_run' : 'ran';
  sendClaimWrite(state, name, wrong ? 'not_run' : 'done');
}

function handlerSteps(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): Array<[string, (draft: ClaimState) => void]> {
  const {phase, deadlinePassed: late} = state.handlers[name];
  const steps: Array<[string, (draft: ClaimState) => void]> = [];
  if (phase === 'ended' || phase === 'crashed') return steps;
  if (phase === 'idle' || phase === 'read') {
    steps.push(['read', d => readClaim(d, options, name)]);
    steps.push(['finds the store down', d => onStoreDown(d, options, name)]);
  }
  if (phase.startsWith('write ')) {
    steps.push(['loses the answer', d => onLostAnswer(d, options, name)]);
  }
  if (phase === 'claimed') {
    steps.push(['checks deadline', d => checkDeadline(d, options, name)]);
  }
  if (phase === 'call')
    steps.push(['calls', d => executeCall(d, options, name)]);
  const index = Object.keys(state.handlers).indexOf(name);
  if (!late && index < options.handlersWithDeadline) {
    steps.push([
      'passes deadline',
      d => (d.handlers[name].deadlinePassed = true),
    ]);
  }
  if (state.crashCount < options.maxCrashes) {
    steps.push(['crashes', d => crash(d, name)]);
  }
  return steps;
}

function onStoreDown(state: ClaimState, options: ClaimOptions, name: string) {
  const handler = state.handlers[name];
  if (options.refusesWhenStoreIsDown) endHandler(handler, 'not_run');
  else handler.phase = 'claimed';
}

function crash(state: ClaimState, name: string): void {
  state.crashCount++;
  state.handlers[name].phase = 'crashed';
}

function successors(
  state: ClaimState,
  options: ClaimOptions,
): Successors<ClaimState> {
  const transitions: Array<readonly [string, ClaimState]> = [];
  // Handlers differ only in their deadlines, so starting them in order loses no case.
  const names = Object.keys(state.handlers);
  const idle = names.findIndex(name => state.handlers[name].phase === 'idle');
  const started = idle < 0 ? names : names.slice(0, idle + 1);
  for (const name of started) {
    for (const [event, change] of handlerSteps(state, options, name)) {
      transitions.push([`${name} ${event}`, withChange(state, change)]);
    }
  }
  for (const message of state.network) {
    transitions.push([
      message,
      withChange(state, d => applyClaimWrite(d, options, message)),
    ]);
  }
  for (const answer of state.answers) {
    transitions.push([
      `answer ${answer}`,
      withChange(state, d => onAnswer(d, answer)),
    ]);
  }
  return transitions;
}

export function buildClaim(
  overrides: Partial<ClaimOptions>,
): Specification<ClaimState> {
  const options = {...DEFAULTS, ...overrides};
  const names = Array.from(
    {length: options.handlerCount},
    (_, i) => `call${i}`,
  );
  const create = (): Handler => ({
    phase: 'idle',
    expectedRevision: 0,
    deadlinePassed: false,
    effectCount: 0,
    answer: '',
  });
  const all = (state: ClaimState) => Object.values(state.handlers);
  const effects = (state: ClaimState) =>
    all(state).reduce((sum, handler) => sum + handler.effectCount, 0);
  return {
    initial: {
      page: {revision: 0, claim: 'none', holder: ''},
      handlers: Object.fromEntries(names.map(name => [name, create()])),
      network: [],
      answers: [],
      crashCount: 0,
    },
    successors: state => successors(state, options),
    invariants: {
      [AT_MOST_ONCE]: state => effects(state) <= 1,
      [NOT_RUN]: state =>
        all(state).every(h => h.answer !== 'not_run' || h.effectCount === 0),
      [OWN_CLAIM_RECOGNISED]: ({page, handlers}) =>
        page.claim !== 'running' || handlers[page.holder].answer !== 'unknown',
      [REPLAY_AFTER_EFFECT]: state =>
        effects(state) === 1 || all(state).every(h => h.answer !== 'replayed'),
    },
  };
}

const AT_MOST_ONCE = 'a key has at most one effect';
const NOT_RUN = 'a call answered not_run has no effect';
const OWN_CLAIM_RECOGNISED =
  'no handler takes its own claim for that of another';
const REPLAY_AFTER_EFFECT = 'a stored answer is replayed only after the effect';

const CONTROLS: ReadonlyArray<Control<ClaimOptions>> = [
  {
    removed: 'a conflict is resolved by reading back the nonce',
    options: {recognisesOwnNonce: false},
    violates: OWN_CLAIM_RECOGNISED,
  },
  {
    removed: 'done is recorded only after the call',
    options: {recordsDoneAfterCall: false},
    violates: REPLAY_AFTER_EFFECT,
  },
  {
    removed: 'a claim is written before the call',
    options: {claimsBeforeCall: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'a lost answer is resolved by reading back the nonce',
    options: {readsBackAfterLostAnswer: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'the claim is a compare-and-swap on the revision',
    options: {swapsOnRevision: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'a claim is never taken over',
    options: {neverTakesOver: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'calls are refused while the store is down',
    options: {refusesWhenStoreIsDown: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'not_run is recorded only before the call',
    options: {recordsNotRunOnlyBeforeCall: false},
    violates: AT_MOST_ONCE,
  },
  {
    removed: 'a side that recorded not_run does not call',
    options: {stopsAfterNotRun: false},
    violates: NOT_RUN,
  },
];

const TWO_CALLS: Partial<ClaimOptions> = {
  handlerCount: 2,
  handlersWithDeadline: 2,
  duplicatesWrites: true,
};

export const CLAIM_CASES: readonly SpecificationCase[] = [
  defineCase<ClaimState, ClaimOptions>({
    name: 'claim: two calls, crash, both deadlines',
    build: options => buildClaim({...TWO_CALLS, ...options}),
    controls: CONTROLS,
  }),
  defineCase<ClaimState, ClaimOptions>({
    name: 'claim: three calls, one deadline',
    build: options => buildClaim({maxCrashes: 0, ...options}),
    controls: [],
  }),
];
