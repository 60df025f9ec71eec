/**
 * Configuration (design, section 8): two operators apply files, processes
 * follow by watch, by fetching from peers and by documents out of order.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';
import type {ConfigurationState, Operator} from './configuration_state.js';

export interface ConfigurationOptions {
  readonly recentLength: number;
  readonly outages: number;
  readonly restarts: number;
  readonly takesOnlyHigher: boolean;
  readonly swapsOnRevision: boolean;
  readonly checksBase: boolean;
  readonly findsItselfInRecent: boolean;
  readonly operators: readonly string[];
  readonly processes: readonly string[];
  readonly losesAnswers: boolean;
  /** A write may arrive several times at the key-value service. */
  readonly duplicatesWrites: boolean;
  /** A starting process asks peers alone only while the service is down. */
  readonly asksServiceAtStart: boolean;
  readonly readsKey: boolean;
  readonly readsAgainAfterConflict: boolean;
  readonly checksHosts: boolean;
}

const DEFAULTS: ConfigurationOptions = {
  recentLength: 9,
  outages: 1,
  restarts: 1,
  takesOnlyHigher: true,
  swapsOnRevision: true,
  checksBase: true,
  findsItselfInRecent: true,
  operators: ['a', 'b'],
  processes: [],
  losesAnswers: true,
  duplicatesWrites: true,
  asksServiceAtStart: true,
  readsKey: true,
  readsAgainAfterConflict: true,
  checksHosts: false,
};

const APPLIES_PER_OPERATOR = 2;

/** Reads the document and sends the compare-and-swap, or ends the apply. */
function apply(
  state: ConfigurationState,
  options: ConfigurationOptions,
  name: string,
): void {
  const operator = state.operators[name];
  operator.applies++;
  if (options.findsItselfInRecent && state.recent.includes(name)) {
    operator.at = 'ended';
    operator.answer = 'accepted';
    return;
  }
  if (options.checksBase && operator.base !== state.stored) {
    operator.at = 'ended';
    operator.answer = 'conflict';
    return;
  }
  operator.at = 'waiting';
  send(state.network, `swap ${name} ${state.stored} ${operator.applies}`);
}

function swap(
  state: ConfigurationState,
  options: ConfigurationOptions,
  message: string,
): void {
  const [, name, expected, apply] = message.split(' ');
  if (!options.duplicatesWrites) {
    state.network = state.network.filter(other => other !== message);
  }
  const isCurrent = +expected === state.stored;
  if (isCurrent || !options.swapsOnRevision) {
    state.stored = +expected + 1;
    state.history.push(`${name} ${state.stored}`);
    state.recent = [...state.recent, name].slice(-options.recentLength);
    send(state.network, `answer ${name} ${apply} accepted`);
    return;
  }
  send(state.network, `answer ${name} ${apply} conflict`);
}

function onAnswer(
  state: ConfigurationState,
  options: ConfigurationOptions,
  message: string,
): void {
  const [, name, apply, answer] = message.split(' ');
  const operator = state.operators[name];
  state.network = state.network.filter(other => other !== message);
  if (operator.at !== 'waiting' || +apply !== operator.applies) return;
  operator.at = 'ended';
  operator.answer = answer;
  if (!options.readsAgainAfterConflict || answer === 'accepted') return;
  // An earlier write of the same apply may have won.
  if (state.recent.includes(name)) operator.answer = 'accepted';
}

function take(
  state: ConfigurationState,
  options: ConfigurationOptions,
  name: string,
  version: number,
): void {
  const process = state.processes[name];
  if (options.takesOnlyHigher && version <= process.version) return;
  process.version = version;
  process.highest = Math.max(process.highest, version);
  state.hostHighest[name] = Math.max(state.hostHighest[name], version);
}

function edit(state: ConfigurationState, name: string): void {
  state.operators[name].at = 'edited';
  state.operators[name].base = state.stored;
}

function operatorSteps(
  state: ConfigurationState,
  options: ConfigurationOptions,
): Array<[string, (draft: ConfigurationState) => void]> {
  const steps: Array<[string, (draft: ConfigurationState) => void]> = [];
  for (const [name, operator] of Object.entries(state.operators)) {
    const {at, applies} = operator;
    const mayApply = at === 'edited' || at === 'not known';
    if (at === 'idle' && state.serviceUp) {
      steps.push([`${name} shows and edits`, d => edit(d, name)]);
    }
    if (mayApply && state.serviceUp && applies < APPLIES_PER_OPERATOR) {
      steps.push([`${name} applies`, d => apply(d, options, name)]);
    }
    if (at === 'waiting' && options.losesAnswers) {
      steps.push([
        `${name} loses the answer`,
        d => (d.operators[name].at = 'not known'),
      ]);
    }
  }
  return steps;
}

function processSteps(
  state: ConfigurationState,
  options: ConfigurationOptions,
): Array<[string, (draft: ConfigurationState) => void]> {
  const steps: Array<[string, (draft: ConfigurationState) => void]> = [];
  for (const [name, {version}] of Object.entries(state.processes)) {
    if (options.readsKey && state.serviceUp && version !== state.stored) {
      steps.push([
        `${name} reads the key`,
        d => take(d, options, name, d.stored),
      ]);
    }
    for (const [peer, {version: known}] of Object.entries(state.processes)) {
      if (peer === name || known <= version) continue;
      const document = `document ${name} ${known}`;
      if (state.network.includes(document)) continue;
      steps.push([
        `${name} fetches ${known} from ${peer}`,
        d => send(d.network, document),
      ]);
    }
    if (state.restarts < options.restarts) {
      steps.push([`${name} restarts`, d => restart(d, name)]);
    }
  }
  return steps;
}

/** A new process has no version and is not ready before it has one. */
function restart(state: ConfigurationState, name: string): void {
  state.restarts++;
  state.processes[name] = {version: 0, highest: 0};
}

function successors(
  state: ConfigurationState,
  options: ConfigurationOptions,
): Successors<ConfigurationState> {
  const steps = [
    ...operatorSteps(state, options),
    ...processSteps(state, options),
  ];
  if (!state.serviceUp) {
    steps.push(['service comes back', d => (d.serviceUp = true)]);
  } else if (state.outages < options.outages) {
    steps.push([
      'service goes down',
      d => {
        d.serviceUp = false;
        d.outages++;
      },
    ]);
  }
  for (const message of state.network) {
    const [type, name, version] = message.split(' ');
    if (type === 'answer')
      steps.push([message, d => onAnswer(d, options, message)]);
    const mustAskService =
      state.serviceUp && options.asksServiceAtStart && options.readsKey;
    const isStarting = state.processes[name]?.version === 0;
    if (type === 'document' && !(mustAskService && isStarting)) {
      steps.push([message, d => take(d, options, name, +version)]);
    }
    if (type === 'swap' && state.serviceUp) {
      steps.push([message, d => swap(d, options, message)]);
    }
  }
  return steps.map(([event, change]) => [event, withChange(state, change)]);
}

const versionOf = (entry: string) => +entry.split(' ')[1];
const authorOf = (entry: string) => entry.split(' ')[0];
const isUnique = (items: readonly unknown[]) =>
  new Set(items).size === items.length;

function isAnswerTrue(state: ConfigurationState, answer: string): boolean {
  return Object.entries(state.operators).every(([name, operator]) => {
    const isAccepted = state.history.some(entry => authorOf(entry) === name);
    return operator.answer !== answer || isAccepted === (answer === 'accepted');
  });
}

export function buildConfiguration(
  given: Partial<ConfigurationOptions>,
): Specification<ConfigurationState> {
  const options = {...DEFAULTS, ...given};
  const operator = (): Operator => ({
    at: 'idle',
    base: 1,
    applies: 0,
    answer: '',
  });
  const names = options.operators;
  return {
    initial: {
      history: ['first 1'],
      stored: 1,
      recent: [],
      serviceUp: true,
      operators: Object.fromEntries(names.map(name => [name, operator()])),
      processes: Object.fromEntries(
        options.processes.map(name => [name, {version: 1, highest: 1}]),
      ),
      network: [],
      outages: 0,
      restarts: 0,
      hostHighest: Object.fromEntries(options.processes.map(p => [p, 1])),
    },
    successors: state => successors(state, options),
    invariants: {
      [NO_REVERT]: state =>
        Object.values(state.processes).every(p => p.version >= p.highest),
      ...(options.checksHosts && {
        [NO_HOST_REVERT]: (state: ConfigurationState) =>
          Object.entries(state.processes).every(
            ([name, {version}]) =>
              version === 0 || version >= state.hostHighest[name],
          ),
      }),
      [ONE_VERSION]: state => isUnique(state.history.map(versionOf)),
      [ONCE]: state => isUnique(state.history.map(authorOf)),
      [NEVER_LOST]: state =>
        isAnswerTrue(state, 'accepted') &&
        state.stored >= Math.max(...state.history.map(versionOf)),
      [CONFLICT]: state => isAnswerTrue(state, 'conflict'),
    },
    progress: {
      name: CATCHES_UP,
      goal: state =>
        Object.values(state.processes).every(p => p.version === state.stored),
    },
  };
}

const CATCHES_UP = 'every process can always still reach the accepted version';
const NO_REVERT = 'no process goes back to a lower version';
const NO_HOST_REVERT = 'no host goes back over a restart';
const ONE_VERSION = 'each version has one text';
const ONCE = 'an apply is never applied twice';
const NEVER_LOST = 'an accepted text is never lost';
const CONFLICT = 'an operator who is told conflict was not accepted';

const PROPAGATION: Partial<ConfigurationOptions> = {
  processes: ['p', 'q'],
  losesAnswers: false,
  duplicatesWrites: false,
};

const NO_OUTAGE: Partial<ConfigurationOptions> = {
  ...PROPAGATION,
  outages: 0,
  checksHosts: true,
};

export const CONFIGURATION_CASES: readonly SpecificationCase[] = [
  defineCase<ConfigurationState, ConfigurationOptions>({
    name: 'configuration: two operators, lost answers, outage',
    build: buildConfiguration,
    controls: [
      {
        removed: 'the write is a compare-and-swap',
        options: {swapsOnRevision: false},
        violates: ONE_VERSION,
      },
      {
        removed: 'the write is a compare-and-swap, after an answer',
        options: {swapsOnRevision: false, checksBase: false},
        violates: NEVER_LOST,
      },
      {
        removed: 'an apply finds itself in recent and checks its base',
        options: {checksBase: false, findsItselfInRecent: false},
        violates: ONCE,
      },
      {
        removed: 'an apply finds itself in recent',
        options: {findsItselfInRecent: false},
        violates: CONFLICT,
      },
      {
        removed: 'after a conflict an apply looks for itself in recent again',
        options: {readsAgainAfterConflict: false},
        violates: CONFLICT,
      },
      {
        removed: 'recent keeps all applies made until the second apply',
        options: {recentLength: 1},
        violates: CONFLICT,
      },
    ],
  }),
  defineCase<ConfigurationState, ConfigurationOptions>({
    name: 'configuration: propagation, outage, restart',
    build: options => buildConfiguration({...PROPAGATION, ...options}),
    controls: [
      {
        removed: 'a process takes only a higher version',
        options: {takesOnlyHigher: false},
        violates: NO_REVERT,
      },
      {
        removed: 'some process reads the key',
        options: {readsKey: false},
        violates: CATCHES_UP,
      },
    ],
  }),
  defineCase<ConfigurationState, ConfigurationOptions>({
    name: 'configuration: restarted host, no outage',
    build: options => buildConfiguration({...NO_OUTAGE, ...options}),
    controls: [
      {
        removed: 'assumption: no restart during an outage',
        options: {outages: 1},
        violates: NO_HOST_REVERT,
      },
      {
        removed: 'a starting process asks the service',
        options: {asksServiceAtStart: false},
        violates: NO_HOST_REVERT,
      },
    ],
  }),
];
