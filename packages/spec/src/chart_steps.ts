/** Steps the state charts of the processes inside specifications. */
import {Chart, loadChartDefinition, type ChartEvent} from '@azurecrank/core';

/** Pure transition function of a chart without guards. */
export type ChartStep = (state: string, event: string) => string;

/** Loads a chart; an event that a state does not take leaves it unchanged. */
export function loadChartStep(name: string): ChartStep {
  const chart = new Chart<object, ChartEvent>(loadChartDefinition(name));
  const known = new Map<string, string>();
  return (state, event) => {
    const key = `${state} ${event}`;
    const next =
      known.get(key) ?? chart.step({state, context: {}}, {type: event}).state;
    known.set(key, next);
    return next;
  };
}
