/**
 * State charts, defined in JSON files and interpreted by robot3. The processes
 * run the same charts that the model checker explores.
 */
import {readFileSync} from 'node:fs';
import {
  createMachine,
  guard,
  interpret,
  reduce,
  state,
  transition,
  type Machine,
} from 'robot3';

export interface ChartTransition {
  readonly target: string;
  /** Name of a guard; the transition is skipped if it returns false. */
  readonly guard?: string;
  /** Names of the actions to run, in order. */
  readonly actions?: readonly string[];
}

export interface ChartState {
  /** Candidate transitions by event type; the first permitted one is used. */
  readonly on?: Readonly<Record<string, readonly ChartTransition[]>>;
}

/** Content of a chart file in `packages/core/charts`. */
export interface ChartDefinition {
  readonly name: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

export interface ChartEvent {
  readonly type: string;
}

/** Pure functions that the guards and actions of a chart refer to by name. */
export interface ChartFunctions<Context, Event extends ChartEvent> {
  readonly guards?: Readonly<
    Record<string, (context: Context, event: Event) => boolean>
  >;
  readonly actions?: Readonly<
    Record<string, (context: Context, event: Event) => Context>
  >;
}

/** State and context of a chart between two events. */
export interface ChartSnapshot<Context> {
  readonly state: string;
  readonly context: Context;
}

const CHARTS_URL = new URL('../../../../charts/', import.meta.url);

/** Reads `packages/core/charts/NAME.json`. */
export function loadChartDefinition(name: string): ChartDefinition {
  const text = readFileSync(new URL(`${name}.json`, CHARTS_URL), 'utf8');
  return JSON.parse(text) as ChartDefinition;
}

type UntypedMachine = Machine;

/** Chart definition bound to its functions; holds no current state. */
export class Chart<Context, Event extends ChartEvent> {
  private readonly machine: UntypedMachine;

  constructor(
    readonly definition: ChartDefinition,
    private readonly functions: ChartFunctions<Context, Event> = {},
  ) {
    this.machine = this.buildMachine();
  }

  initial(context: Context): ChartSnapshot<Context> {
    return {state: this.definition.initial, context};
  }

  /** Returns the snapshot after `event`, or the same one without a transition. */
  step(snapshot: ChartSnapshot<Context>, event: Event): ChartSnapshot<Context> {
    const positioned = Object.create(this.machine, {
      current: {enumerable: true, value: snapshot.state},
      context: {enumerable: true, value: () => snapshot.context},
    }) as UntypedMachine;
    let changed = false;
    const service = interpret(positioned, () => {
      changed = true;
    });
    service.send(event as never);
    if (!changed) return snapshot;
    return {
      state: service.machine.current as string,
      context: service.context as Context,
    };
  }

  /** Returns whether `event` causes a transition from the snapshot. */
  accepts(snapshot: ChartSnapshot<Context>, event: Event): boolean {
    return this.step(snapshot, event) !== snapshot;
  }

  private buildMachine(): UntypedMachine {
    const states = Object.fromEntries(
      Object.entries(this.definition.states).map(([name, chartState]) => [
        name,
        state(...this.buildTransitions(chartState)),
      ]),
    );
    return createMachine(
      this.definition.initial,
      states,
    ) as unknown as UntypedMachine;
  }

  private buildTransitions(chartState: ChartState) {
    return Object.entries(chartState.on ?? {}).flatMap(([type, targets]) =>
      targets.map(target => this.buildTransition(type, target)),
    );
  }

  private buildTransition(type: string, target: ChartTransition) {
    const guards = target.guard ? [guard(this.findGuard(target.guard))] : [];
    const reducers = (target.actions ?? []).map(name =>
      reduce(this.findAction(name)),
    );
    return transition(type, target.target, ...guards, ...reducers);
  }

  private findGuard(name: string) {
    const found = this.functions.guards?.[name];
    if (!found) throw new Error(this.missingFunctionMessage('guard', name));
    return found as (context: unknown, event: unknown) => boolean;
  }

  private findAction(name: string) {
    const found = this.functions.actions?.[name];
    if (!found) throw new Error(this.missingFunctionMessage('action', name));
    return found as (context: unknown, event: unknown) => object;
  }

  private missingFunctionMessage(kind: string, name: string): string {
    return `chart ${this.definition.name}: no ${kind} named ${name}`;
  }
}

/** Running instance of a chart, which holds the current snapshot. */
export class ChartRunner<Context, Event extends ChartEvent> {
  private snapshot: ChartSnapshot<Context>;

  constructor(
    private readonly chart: Chart<Context, Event>,
    context: Context,
  ) {
    this.snapshot = chart.initial(context);
  }

  get state(): string {
    return this.snapshot.state;
  }

  get context(): Context {
    return this.snapshot.context;
  }

  /** Applies `event`; returns whether it caused a transition. */
  send(event: Event): boolean {
    const next = this.chart.step(this.snapshot, event);
    const changed = next !== this.snapshot;
    this.snapshot = next;
    return changed;
  }
}
