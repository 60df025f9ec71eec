/** Explores every reachable state of a specification with @xstate/graph. */
import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition} from 'xstate';

/** Events that are possible in a state, each with the state it leads to. */
export type Successors<State> = ReadonlyArray<
  readonly [event: string, next: State]
>;

/**
 * A protocol as a pure transition function. States are plain JSON values and
 * equal states have equal JSON text, so sets are kept as sorted arrays.
 */
export interface Specification<State extends object> {
  readonly initial: State;
  successors(state: State): Successors<State>;
  /** Each predicate holds in every reachable state. */
  readonly invariants: Readonly<Record<string, (state: State) => boolean>>;
  /** From every reachable state a state that satisfies this can be reached. */
  readonly progress?: {readonly name: string; goal(state: State): boolean};
}

export interface Violation {
  readonly invariant: string;
  /** Shortest sequence of events from the initial state to the violation. */
  readonly events: readonly string[];
  readonly state: object;
}

export interface CheckResult {
  readonly states: number;
  /** False if the run hit the limit; nothing is proved then. */
  readonly complete: boolean;
  readonly violations: readonly Violation[];
}

export interface CheckOptions {
  /** Largest number of states to expand. */
  readonly limit?: number;
  /** End the run at the first violation of this invariant. */
  readonly stopAt?: string;
}

export const DEFAULT_LIMIT = 150_000;

interface Visit {
  readonly parent: number;
  readonly event: string;
  readonly state: object;
}

/** Records the breadth-first exploration and checks the invariants on it. */
class Exploration<State extends object> {
  readonly visits: Visit[] = [];
  readonly violations: Violation[] = [];
  stopped = false;
  private readonly indexByKey = new Map<string, number>();
  private readonly keys = new WeakMap<object, string>();
  private readonly expanded = new WeakMap<object, Map<string, State>>();
  private readonly sources: number[][] = [];

  constructor(
    private readonly specification: Specification<State>,
    private readonly stopAt: string | undefined,
  ) {
    this.visit(specification.initial, -1, '');
  }

  /** Returns the text by which equal states are recognised. */
  keyOf(state: object): string {
    const known = this.keys.get(state);
    if (known !== undefined) return known;
    const key = JSON.stringify(state);
    this.keys.set(state, key);
    return key;
  }

  reduce(state: State, event: {type: string}): State {
    return this.expanded.get(state)?.get(event.type) ?? state;
  }

  /**
   * Returns the events that lead to states not seen before. Leaving out the
   * others keeps the library's queue short; it does not change which states
   * are reached.
   */
  expand(state: State): Array<{type: string}> {
    if (this.stopped) return [];
    const from = this.indexByKey.get(this.keyOf(state)) ?? 0;
    const next = new Map<string, State>();
    this.expanded.set(state, next);
    for (const [event, successor] of this.specification.successors(state)) {
      if (next.has(event)) throw new Error(`two successors for ${event}`);
      if (this.visit(successor, from, event)) next.set(event, successor);
    }
    return [...next.keys()].map(type => ({type}));
  }

  /** Checks that the goal can be reached from every state. */
  checkProgress(): void {
    const {progress} = this.specification;
    if (!progress) return;
    const reaches = new Set<number>();
    const pending: number[] = [];
    this.visits.forEach((visit, index) => {
      if (progress.goal(visit.state as State)) pending.push(index);
    });
    for (let at = pending.pop(); at !== undefined; at = pending.pop()) {
      if (reaches.has(at)) continue;
      reaches.add(at);
      pending.push(...this.sources[at]);
    }
    const stuck = this.visits.findIndex((_, index) => !reaches.has(index));
    if (stuck >= 0) this.report(progress.name, stuck);
  }

  private visit(state: State, parent: number, event: string): boolean {
    const key = this.keyOf(state);
    const known = this.indexByKey.get(key);
    if (known !== undefined) {
      if (known !== parent) this.sources[known].push(parent);
      return false;
    }
    const index = this.visits.length;
    this.indexByKey.set(key, index);
    this.visits.push({parent, event, state});
    this.sources.push(parent < 0 ? [] : [parent]);
    this.checkInvariants(state, index);
    return true;
  }

  private checkInvariants(state: State, index: number): void {
    for (const [name, holds] of Object.entries(this.specification.invariants)) {
      if (this.violations.some(found => found.invariant === name)) continue;
      if (!holds(state)) this.report(name, index);
    }
  }

  private report(invariant: string, index: number): void {
    const events: string[] = [];
    for (let at = index; at > 0; at = this.visits[at].parent) {
      events.unshift(this.visits[at].event);
    }
    this.violations.push({invariant, events, state: this.visits[index].state});
    if (invariant === this.stopAt) this.stopped = true;
  }
}

/** Explores `specification`; a run that hits the limit is not complete. */
export function check<State extends object>(
  specification: Specification<State>,
  options: CheckOptions = {},
): CheckResult {
  const exploration = new Exploration(specification, options.stopAt);
  const logic = fromTransition(
    (state: State, event: {type: string}) => exploration.reduce(state, event),
    specification.initial,
  );
  let complete = true;
  try {
    getAdjacencyMap(logic, {
      events: snapshot => exploration.expand(snapshot.context),
      serializeState: snapshot => exploration.keyOf(snapshot.context),
      serializeEvent: event => event.type,
      limit: options.limit ?? DEFAULT_LIMIT,
    });
  } catch (error) {
    if (!(error instanceof Error) || !/limit exceeded/.test(error.message)) {
      throw error;
    }
    complete = false;
  }
  if (complete && !exploration.stopped) exploration.checkProgress();
  return {
    states: exploration.visits.length,
    complete,
    violations: exploration.violations,
  };
}
