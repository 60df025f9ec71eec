/**
 * Orders to engines (design, section 8): a side process and its replacement
 * beside one engine. The fencing number of an order is (epoch, plan version).
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface OrderState {
  /** Newest epoch registered with the key-value service. */
  registered: number;
  plan: number;
  /** What each side process is about to order; the key is its epoch. */
  sides: Record<string, {at: string; plan: number}>;
  /** Order that the engine follows. */
  engine: {epoch: number; plan: number};
  /** Highest fencing number the engine keeps. */
  fence: {epoch: number; plan: number};
  wentBack: boolean;
  engineRestarts: number;
  network: string[];
}

export interface OrderOptions {
  readonly engineChecks: boolean;
  /**
   * Assumption for an engine that ignores the number: no side registers, and
   * the side does not go on, between the read of the registration and the
   * engine's answer to the order.
   */
  readonly orderIsUninterrupted: boolean;
  readonly readsRegistration: boolean;
  /** A side reconciles again after each order. */
  readonly reconcilesAgain: boolean;
  readonly engineRestarts: number;
  readonly epochs: number;
  readonly plans: number;
}

const DEFAULTS: OrderOptions = {
  engineChecks: true,
  orderIsUninterrupted: false,
  readsRegistration: true,
  reconcilesAgain: true,
  engineRestarts: 0,
  epochs: 2,
  plans: 3,
};

interface Fence {
  readonly epoch: number;
  readonly plan: number;
}

const isLower = (a: Fence, b: Fence) =>
  a.epoch < b.epoch || (a.epoch === b.epoch && a.plan < b.plan);

const afterOrder = (options: OrderOptions) =>
  options.reconcilesAgain ? 'idle' : 'ended';

function onOrder(state: OrderState, options: OrderOptions, message: string) {
  const [, epoch, plan] = message.split(' ').map(Number);
  state.network = state.network.filter(other => other !== message);
  const side = state.sides[epoch];
  if (side?.at === 'waiting') side.at = afterOrder(options);
  if (options.engineChecks && isLower({epoch, plan}, state.fence)) return;
  if (isLower({epoch, plan}, state.engine)) state.wentBack = true;
  state.engine = {epoch, plan};
  state.fence = {epoch, plan};
}

/** The side reads its registration and, if it is the newest, may order. */
function checkRegistration(
  state: OrderState,
  options: OrderOptions,
  epoch: number,
): void {
  const side = state.sides[epoch];
  const isNewest = epoch === state.registered;
  if (options.readsRegistration && !isNewest) side.at = 'replaced';
  else side.at = 'checked';
}

function isOrdering(state: OrderState): boolean {
  return Object.values(state.sides).some(
    side => side.at === 'checked' || side.at === 'waiting',
  );
}

function sideSteps(
  state: OrderState,
  options: OrderOptions,
): Array<[string, (draft: OrderState) => void]> {
  const steps: Array<[string, (draft: OrderState) => void]> = [];
  for (const [epoch, side] of Object.entries(state.sides)) {
    const {engine, plan} = state;
    const done = engine.epoch === +epoch && engine.plan === plan;
    if (side.at === 'idle' && !done) {
      steps.push([
        `side ${epoch} reads plan ${plan}`,
        d => (d.sides[epoch] = {at: 'planned', plan}),
      ]);
    }
    if (side.at === 'planned') {
      steps.push([
        `side ${epoch} checks its registration`,
        d => checkRegistration(d, options, +epoch),
      ]);
    }
    if (side.at === 'checked') {
      steps.push([
        `side ${epoch} orders plan ${side.plan}`,
        d => {
          d.sides[epoch].at = 'waiting';
          send(d.network, `order ${epoch} ${side.plan}`);
        },
      ]);
    }
    if (side.at === 'waiting' && !options.orderIsUninterrupted) {
      steps.push([
        `side ${epoch} stops waiting`,
        d => (d.sides[epoch].at = afterOrder(options)),
      ]);
    }
  }
  return steps;
}

function successors(
  state: OrderState,
  options: OrderOptions,
): Successors<OrderState> {
  const steps = sideSteps(state, options);
  if (state.plan < options.plans) steps.push(['new plan', d => d.plan++]);
  const mayRegister = !options.orderIsUninterrupted || !isOrdering(state);
  if (state.registered < options.epochs && mayRegister) {
    const epoch = state.registered + 1;
    steps.push([
      `side ${epoch} starts and registers`,
      d => {
        d.registered = epoch;
        d.sides[epoch] = {at: 'idle', plan: 0};
      },
    ]);
  }
  if (state.engineRestarts < options.engineRestarts) {
    steps.push([
      'engine restarts',
      d => {
        d.engineRestarts++;
        d.fence = {epoch: 0, plan: 0};
      },
    ]);
  }
  for (const message of state.network) {
    steps.push([message, d => onOrder(d, options, message)]);
  }
  return steps.map(([event, change]) => [event, withChange(state, change)]);
}

export function buildOrders(
  given: Partial<OrderOptions>,
): Specification<OrderState> {
  const options = {...DEFAULTS, ...given};
  return {
    initial: {
      registered: 1,
      plan: 1,
      sides: {1: {at: 'idle', plan: 0}},
      engine: {epoch: 0, plan: 0},
      fence: {epoch: 0, plan: 0},
      wentBack: false,
      engineRestarts: 0,
      network: [],
    },
    successors: state => successors(state, options),
    invariants: {[NEVER_BACK]: state => !state.wentBack},
    progress: {
      name: REACHES,
      goal: state =>
        state.engine.epoch === state.registered &&
        state.engine.plan === state.plan,
    },
  };
}

const NEVER_BACK = 'the engine never goes back to an older order';

const REACHES = 'the engine can always still reach the newest plan';

const IGNORES = {engineChecks: false, orderIsUninterrupted: true};

export const ORDER_CASES: readonly SpecificationCase[] = [
  defineCase<OrderState, OrderOptions>({
    name: 'orders: engine that checks the number',
    build: buildOrders,
    controls: [
      {
        removed: 'the engine refuses a lower number',
        options: {engineChecks: false},
        violates: NEVER_BACK,
      },
      {
        removed: 'the engine keeps the number (it never restarts)',
        options: {engineRestarts: 1},
        violates: NEVER_BACK,
      },
      {
        removed: 'a side reconciles again after each order',
        options: {reconcilesAgain: false},
        violates: REACHES,
      },
    ],
    redundantGuards: [
      {
        removed: 'the side reads its registration before an order',
        options: {readsRegistration: false},
      },
    ],
  }),
  defineCase<OrderState, OrderOptions>({
    name: 'orders: engine that ignores the number',
    build: options => buildOrders({...IGNORES, ...options}),
    controls: [
      {
        removed: 'assumption: nothing comes between check and answer',
        options: {orderIsUninterrupted: false},
        violates: NEVER_BACK,
      },
      {
        removed: 'the side reads its registration before an order',
        options: {readsRegistration: false},
        violates: NEVER_BACK,
      },
    ],
  }),
];
