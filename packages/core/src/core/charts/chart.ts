/**
 * State charts kept as JSON files and interpreted through robot3. The same
 * chart drives a running process and is explored by the model checker.
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
  /** Name of a guard; the transition is skipped when it returns false. */
  readonly guard?: string;
  /** Names of actions that run in order. */
  readonly actions?: readonly string[];
}

export interface ChartState {
  readonly on?: Readonly<Record<string, readonly ChartTransition[]>>;
}

/** Content of a file in `packages/core/charts`. */
export interface ChartDefinition {
  readonly name: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

export interface ChartEvent {
  readonly type: string;
}

/** Named pure functions to which a chart's guards and actions refer. */
export interface ChartFunctions<Context, Event extends ChartEvent> {
  readonly guards?: Readonly<
    Record<string, (context: Context, event: Event) => boolean>
  >;
  readonly actions?: Readonly<
    Record<string, (context: Context, event: Event) => Context>
  >;
}

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

type AnyMachine = Machine;

/** A chart bound to its functions; holds no state of its own. */
export class Chart<Context, Event extends ChartEvent> {
  private readonly machine: AnyMachine;

  constructor(
    readonly definition: ChartDefinition,
    private readonly functions: ChartFunctions<Context, Event> = {},
  ) {
    this.machine = this.buildMachine();
  }

  initial(context: Context): ChartSnapshot<Context> {
    return {state: this.definition.initial, context};
  }

  /** Returns the snapshot after `event`; the same one if nothing applies. */
  step(snapshot: ChartSnapshot<Context>, event: Event): ChartSnapshot<Context> {
    const positioned = Object.create(this.machine, {
      current: {enumerable: true, value: snapshot.state},
      context: {enumerable: true, value: () => snapshot.context},
    }) as AnyMachine;
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

  /** Whether `event` leads anywhere from the snapshot. */
  accepts(snapshot: ChartSnapshot<Context>, event: Event): boolean {
    return this.step(snapshot, event) !== snapshot;
  }

  private buildMachine(): AnyMachine {
    const states = Object.fromEntries(
      Object.entries(this.definition.states).map(([name, chartState]) => [
        name,
        state(...this.buildTransitions(chartState)),
      ]),
    );
    return createMachine(
      this.definition.initial,
      states,
    ) as unknown as AnyMachine;
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
    if (!found) throw new Error(this.missing('guard', name));
    return found as (context: unknown, event: unknown) => boolean;
  }

  private findAction(name: string) {
    const found = this.functions.actions?.[name];
    if (!found) throw new Error(this.missing('action', name));
    return found as (context: unknown, event: unknown) => object;
  }

  private missing(kind: string, name: string): string {
    return `chart ${this.definition.name}: no ${kind} named ${name}`;
  }
}

/** One running instance of a chart. */
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

  /** Applies `event` and tells whether the chart took it. */
  send(event: Event): boolean {
    const next = this.chart.step(this.snapshot, event);
    const taken = next !== this.snapshot;
    this.snapshot = next;
    return taken;
  }
}
