/**
 * Placement lease and plan (design, section 8). Two entries may hold the lease
 * in turn; a holder that is not scheduled is paused. A holder takes over by
 * writing its fence, the number of its term, into the plan.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface Holder {
  /** Term of the lease this process believes it holds; 0 for none. */
  term: number;
  /** Plan revision that its next write expects; 0 before it has read it. */
  revision: number;
  writes: number;
}

interface LeaseState {
  lease: {holder: string; term: number};
  /** Fences of the plan's writes; the last one is the current plan's. */
  plan: number[];
  holders: Record<string, Holder>;
  network: string[];
  /** Writes made while a newer term had been granted. */
  afterGrant: number;
}

export interface LeaseOptions {
  readonly swapsOnRevision: boolean;
  readonly checksFence: boolean;
  readonly takesOverByWriting: boolean;
  readonly terms: number;
  readonly strict: boolean;
}

const DEFAULTS: LeaseOptions = {
  swapsOnRevision: true,
  checksFence: true,
  takesOverByWriting: true,
  terms: 3,
  strict: false,
};

const WRITES_PER_TERM = 1;

function grant(state: LeaseState, name: string): void {
  state.lease = {holder: name, term: state.lease.term + 1};
  state.holders[name] = {term: state.lease.term, revision: 0, writes: 0};
}

/** Reads the plan; a holder that finds a higher fence stops. */
function readPlan(state: LeaseState, options: LeaseOptions, name: string) {
  const holder = state.holders[name];
  holder.revision = state.plan.length;
  const fence = state.plan[state.plan.length - 1];
  if (options.checksFence && fence > holder.term) {
    state.holders[name] = {term: 0, revision: 0, writes: 0};
  }
}

function write(state: LeaseState, options: LeaseOptions, name: string): void {
  const holder = state.holders[name];
  const fence = options.takesOverByWriting ? holder.term : 0;
  holder.writes++;
  send(
    state.network,
    `swap ${name} ${holder.term} ${holder.revision} ${fence}`,
  );
  holder.revision = 0;
}

function swap(state: LeaseState, options: LeaseOptions, message: string): void {
  const [, , term, revision, fence] = message.split(' ');
  if (options.swapsOnRevision && +revision !== state.plan.length) return;
  state.plan.push(+fence);
  if (+term < state.lease.term) state.afterGrant++;
}

function successors(
  state: LeaseState,
  options: LeaseOptions,
): Successors<LeaseState> {
  const found: Array<readonly [string, LeaseState]> = [];
  const add = (event: string, change: (draft: LeaseState) => void) =>
    found.push([event, withChange(state, change)]);
  const {holder: current, term} = state.lease;
  if (current !== '') add('lease expires', d => (d.lease.holder = ''));
  for (const [name, holder] of Object.entries(state.holders)) {
    if (current === '' && term < options.terms) {
      add(`${name} gets the lease`, d => grant(d, name));
    }
    if (holder.term === 0) continue;
    if (holder.revision === 0) {
      add(`${name} reads the plan`, d => readPlan(d, options, name));
    } else if (holder.writes < WRITES_PER_TERM) {
      add(`${name} writes the plan`, d => write(d, options, name));
    }
  }
  for (const message of state.network) {
    add(message, d => swap(d, options, message));
  }
  return found;
}

export function buildLease(
  given: Partial<LeaseOptions>,
): Specification<LeaseState> {
  const options = {...DEFAULTS, ...given};
  const create = (): Holder => ({term: 0, revision: 0, writes: 0});
  return {
    initial: {
      lease: {holder: '', term: 0},
      plan: [0],
      holders: {a: create(), b: create()},
      network: [],
      afterGrant: 0,
    },
    successors: state => successors(state, options),
    invariants: {
      [FENCED]: state =>
        state.plan.every((fence, i) => i === 0 || fence >= state.plan[i - 1]),
      ...(options.strict && {
        [STRICT]: (state: LeaseState) => state.afterGrant === 0,
      }),
    },
  };
}

const FENCED =
  'after a holder has written its fence, no older holder changes the plan';
const STRICT =
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
        options: {strict: true},
        violates: STRICT,
      },
    ],
  }),
];
