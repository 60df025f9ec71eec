/**
 * At-most-once claims (design, section 5). Each handler is one delivery of a
 * call with the same idempotency key, at any side: a first call and retries
 * through other entries. A handler that is not scheduled is frozen.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {
  defineCase,
  type Control,
  type SpecificationCase,
} from '../specification_case.js';

interface Handler {
  /** What the handler does next, or how it ended. */
  at: string;
  /** Revision of the page that its compare-and-swap expects. */
  expected: number;
  late: boolean;
  effects: number;
  answer: string;
}

interface ClaimState {
  page: {revision: number; claim: string; holder: string};
  handlers: Record<string, Handler>;
  /** Writes that may still arrive at the key-value service. */
  network: string[];
  /** Answers to compare-and-swaps that may still arrive. */
  answers: string[];
  crashes: number;
}

export interface ClaimOptions {
  readonly handlers: number;
  readonly crashes: number;
  /** Handlers, the first ones first, whose deadline may pass. */
  readonly deadlines: number;
  readonly claimsBeforeCall: boolean;
  /** Otherwise the first write already records the outcome. */
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
  handlers: 3,
  crashes: 1,
  deadlines: 1,
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

/** Reads the claim and decides between claiming, replay and refusal. */
function read(state: ClaimState, options: ClaimOptions, name: string): void {
  const {page} = state;
  const handler = state.handlers[name];
  handler.expected = page.revision;
  const isMine = page.holder === name && page.claim === 'running';
  if (options.recognisesOwnNonce && isMine) handler.at = 'claimed';
  else if (!options.claimsBeforeCall) handler.at = 'claimed';
  else if (isClaimable(page.claim)) {
    write(state, name, options.recordsDoneAfterCall ? 'running' : 'done');
  } else if (page.claim === 'done') end(handler, 'replayed');
  else if (!options.neverTakesOver) write(state, name, 'running');
  else end(handler, 'unknown');
}

function write(state: ClaimState, name: string, claim: string): void {
  const handler = state.handlers[name];
  handler.at = `write ${claim}`;
  send(state.network, `swap ${name} ${handler.expected} ${claim}`);
}

function end(handler: Handler, answer: string): void {
  handler.at = 'ended';
  if (handler.answer === '') handler.answer = answer;
}

/** The key-value service carries out a compare-and-swap. */
function swap(state: ClaimState, options: ClaimOptions, message: string): void {
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
  if (handler.at !== `write ${claim}`) return;
  if (claim !== 'running') end(handler, 'unknown');
  else if (outcome === 'conflict') handler.at = 'read';
  else gotClaim(handler);
}

function gotClaim(handler: Handler): void {
  handler.at = 'claimed';
  handler.expected++;
}

/** The handler stops waiting for the answer of its write. */
function loseAnswer(state: ClaimState, options: ClaimOptions, name: string) {
  const handler = state.handlers[name];
  if (handler.at !== 'write running') return end(handler, 'unknown');
  const isMine = state.page.holder === name && state.page.claim === 'running';
  if (!options.readsBackAfterLostAnswer || isMine) return gotClaim(handler);
  handler.at = 'read';
}

/** The deadline check immediately before the call. */
function checkDeadline(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): void {
  const handler = state.handlers[name];
  if (!handler.late) {
    handler.at = 'call';
    return;
  }
  handler.answer = 'not_run';
  write(state, name, 'not_run');
  if (!options.stopsAfterNotRun) handler.at = 'call';
}

function call(state: ClaimState, options: ClaimOptions, name: string): void {
  const handler = state.handlers[name];
  handler.effects++;
  const wrong = handler.late && !options.recordsNotRunOnlyBeforeCall;
  if (handler.answer === '') handler.answer = wrong ? 'not_run' : 'ran';
  write(state, name, wrong ? 'not_run' : 'done');
}

function handlerSteps(
  state: ClaimState,
  options: ClaimOptions,
  name: string,
): Array<[string, (draft: ClaimState) => void]> {
  const {at, late} = state.handlers[name];
  const steps: Array<[string, (draft: ClaimState) => void]> = [];
  if (at === 'ended' || at === 'crashed') return steps;
  if (at === 'idle' || at === 'read') {
    steps.push(['read', d => read(d, options, name)]);
    steps.push(['finds the store down', d => storeDown(d, options, name)]);
  }
  if (at.startsWith('write ')) {
    steps.push(['loses the answer', d => loseAnswer(d, options, name)]);
  }
  if (at === 'claimed') {
    steps.push(['checks deadline', d => checkDeadline(d, options, name)]);
  }
  if (at === 'call') steps.push(['calls', d => call(d, options, name)]);
  const index = Object.keys(state.handlers).indexOf(name);
  if (!late && index < options.deadlines) {
    steps.push(['passes deadline', d => (d.handlers[name].late = true)]);
  }
  if (state.crashes < options.crashes) {
    steps.push(['crashes', d => crash(d, name)]);
  }
  return steps;
}

function storeDown(state: ClaimState, options: ClaimOptions, name: string) {
  const handler = state.handlers[name];
  if (options.refusesWhenStoreIsDown) end(handler, 'not_run');
  else handler.at = 'claimed';
}

function crash(state: ClaimState, name: string): void {
  state.crashes++;
  state.handlers[name].at = 'crashed';
}

function successors(
  state: ClaimState,
  options: ClaimOptions,
): Successors<ClaimState> {
  const found: Array<readonly [string, ClaimState]> = [];
  // Handlers are alike but for deadlines, so they start in order.
  const names = Object.keys(state.handlers);
  const idle = names.findIndex(name => state.handlers[name].at === 'idle');
  const started = idle < 0 ? names : names.slice(0, idle + 1);
  for (const name of started) {
    for (const [event, change] of handlerSteps(state, options, name)) {
      found.push([`${name} ${event}`, withChange(state, change)]);
    }
  }
  for (const message of state.network) {
    found.push([message, withChange(state, d => swap(d, options, message))]);
  }
  for (const answer of state.answers) {
    found.push([
      `answer ${answer}`,
      withChange(state, d => onAnswer(d, answer)),
    ]);
  }
  return found;
}

export function buildClaim(
  given: Partial<ClaimOptions>,
): Specification<ClaimState> {
  const options = {...DEFAULTS, ...given};
  const names = Array.from({length: options.handlers}, (_, i) => `call${i}`);
  const create = (): Handler => ({
    at: 'idle',
    expected: 0,
    late: false,
    effects: 0,
    answer: '',
  });
  const all = (state: ClaimState) => Object.values(state.handlers);
  const effects = (state: ClaimState) =>
    all(state).reduce((sum, handler) => sum + handler.effects, 0);
  return {
    initial: {
      page: {revision: 0, claim: 'none', holder: ''},
      handlers: Object.fromEntries(names.map(name => [name, create()])),
      network: [],
      answers: [],
      crashes: 0,
    },
    successors: state => successors(state, options),
    invariants: {
      [AT_MOST_ONCE]: state => effects(state) <= 1,
      [NOT_RUN]: state =>
        all(state).every(h => h.answer !== 'not_run' || h.effects === 0),
      [OWN_CLAIM]: ({page, handlers}) =>
        page.claim !== 'running' || handlers[page.holder].answer !== 'unknown',
      [REPLAY]: state =>
        effects(state) === 1 || all(state).every(h => h.answer !== 'replayed'),
    },
  };
}

const AT_MOST_ONCE = 'a key has at most one effect';
const NOT_RUN = 'a call answered not_run has no effect';
const OWN_CLAIM = 'no handler takes its own claim for that of another';
const REPLAY = 'a stored answer is replayed only after the effect';

const CONTROLS: ReadonlyArray<Control<ClaimOptions>> = [
  {
    removed: 'a conflict is resolved by reading back the nonce',
    options: {recognisesOwnNonce: false},
    violates: OWN_CLAIM,
  },
  {
    removed: 'done is recorded only after the call',
    options: {recordsDoneAfterCall: false},
    violates: REPLAY,
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
  handlers: 2,
  deadlines: 2,
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
    build: options => buildClaim({crashes: 0, ...options}),
    controls: [],
  }),
];
