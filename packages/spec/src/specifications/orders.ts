/**
 * Orders to engines (design, section 8): a side process and its replacement
 * beside one engine. The fencing number of an order is the pair of epoch and
 * plan version.
 */
import type {Specification, Successors} from '../checker.js';
import {withChange, send} from '../state_tools.js';
import {defineCase, type SpecificationCase} from '../specification_case.js';

interface OrderState {
  /** Newest epoch registered with the key-value service. */
  registeredEpoch: number;
  plan: number;
  /** Phase and planned version of each side process, by epoch. */
  sides: Record<string, {at: string; plan: number}>;
  /** Order that the engine last accepted. */
  followedOrder: {epoch: number; plan: number};
  /** Highest fencing number that the engine remembers; lost when it restarts. */
  highestFence: {epoch: number; plan: number};
  followedOlderOrder: boolean;
  engineRestartCount: number;
  network: string[];
}

export interface OrderOptions {
  readonly engineChecksFence: boolean;
  /**
   * Assumption for an engine that ignores the fencing number: between the read
   * of the registration and the engine's answer to the order, no side registers
   * and the side does not stop waiting.
   */
  readonly orderIsUninterrupted: boolean;
  readonly readsRegistration: boolean;
  /** A side reconciles again after each order. */
  readonly reconcilesAgain: boolean;
  readonly maxEngineRestarts: number;
  readonly maxEpoch: number;
  readonly maxPlanVersion: number;
}

const DEFAULTS: OrderOptions = {
  engineChecksFence: true,
  orderIsUninterrupted: false,
  readsRegistration: true,
  reconcilesAgain: true,
  maxEngineRestarts: 0,
  maxEpoch: 2,
  maxPlanVersion: 3,
};

interface Fence {
  readonly epoch: number;
  readonly plan: number;
}

const isLower = (a: Fence, b: Fence) =>
  a.epoch < b.epoch || (a.epoch === b.epoch && a.plan < b.plan);

const getPhaseAfterOrder = (options: OrderOptions) =>
  options.reconcilesAgain ? 'idle' : 'ended';

function onOrder(state: OrderState, options: OrderOptions, message: string) {
  const [, epoch, plan] = message.split(' ').map(Number);
  state.network = state.network.filter(other => other !== message);
  const side = state.sides[epoch];
  if (side?.at === 'waiting') side.at = getPhaseAfterOrder(options);
  if (options.engineChecksFence && isLower({epoch, plan}, state.highestFence))
    return;
  if (isLower({epoch, plan}, state.followedOrder))
    state.followedOlderOrder = true;
  state.followedOrder = {epoch, plan};
  state.highestFence = {epoch, plan};
}

/** The side reads the registration; it may send an order only if its epoch is the newest. */
function checkRegistration(
  state: OrderState,
  options: OrderOptions,
  epoch: number,
): void {
  const side = state.sides[epoch];
  const isNewest = epoch === state.registeredEpoch;
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
    const {followedOrder, plan} = state;
    const done = followedOrder.epoch === +epoch && followedOrder.plan === plan;
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
        d => (d.sides[epoch].at = getPhaseAfterOrder(options)),
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
  if (state.plan < options.maxPlanVersion)
    steps.push(['new plan', d => d.plan++]);
  const mayRegister = !options.orderIsUninterrupted || !isOrdering(state);
  if (state.registeredEpoch < options.maxEpoch && mayRegister) {
    const epoch = state.registeredEpoch + 1;
    steps.push([
      `side ${epoch} starts and registers`,
      d => {
        d.registeredEpoch = epoch;
        d.sides[epoch] = {at: 'idle', plan: 0};
      },
    ]);
  }
  if (state.engineRestartCount < options.maxEngineRestarts) {
    steps.push([
      'engine restarts',
      d => {
        d.engineRestartCount++;
        d.highestFence = {epoch: 0, plan: 0};
      },
    ]);
  }
  for (const message of state.network) {
    steps.push([message, d => onOrder(d, options, message)]);
  }
  return steps.map(([event, change]) => [event, withChange(state, change)]);
}

export function buildOrders(
  overrides: Partial<OrderOptions>,
): Specification<OrderState> {
  const options = {...DEFAULTS, ...overrides};
  return {
    initial: {
      registeredEpoch: 1,
      plan: 1,
      sides: {1: {at: 'idle', plan: 0}},
      followedOrder: {epoch: 0, plan: 0},
      highestFence: {epoch: 0, plan: 0},
      followedOlderOrder: false,
      engineRestartCount: 0,
      network: [],
    },
    successors: state => successors(state, options),
    invariants: {[NO_OLDER_ORDER]: state => !state.followedOlderOrder},
    progress: {
      name: CAN_REACH_NEWEST_PLAN,
      goal: state =>
        state.followedOrder.epoch === state.registeredEpoch &&
        state.followedOrder.plan === state.plan,
    },
  };
}

const NO_OLDER_ORDER = 'the engine never goes back to an older order';

const CAN_REACH_NEWEST_PLAN =
  'the engine can always still reach the newest plan';

const ENGINE_IGNORES_FENCE = {
  engineChecksFence: false,
  orderIsUninterrupted: true,
};

export const ORDER_CASES: readonly SpecificationCase[] = [
  defineCase<OrderState, OrderOptions>({
    name: 'orders: engine that checks the number',
    build: buildOrders,
    controls: [
      {
        removed: 'the engine refuses a lower number',
        options: {engineChecksFence: false},
        violates: NO_OLDER_ORDER,
      },
      {
        removed: 'the engine keeps the number (it never restarts)',
        options: {maxEngineRestarts: 1},
        violates: NO_OLDER_ORDER,
      },
      {
        removed: 'a side reconciles again after each order',
        options: {reconcilesAgain: false},
        violates: CAN_REACH_NEWEST_PLAN,
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
    build: options => buildOrders({...ENGINE_IGNORES_FENCE, ...options}),
    controls: [
      {
        removed: 'assumption: nothing comes between check and answer',
        options: {orderIsUninterrupted: false},
        violates: NO_OLDER_ORDER,
      },
      {
        removed: 'the side reads its registration before an order',
        options: {readsRegistration: false},
        violates: NO_OLDER_ORDER,
      },
    ],
  }),
];
