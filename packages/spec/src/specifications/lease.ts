/**
 * Placement lease and plan (design, section 8). Two entries may hold the lease
 * in turn; a paused holder is one whose next step is not taken. A holder takes
 * over by writing its fencing number, the number of its term, into the plan.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface Holder {
  /** Lease term that this process believes it holds; 0 for none. */
  term: number;
  /** Plan revision that its next write expects; 0 before it has read it. */
  expectedRevision: number;
  writeCount: number;
}

interface LeaseState {
  lease: {holder: string; term: number};
  /** Fencing numbers of all plan writes; the last one belongs to the current plan. */
  planFences: number[];
  holders: Record<string, Holder>;
  network: string[];
  /** Number of plan writes by a holder after a newer term was granted. */
  writesAfterNewerGrant: number;
}

export interface LeaseOptions {
  readonly swapsOnRevision: boolean;
  readonly checksFence: boolean;
  readonly takesOverByWriting: boolean;
  readonly maxTerms: number;
  readonly fencedFromGrant: boolean;
}

const DEFAULTS: LeaseOptions = {
  swapsOnRevision: true,
  checksFence: true,
  takesOverByWriting: true,
  maxTerms: 3,
  fencedFromGrant: false,
};

const MAX_WRITES_PER_TERM = 1;

function grantLease(state: LeaseState, name: string): void {
  state.lease = {holder: name, term: state.lease.term + 1};
  state.holders[name] = {
    term: state.lease.term,
    expectedRevision: 0,
    writeCount: 0,
  };
}

/** Reads the plan; a holder that finds a higher fencing number gives up the lease. */
function readPlan(state: LeaseState, options: LeaseOptions, name: string) {
  const holder = state.holders[name];
  holder.expectedRevision = state.planFences.length;
  const fence = state.planFences[state.planFences.length - 1];
  if (options.checksFence && fence > holder.term) {
    state.holders[name] = {term: 0, expectedRevision: 0, writeCount: 0};
  }
}

function sendPlanWrite(
  state: LeaseState,
  options: LeaseOptions,
  name: string,
): void {
  const holder = state.holders[name];
  const fence = options.takesOverByWriting ? holder.term : 0;
  holder.writeCount++;
  send(
    state.network,
    `swap ${name} ${holder.term} ${holder.expectedRevision} ${fence}`,
  );
  holder.expectedRevision = 0;
}

function applyPlanWrite(
  state: LeaseState,
  options: LeaseOptions,
  message: string,
): void {
  const [, , term, revision, fence] = message.split(' ');
  if (options.swapsOnRevision && +revision !== state.planFences.length) return;
  state.planFences.push(+fence);
  if (+term < state.lease.term) state.writesAfterNewerGrant++;
}

function successors(
  state: LeaseState,
  options: LeaseOptions,
): Successors<LeaseState> {
  const transitions: Array<readonly [string, LeaseState]> = [];
  const add = (event: string, change: (draft: LeaseState) => void) =>
    transitions.push([event, withChange(state, change)]);
  const {holder: current, term} = state.lease;
  if (current !== '') add('lease expires', d => (d.lease.holder = ''));
  for (const [name, holder] of Object.entries(state.holders)) {
    if (current === '' && term < options.maxTerms) {
      add(`${name} gets the lease`, d => grantLease(d, name));
    }
    if (holder.term === 0) continue;
    if (holder.expectedRevision === 0) {
      add(`${name} reads the plan`, d => readPlan(d, options, name));
    } else if (holder.writeCount < MAX_WRITES_PER_TERM) {
      add(`${name} writes the plan`, d => sendPlanWrite(d, options, name));
    }
  }
  for (const message of state.network) {
    add(message, d => applyPlanWrite(d, options, message));
  }
  return transitions;
}

export function buildLease(
  overrides: Partial<LeaseOptions>,
): Specification<LeaseState> {
  const options = {...DEFAULTS, ...overrides};
  const create = (): Holder => ({term: 0, expectedRevision: 0, writeCount: 0});
  return {
    initial: {
      lease: {holder: '', term: 0},
      planFences: [0],
      holders: {a: create(), b: create()},
      network: [],
      writesAfterNewerGrant: 0,
    },
    successors: state => successors(state, options),
    invariants: {
      [FENCED]: state =>
        state.planFences.every(
          (fence, i) => i === 0 || fence >= state.planFences[i - 1],
        ),
      ...(options.fencedFromGrant && {
        [FENCED_FROM_GRANT]: (state: LeaseState) =>
          state.writesAfterNewerGrant === 0,
      }),
    },
  };
}

const FENCED =
  'after a holder has written its fence, no older holder changes the plan';
const FENCED_FROM_GRANT =
  'after a newer term is granted, no older holder changes the plan';

export const LEASE_CASES: readonly SpecificationCase[] = [
  defineCase<LeaseState, LeaseOptions>({
    name: 'lease: paused holder and plan',
    build: buildLease,
    controls: [
      {
        removed: 'the plan is written by compare-and-swap',
        options: {swapsOnRevision: false},
        violates: FENCED,
      },
      {
        removed: 'a holder stops when it reads a higher fence',
        options: {checksFence: false},
        violates: FENCED,
      },
      {
        removed: 'a holder counts as old only from the next fence on',
        options: {fencedFromGrant: true},
        violates: FENCED_FROM_GRANT,
      },
    ],
  }),
];
