/** Variants of the request specification, each with one kind of fault. */
import {
  defineCase,
  type Control,
  type SpecificationCase,
} from '../specification_case.js';
import {
  CLEAN_END,
  COMPLETES,
  OWN_TOKEN,
  RIGHT_VALUE,
  RUNS_ONCE,
  buildRequest,
  type RequestOptions,
} from './request.js';
import type {RequestState} from './request_state.js';

const REPLACED: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'a stage skips positions it has run',
    options: {skipsDuplicates: false},
    violates: RUNS_ONCE,
  },
  {
    removed: 'the entry accepts only the awaited position',
    options: {entryChecksPosition: false},
    violates: RIGHT_VALUE,
  },
  {
    removed: 'a lost stage never ends the stream cleanly',
    options: {endsOnlyWhenComplete: false},
    violates: CLEAN_END,
  },
];
const CRASHED: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'a stage answers gap to a position it is not at',
    options: {answersGap: false},
    violates: RIGHT_VALUE,
  },
];
const DEAD: ReadonlyArray<Control<RequestOptions>> = [
  {
    removed: 'the entry repeats the awaited step after a recovery',
    options: {resendsAwaitedStep: false},
    violates: COMPLETES,
  },
  {
    removed: 'replay carries the chain',
    options: {replayCarriesChain: false},
    violates: COMPLETES,
  },
];
const REDUNDANT: ReadonlyArray<Omit<Control<RequestOptions>, 'violates'>> = [
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
  chains: [
    ['s0', 's1'],
    ['s0', 'r1'],
  ],
};
const OVERLAP: Partial<RequestOptions> = {
  chains: [
    ['s0', 's1'],
    ['s0', 'r1'],
    ['s0', 's1'],
  ],
};
const TWO_REQUESTS: Partial<RequestOptions> = {
  chains: [['s0', 's1']],
  requestIds: ['a', 'b'],
};

function variant(
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
  variant(
    'request: replaced stage of three',
    {positions: 3, freezes: 1},
    REPLACED,
  ),
  variant('request: crashed stage', {...TWO_STAGES, crashes: 1}, CRASHED),
  variant(
    'request: silent stage',
    {...TWO_STAGES, freezes: 1, resumes: false},
    DEAD,
    REDUNDANT,
  ),
  variant('request: overlapping attempts', {...OVERLAP, freezes: 1}, []),
  variant('request: two requests', TWO_REQUESTS, [
    {
      removed: 'the entry accepts only tokens of its request',
      options: {entryChecksRequest: false},
      violates: OWN_TOKEN,
    },
    {
      removed: 'request ids do not repeat',
      options: {requestIds: ['a', 'a']},
      violates: OWN_TOKEN,
    },
  ]),
  variant('request: release', {chains: [['s0', 's1']], releases: true}, [
    {
      removed: 'a stage remembers released requests',
      options: {remembersReleased: false},
      violates: RUNS_ONCE,
    },
  ]),
  variant(
    'request: whole run after a trimmed log',
    {...TWO_STAGES, logLength: 1, wholeRunAttempt: 2},
    [
      {
        removed: 'a whole run discards the cache of the earlier attempt',
        options: {wholeRunDiscards: false},
        violates: COMPLETES,
      },
    ],
  ),
  variant('request: reloaded engine', {...TWO_STAGES, reloads: 1}, [
    {
      removed: 'a reload of the engine discards the sequences of the side',
      options: {reloadDiscards: false},
      violates: RIGHT_VALUE,
    },
  ]),
];
