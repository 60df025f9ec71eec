/** Request specification cases, one per kind of fault. */
import {
  defineCase,
  type Control,
  type SpecificationCase,
} from '../specification_case.js';
import {
  CLEAN_END_ONLY_IF_COMPLETE,
  CAN_COMPLETE,
  ONLY_OWN_TOKENS,
  CORRECT_VALUES,
  RUNS_ONCE,
  buildRequest,
  type RequestOptions,
} from './request.js';
import type {RequestState} from './request_state.js';

const REPLACED_STAGE_CONTROLS: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'a stage skips positions it has run',
    options: {skipsDuplicates: false},
    violates: RUNS_ONCE,
  },
  {
    removed: 'the entry accepts only the awaited position',
    options: {entryChecksPosition: false},
    violates: CORRECT_VALUES,
  },
  {
    removed: 'a lost stage never ends the stream cleanly',
    options: {endsOnlyWhenComplete: false},
    violates: CLEAN_END_ONLY_IF_COMPLETE,
  },
];
const CRASHED_STAGE_CONTROLS: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'a stage answers gap to a position it is not at',
    options: {answersGap: false},
    violates: CORRECT_VALUES,
  },
];
const SILENT_STAGE_CONTROLS: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'the entry repeats the awaited step after a recovery',
    options: {resendsAwaitedStep: false},
    violates: CAN_COMPLETE,
  },
  {
    removed: 'replay carries the path',
    options: {replayCarriesPath: false},
    violates: CAN_COMPLETE,
  },
];
const REDUNDANT_GUARDS: ReadonlyArray<
  Omit<Control<RequestOptions>, 'violates'>
> = [
  {
    removed: 'a stage drops an older attempt',
    options: {dropsStaleAttempt: false},
  },
  {
    removed: 'the entry accepts only its current attempt',
    options: {entryChecksAttempt: false},
  },
];

const TWO_STAGES: Partial<RequestOptions> = {
  paths: [
    ['s0', 's1'],
    ['s0', 'r1'],
  ],
};
const OVERLAPPING_ATTEMPTS: Partial<RequestOptions> = {
  paths: [
    ['s0', 's1'],
    ['s0', 'r1'],
    ['s0', 's1'],
  ],
};
const TWO_REQUESTS: Partial<RequestOptions> = {
  paths: [['s0', 's1']],
  requestIds: ['a', 'b'],
};

function defineRequestCase(
  name: string,
  base: Partial<RequestOptions>,
  controls: ReadonlyArray<Control<RequestOptions>>,
  redundant: ReadonlyArray<Omit<Control<RequestOptions>, 'violates'>> = [],
): SpecificationCase {
  return defineCase<RequestState, RequestOptions>({
    name,
    build: options => buildRequest({...base, ...options}),
    controls,
    redundantGuards: redundant,
  });
}

export const REQUEST_CASES: readonly SpecificationCase[] = [
  defineRequestCase(
    'request: replaced stage of three',
    {positionCount: 3, maxFreezes: 1},
    REPLACED_STAGE_CONTROLS,
  ),
  defineRequestCase(
    'request: crashed stage',
    {...TWO_STAGES, maxCrashes: 1},
    CRASHED_STAGE_CONTROLS,
  ),
  defineRequestCase(
    'request: silent stage',
    {...TWO_STAGES, maxFreezes: 1, frozenStagesResume: false},
    SILENT_STAGE_CONTROLS,
    REDUNDANT_GUARDS,
  ),
  defineRequestCase(
    'request: overlapping attempts',
    {...OVERLAPPING_ATTEMPTS, maxFreezes: 1},
    [],
  ),
  defineRequestCase('request: two requests', TWO_REQUESTS, [
    {
      removed: 'the entry accepts only tokens of its request',
      options: {entryChecksRequest: false},
      violates: ONLY_OWN_TOKENS,
    },
    {
      removed: 'request ids do not repeat',
      options: {requestIds: ['a', 'a']},
      violates: ONLY_OWN_TOKENS,
    },
  ]),
  defineRequestCase(
    'request: release',
    {paths: [['s0', 's1']], releasesStages: true},
    [
      {
        removed: 'a stage remembers released requests',
        options: {remembersReleased: false},
        violates: RUNS_ONCE,
      },
    ],
  ),
  defineRequestCase(
    'request: whole run after a trimmed log',
    {...TWO_STAGES, activationLogLength: 1, wholeRunAttempt: 2},
    [
      {
        removed: 'a whole run discards the cache of the earlier attempt',
        options: {wholeRunDiscards: false},
        violates: CAN_COMPLETE,
      },
    ],
  ),
  defineRequestCase(
    'request: reloaded engine',
    {...TWO_STAGES, maxReloads: 1},
    [
      {
        removed: 'a reload of the engine discards the sequences of the side',
        options: {reloadDiscards: false},
        violates: CORRECT_VALUES,
      },
    ],
  ),
];
