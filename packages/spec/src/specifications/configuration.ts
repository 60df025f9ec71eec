/**
 * Configuration (design, section 8): two operators apply files; processes
 * receive versions by reading the key and by fetching documents from peers,
 * which may arrive out of order.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';
import type {ConfigurationState, Operator} from './configuration_state.js';

export interface ConfigurationOptions {
  readonly recentLength: number;
  readonly maxOutages: number;
  readonly maxRestarts: number;
  readonly acceptsOnlyHigherVersions: boolean;
  readonly swapsOnRevision: boolean;
  readonly checksBase: boolean;
  readonly checksRecent: boolean;
  readonly operators: readonly string[];
  readonly processes: readonly string[];
  readonly losesAnswers: boolean;
  /** A write may arrive several times at the key-value service. */
  readonly duplicatesWrites: boolean;
  /** A starting process uses documents from peers only while the service is down. */
  readonly readsServiceAtStart: boolean;
  readonly readsKey: boolean;
  readonly readsAgainAfterConflict: boolean;
  readonly checksHosts: boolean;
}

const DEFAULTS: ConfigurationOptions = {
  recentLength: 9,
  maxOutages: 1,
  maxRestarts: 1,
  acceptsOnlyHigherVersions: true,
  swapsOnRevision: true,
  checksBase: true,
  checksRecent: true,
  operators: ['a', 'b'],
  processes: [],
  losesAnswers: true,
  duplicatesWrites: true,
  readsServiceAtStart: true,
  readsKey: true,
  readsAgainAfterConflict: true,
  checksHosts: false,
};

const MAX_APPLIES_PER_OPERATOR = 2;

/** Reads the document and sends the compare-and-swap, or ends the apply. */
function apply(
  state: ConfigurationState,
  options: ConfigurationOptions,
  name: string,
): void {
  const operator = state.operators[name];
  operator.applyCount++;
  if (options.checksRecent && state.recentAuthors.includes(name)) {
    operator.phase = 'ended';
    operator.answer = 'accepted';
    return;
  }
  if (options.checksBase && operator.baseVersion !== state.storedVersion) {
    operator.phase = 'ended';
    operator.answer = 'conflict';
    return;
  }
  operator.phase = 'waiting';
  send(
    state.network,
    `swap ${name} ${state.storedVersion} ${operator.applyCount}`,
  );
}

function applyWrite(
  state: ConfigurationState,
  options: ConfigurationOptions,
  message: string,
): void {
  const [, name, expected, apply] = message.split(' ');
  if (!options.duplicatesWrites) {
    state.network = state.network.filter(other => other !== message);
  }
  const isCurrent = +expected === state.storedVersion;
  if (isCurrent || !options.swapsOnRevision) {
    state.storedVersion = +expected + 1;
    state.history.push(`${name} ${state.storedVersion}`);
    state.recentAuthors = [...state.recentAuthors, name].slice(
      -options.recentLength,
    );
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
  if (operator.phase !== 'waiting' || +apply !== operator.applyCount) return;
  operator.phase = 'ended';
  operator.answer = answer;
  if (!options.readsAgainAfterConflict || answer === 'accepted') return;
  // An earlier write of the same apply may have been accepted.
  if (state.recentAuthors.includes(name)) operator.answer = 'accepted';
}

function applyVersion(
  state: ConfigurationState,
  options: ConfigurationOptions,
  name: string,
  version: number,
): void {
  const process = state.processes[name];
  if (options.acceptsOnlyHigherVersions && version <= process.version) return;
  process.version = version;
  process.highestVersion = Math.max(process.highestVersion, version);
  state.highestVersionByHost[name] = Math.max(
    state.highestVersionByHost[name],
    version,
  );
}

function startEdit(state: ConfigurationState, name: string): void {
  state.operators[name].phase = 'edited';
  state.operators[name].baseVersion = state.storedVersion;
}

function operatorSteps(
  state: ConfigurationState,
  options: ConfigurationOptions,
): Array<[string, (draft: ConfigurationState) => void]> {
  const steps: Array<[string, (draft: ConfigurationState) => void]> = [];
  for (const [name, operator] of Object.entries(state.operators)) {
    const {phase, applyCount: applies} = operator;
    const mayApply = phase === 'edited' || phase === 'not known';
    if (phase === 'idle' && state.serviceUp) {
      steps.push([`${name} shows and edits`, d => startEdit(d, name)]);
    }
    if (mayApply && state.serviceUp && applies < MAX_APPLIES_PER_OPERATOR) {
      steps.push([`${name} applies`, d => apply(d, options, name)]);
    }
    if (phase === 'waiting' && options.losesAnswers) {
      steps.push([
        `${name} loses the answer`,
        d => (d.operators[name].phase = 'not known'),
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
    if (
      options.readsKey &&
      state.serviceUp &&
      version !== state.storedVersion
    ) {
      steps.push([
        `${name} reads the key`,
        d => applyVersion(d, options, name, d.storedVersion),
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
    if (state.restartCount < options.maxRestarts) {
      steps.push([`${name} restarts`, d => restart(d, name)]);
    }
  }
  return steps;
}

/** A new process has no version and is not ready before it has one. */
function restart(state: ConfigurationState, name: string): void {
  state.restartCount++;
  state.processes[name] = {version: 0, highestVersion: 0};
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
  } else if (state.outageCount < options.maxOutages) {
    steps.push([
      'service goes down',
      d => {
        d.serviceUp = false;
        d.outageCount++;
      },
    ]);
  }
  for (const message of state.network) {
    const [type, name, version] = message.split(' ');
    if (type === 'answer')
      steps.push([message, d => onAnswer(d, options, message)]);
    const mustAskService =
      state.serviceUp && options.readsServiceAtStart && options.readsKey;
    const isStarting = state.processes[name]?.version === 0;
    if (type === 'document' && !(mustAskService && isStarting)) {
      steps.push([message, d => applyVersion(d, options, name, +version)]);
    }
    if (type === 'swap' && state.serviceUp) {
      steps.push([message, d => applyWrite(d, options, message)]);
    }
  }
  return steps.map(([event, change]) => [event, withChange(state, change)]);
}

const versionOf = (entry: string) => +entry.split(' ')[1];
const authorOf = (entry: string) => entry.split(' ')[0];
const isUnique = (items: readonly unknown[]) =>
  new Set(items).size === items.length;

function areAnswersCorrect(state: ConfigurationState, answer: string): boolean {
  return Object.entries(state.operators).every(([name, operator]) => {
    const isAccepted = state.history.some(entry => authorOf(entry) === name);
    return operator.answer !== answer || isAccepted === (answer === 'accepted');
  });
}

export function buildConfiguration(
  overrides: Partial<ConfigurationOptions>,
): Specification<ConfigurationState> {
  const options = {...DEFAULTS, ...overrides};
  const operator = (): Operator => ({
    phase: 'idle',
    baseVersion: 1,
    applyCount: 0,
    answer: '',
  });
  const names = options.operators;
  return {
    initial: {
      history: ['first 1'],
      storedVersion: 1,
      recentAuthors: [],
      serviceUp: true,
      operators: Object.fromEntries(names.map(name => [name, operator()])),
      processes: Object.fromEntries(
        options.processes.map(name => [name, {version: 1, highestVersion: 1}]),
      ),
      network: [],
      outageCount: 0,
      restartCount: 0,
      highestVersionByHost: Object.fromEntries(
        options.processes.map(p => [p, 1]),
      ),
    },
    successors: state => successors(state, options),
    invariants: {
      [NO_REVERT]: state =>
        Object.values(state.processes).every(
          p => p.version >= p.highestVersion,
        ),
      ...(options.checksHosts && {
        [NO_HOST_REVERT]: (state: ConfigurationState) =>
          Object.entries(state.processes).every(
            ([name, {version}]) =>
              version === 0 || version >= state.highestVersionByHost[name],
          ),
      }),
      [ONE_TEXT_PER_VERSION]: state => isUnique(state.history.map(versionOf)),
      [APPLIED_ONCE]: state => isUnique(state.history.map(authorOf)),
      [NEVER_LOST]: state =>
        areAnswersCorrect(state, 'accepted') &&
        state.storedVersion >= Math.max(...state.history.map(versionOf)),
      [CONFLICT_NOT_ACCEPTED]: state => areAnswersCorrect(state, 'conflict'),
    },
    progress: {
      name: CAN_CATCH_UP,
      goal: state =>
        Object.values(state.processes).every(
          p => p.version === state.storedVersion,
        ),
    },
  };
}

const CAN_CATCH_UP =
  'every process can always still reach the accepted version';
const NO_REVERT = 'no process goes back to a lower version';
const NO_HOST_REVERT = 'no host goes back over a restart';
const ONE_TEXT_PER_VERSION = 'each version has one text';
const APPLIED_ONCE = 'an apply is never applied twice';
const NEVER_LOST = 'an accepted text is never lost';
const CONFLICT_NOT_ACCEPTED =
  'an operator who is told conflict was not accepted';

const PROPAGATION: Partial<ConfigurationOptions> = {
  processes: ['p', 'q'],
  losesAnswers: false,
  duplicatesWrites: false,
};

const NO_OUTAGE: Partial<ConfigurationOptions> = {
  ...PROPAGATION,
  maxOutages: 0,
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
        violates: ONE_TEXT_PER_VERSION,
      },
      {
        removed: 'the write is a compare-and-swap, after an answer',
        options: {swapsOnRevision: false, checksBase: false},
        violates: NEVER_LOST,
      },
      {
        removed: 'an apply finds itself in recent and checks its base',
        options: {checksBase: false, checksRecent: false},
        violates: APPLIED_ONCE,
      },
      {
        removed: 'an apply finds itself in recent',
        options: {checksRecent: false},
        violates: CONFLICT_NOT_ACCEPTED,
      },
      {
        removed: 'after a conflict an apply looks for itself in recent again',
        options: {readsAgainAfterConflict: false},
        violates: CONFLICT_NOT_ACCEPTED,
      },
      {
        removed: 'recent keeps all applies made until the second apply',
        options: {recentLength: 1},
        violates: CONFLICT_NOT_ACCEPTED,
      },
    ],
  }),
  defineCase<ConfigurationState, ConfigurationOptions>({
    name: 'configuration: propagation, outage, restart',
    build: options => buildConfiguration({...PROPAGATION, ...options}),
    controls: [
      {
        removed: 'a process takes only a higher version',
        options: {acceptsOnlyHigherVersions: false},
        violates: NO_REVERT,
      },
      {
        removed: 'some process reads the key',
        options: {readsKey: false},
        violates: CAN_CATCH_UP,
      },
    ],
  }),
  defineCase<ConfigurationState, ConfigurationOptions>({
    name: 'configuration: restarted host, no outage',
    build: options => buildConfiguration({...NO_OUTAGE, ...options}),
    controls: [
      {
        removed: 'assumption: no restart during an outage',
        options: {maxOutages: 1},
        violates: NO_HOST_REVERT,
      },
      {
        removed: 'a starting process asks the service',
        options: {readsServiceAtStart: false},
        violates: NO_HOST_REVERT,
      },
    ],
  }),
];
