/** Explores every reachable state of a specification with @xstate/graph. */
import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition} from 'xstate';

/** The events enabled in a state, each with its successor state. */
export type Successors<State> = ReadonlyArray<
  readonly [event: string, next: State]
>;

/**
 * A protocol modelled as a pure transition function. States are plain JSON
 * values that are compared by their JSON text, so sets are sorted arrays.
 */
export interface Specification<State extends object> {
  readonly initial: State;
  successors(state: State): Successors<State>;
  /** Predicates by name; each must hold in every reachable state. */
  readonly invariants: Readonly<Record<string, (state: State) => boolean>>;
  /** A state that satisfies `goal` must be reachable from every reachable state. */
  readonly progress?: {readonly name: string; goal(state: State): boolean};
}

export interface Violation {
  /** Name of the violated invariant or progress property. */
  readonly invariant: string;
  /** Shortest sequence of events from the initial state to `state`. */
  readonly events: readonly string[];
  readonly state: object;
}

export interface CheckResult {
  readonly stateCount: number;
  /** False if the exploration reached `maxStates`; nothing is proved then. */
  readonly complete: boolean;
  readonly violations: readonly Violation[];
}

export interface CheckOptions {
  /** Maximum number of states to expand. */
  readonly maxStates?: number;
  /** Ends the exploration at the first violation of this invariant. */
  readonly stopAtInvariant?: string;
}

export const DEFAULT_MAX_STATES = 150_000;

interface Visit {
  /** Index of the state from which this one was first reached; -1 for the initial state. */
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
  private readonly newSuccessors = new WeakMap<object, Map<string, State>>();
  private readonly predecessors: number[][] = [];

  constructor(
    private readonly specification: Specification<State>,
    private readonly stopAtInvariant: string | undefined,
  ) {
    this.addState(specification.initial, -1, '');
  }

  /** Returns the JSON text that identifies a state; cached per state object. */
  getStateKey(state: object): string {
    const known = this.keys.get(state);
    if (known !== undefined) return known;
    const key = JSON.stringify(state);
    this.keys.set(state, key);
    return key;
  }

  transition(state: State, event: {type: string}): State {
    return this.newSuccessors.get(state)?.get(event.type) ?? state;
  }

  /**
   * Returns the events that lead to states not seen before. Omitting the other
   * events keeps the queue of @xstate/graph short and does not change which
   * states are reached.
   */
  expand(state: State): Array<{type: string}> {
    if (this.stopped) return [];
    const from = this.indexByKey.get(this.getStateKey(state)) ?? 0;
    const next = new Map<string, State>();
    this.newSuccessors.set(state, next);
    for (const [event, successor] of this.specification.successors(state)) {
      if (next.has(event)) throw new Error(`two successors for ${event}`);
      if (this.addState(successor, from, event)) next.set(event, successor);
    }
    return [...next.keys()].map(type => ({type}));
  }

  /** Searches backwards from the goal states for states that cannot reach one. */
  checkProgress(): void {
    const {progress} = this.specification;
    if (!progress) return;
    const canReachGoal = new Set<number>();
    const pending: number[] = [];
    this.visits.forEach((visit, index) => {
      if (progress.goal(visit.state as State)) pending.push(index);
    });
    for (
      let index = pending.pop();
      index !== undefined;
      index = pending.pop()
    ) {
      if (canReachGoal.has(index)) continue;
      canReachGoal.add(index);
      pending.push(...this.predecessors[index]);
    }
    const stuckIndex = this.visits.findIndex(
      (_, index) => !canReachGoal.has(index),
    );
    if (stuckIndex >= 0) this.recordViolation(progress.name, stuckIndex);
  }

  /** Adds a state or a further predecessor of it; returns whether the state is new. */
  private addState(state: State, parent: number, event: string): boolean {
    const key = this.getStateKey(state);
    const known = this.indexByKey.get(key);
    if (known !== undefined) {
      if (known !== parent) this.predecessors[known].push(parent);
      return false;
    }
    const index = this.visits.length;
    this.indexByKey.set(key, index);
    this.visits.push({parent, event, state});
    this.predecessors.push(parent < 0 ? [] : [parent]);
    this.checkInvariants(state, index);
    return true;
  }

  private checkInvariants(state: State, index: number): void {
    for (const [name, holds] of Object.entries(this.specification.invariants)) {
      if (this.violations.some(found => found.invariant === name)) continue;
      if (!holds(state)) this.recordViolation(name, index);
    }
  }

  private recordViolation(invariant: string, index: number): void {
    const events: string[] = [];
    for (let at = index; at > 0; at = this.visits[at].parent) {
      events.unshift(this.visits[at].event);
    }
    this.violations.push({invariant, events, state: this.visits[index].state});
    if (invariant === this.stopAtInvariant) this.stopped = true;
  }
}

/** Explores all states of `specification` and checks its invariants and progress property. */
export function checkSpecification<State extends object>(
  specification: Specification<State>,
  options: CheckOptions = {},
): CheckResult {
  const exploration = new Exploration(specification, options.stopAtInvariant);
  const logic = fromTransition(
    (state: State, event: {type: string}) =>
      exploration.transition(state, event),
    specification.initial,
  );
  let complete = true;
  try {
    getAdjacencyMap(logic, {
      events: snapshot => exploration.expand(snapshot.context),
      serializeState: snapshot => exploration.getStateKey(snapshot.context),
      serializeEvent: event => event.type,
      limit: options.maxStates ?? DEFAULT_MAX_STATES,
    });
  } catch (error) {
    if (!(error instanceof Error) || !/limit exceeded/.test(error.message)) {
      throw error;
    }
    complete = false;
  }
  if (complete && !exploration.stopped) exploration.checkProgress();
  return {
    stateCount: exploration.visits.length,
    complete,
    violations: exploration.violations,
  };
}
