/** Lets specifications use the state charts that the processes run. */
import {Chart, loadChartDefinition, type ChartEvent} from '@azurecrank/core';

/** Pure transition function of a chart without guards. */
export type ChartTransition = (state: string, event: string) => string;

/** Loads a chart; an event without a transition in a state leaves the state unchanged. */
export function loadChartTransition(name: string): ChartTransition {
  const chart = new Chart<object, ChartEvent>(loadChartDefinition(name));
  const cachedTargets = new Map<string, string>();
  return (state, event) => {
    const key = `${state} ${event}`;
    const next =
      cachedTargets.get(key) ??
      chart.step({state, context: {}}, {type: event}).state;
    cachedTargets.set(key, next);
    return next;
  };
}
